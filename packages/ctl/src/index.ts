/** The operators' command line as a library. */
export type { CommandContext, Platform, Terminal } from "./command.ts";
export { runCommandLine } from "./command_line.ts";
export { commands } from "./commands/index.ts";
export { ExitCode } from "./exit_codes.ts";
export { type OperatorSettings, operatorSettingsSchema } from "./settings.ts";
