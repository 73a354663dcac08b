/** Parts that live as long as one version. */
export * from "./bundle/index.ts";
export * from "./control/index.ts";
export * from "./routes/index.ts";
