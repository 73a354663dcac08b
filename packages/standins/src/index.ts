/** Stand-ins for the platform and the endpoints, and tools that drive them. */
export * from "./fleet/index.ts";
export * from "./history/index.ts";
export * from "./load/index.ts";
export * from "./log_service/index.ts";
export * from "./member_list/index.ts";
export * from "./model_engine/index.ts";
export * from "./plain_service/index.ts";
export * from "./relay/index.ts";
export * from "./shared/index.ts";
export * from "./weight_store/index.ts";
