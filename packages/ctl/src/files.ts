/** Files that commands read and write. */
import { readFileSync, statSync, writeFileSync } from "node:fs";
import { maxDocumentLength } from "@trefoildoor/core";
import { CommandError, ExitCode } from "./exit_codes.ts";

/** Reads a text file; throws `CommandError` when it is missing or too long. */
export function readInput(path: string): string {
  try {
    if (statSync(path).size <= maxDocumentLength) {
      return readFileSync(path, "utf8");
    }
  } catch (error) {
    throw new CommandError(
      `${path}: cannot be read: ${describeError(error)}`,
      ExitCode.BadInput,
    );
  }
  throw new CommandError(
    `${path}: has more than ${maxDocumentLength} bytes`,
    ExitCode.BadInput,
  );
}

/** Writes a new file and refuses to replace one; `secret` keeps others out. */
export function writeOutput(
  path: string,
  text: string,
  options: { readonly secret?: boolean } = {},
): void {
  const mode = options.secret ? 0o600 : 0o644;
  try {
    writeFileSync(path, text, { flag: "wx", mode });
  } catch (error) {
    throw new CommandError(
      `${path}: cannot be written: ${describeError(error)}`,
      ExitCode.BadInput,
    );
  }
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
