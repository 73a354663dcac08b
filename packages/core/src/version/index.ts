/**
 * Code for one bundle version: the bundle itself, the control stream that puts
 * it in force, its routes, and the check of a routing configuration.
 */
export * from "./bundle/index.ts";
export * from "./check/index.ts";
export * from "./control/index.ts";
export * from "./routes/index.ts";
