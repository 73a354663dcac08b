/** What commands are made of and what they are given. */
import type { ListMembers, LogService } from "@trefoildoor/core";
import type { ExitCode } from "./exit_codes.ts";

/** The operator's terminal. */
export interface Terminal {
  /** Prints a result. */
  readonly print: (text: string) => void;
  /** Prints what is no result: warnings, errors, progress. */
  readonly report: (text: string) => void;
  /** Asks for a yes; undefined where nobody can be asked. */
  readonly confirm?: (question: string) => Promise<boolean>;
}

/** Opens the platform's services by the addresses in the settings. */
export interface Platform {
  readonly openLog: (
    address: string,
  ) => LogService & { readonly close: () => Promise<void> };
  readonly openMembers: (
    address: string,
  ) => {
    readonly listMembers: ListMembers;
    readonly close: () => Promise<void>;
  };
}

/** Surroundings of a command. */
export interface CommandContext {
  readonly terminal: Terminal;
  readonly platform: Platform;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/** Flags of a call, by their long names. */
export interface CommandFlags {
  readonly settings: string;
  readonly json: boolean;
  readonly yes: boolean;
  readonly all: boolean;
  readonly out?: string;
  readonly keyFile?: string;
  readonly author?: string;
  readonly note?: string;
  readonly base?: string;
  readonly window?: string;
  readonly html?: string;
}

/** One call of a command. */
export interface CommandCall {
  readonly context: CommandContext;
  /** Positional arguments; optional ones may be missing. */
  readonly args: readonly string[];
  readonly flags: CommandFlags;
}

/** A command of the command line. */
export interface Command {
  /** Words and arguments, for instance `bundle check <file>`. */
  readonly usage: string;
  readonly description: string;
  /** Flags beyond those that all commands have, with their descriptions. */
  readonly options?: Readonly<Record<string, string>>;
  readonly example?: string;
  readonly run: (call: CommandCall) => Promise<ExitCode>;
}
