/** Settings of the command line. */
import { parseDocument } from "@trefoildoor/core";
import { z } from "zod";
import { readInput } from "./files.ts";
import { buildInputError } from "./exit_codes.ts";

const httpAddress = z.url({ protocol: /^https?$/ });

/** Schema of the settings file. */
export const operatorSettingsSchema = z.strictObject({
  author: z.string().min(1).max(128)
    .describe("Name that others see beside this operator's changes"),
  log: httpAddress.describe("Address of the log service"),
  members: httpAddress.optional()
    .describe("Address of the list of live and leaving processes"),
  signing_keys: z.record(z.string().min(1).max(64), z.string().min(40))
    .refine((keys) => Object.keys(keys).length > 0, "names no key")
    .describe("Ed25519 public keys that may sign bundles, by name"),
  timeout_ms: z.int().min(100).max(600_000).default(10_000)
    .describe("Longest wait for the platform to answer or confirm, in ms"),
});

/** Settings of an operator. */
export type OperatorSettings = z.infer<typeof operatorSettingsSchema>;

/** Reads the settings file; throws `CommandError` with all findings. */
export function readOperatorSettings(path: string): OperatorSettings {
  return parseDocument(readInput(path), operatorSettingsSchema, {
    source: path,
  }).mapLeft(buildInputError).unsafeCoerce();
}
