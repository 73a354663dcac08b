/** HTTP adapters of the platform's services. */
export { type OpenLogService, openLogService } from "./log_service.ts";
export { type OpenMemberList, openMemberList } from "./member_list.ts";
export { type PlatformOptions } from "./options.ts";
export { type OpenWeightStore, openWeightStore } from "./weight_store.ts";
