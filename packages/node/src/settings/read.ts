/** Reading and checking the daemon's settings file. */
import { readFileSync } from "node:fs";
import { type Finding, parseDocument } from "@trefoildoor/core";
import { type Either, Left } from "purify-ts";
import { type Settings, settingsSchema } from "./schema.ts";
import { checkSecrets, type Environment } from "./secrets.ts";

/** Reads and checks a settings file; returns all findings together when it has faults or cannot be read. */
export function readSettings(
  path: string,
  environment: Environment,
): Either<readonly Finding[], Settings> {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Left([{
      place: { source: path },
      message: `file cannot be read: ${message}`,
    }]);
  }
  return parseDocument(text, settingsSchema, { source: path })
    .chain((settings) => checkSecrets(settings, { source: path, environment }));
}
