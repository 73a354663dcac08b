/** Types shared by all parts of the system. */
export * from "./bundles.ts";
export * from "./control.ts";
export * from "./decisions.ts";
export * from "./effects.ts";
export * from "./endpoints.ts";
export * from "./findings.ts";
export * from "./forwarding.ts";
export * from "./keyed_topics.ts";
export * from "./names.ts";
export * from "./operator.ts";
export * from "./outcomes.ts";
export * from "./platform.ts";
export * from "./records.ts";
