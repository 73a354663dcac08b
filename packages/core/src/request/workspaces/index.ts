/** Workspaces, their keys, and which calls may run under them. */
export { workspaceEvents } from "./events.ts";
export {
  createKeyCheck,
  type KeyCheck,
  type KeyDecision,
  KeyVerdict,
} from "./key_check.ts";
export { createKeyDirectory, type KeyDirectory } from "./key_directory.ts";
export { listWorkspaceFaults } from "./workspace_faults.ts";
