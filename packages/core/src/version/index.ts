/**
 * Code for one bundle version: the bundle itself, the control stream that puts
 * it in force, and its routes.
 */
export * from "./bundle/index.ts";
export * from "./control/index.ts";
export * from "./routes/index.ts";
