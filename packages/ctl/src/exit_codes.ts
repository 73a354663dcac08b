/** Exit codes, and the error that ends a command with one. */
import { type Finding, formatFinding } from "@trefoildoor/core";

/** How a command ended, as its process tells the shell. */
export enum ExitCode {
  Done = 0,
  /** A service could not be reached, or did not confirm a change. */
  Unreachable = 1,
  /** Arguments, settings or a file have faults; nothing was changed. */
  BadInput = 2,
  /** The fleet did not accept the change, for instance after a lost race. */
  Refused = 3,
}

/** Ends a command; its message is all that the operator is told. */
export class CommandError extends Error {
  readonly exitCode: ExitCode;

  /** Keeps the exit code next to the message. */
  constructor(message: string, exitCode: ExitCode) {
    super(message);
    this.name = "CommandError";
    this.exitCode = exitCode;
  }
}

/** Builds the error for faulty input, with one line for each finding. */
export function buildInputError(findings: readonly Finding[]): CommandError {
  const lines = findings.map(formatFinding);
  return new CommandError(lines.join("\n"), ExitCode.BadInput);
}
