/** Commands that create keys. Secrets go into files of their owner alone. */
import { randomBytes } from "node:crypto";
import { createSigningKey, digestText } from "@trefoildoor/core";
import type { Command } from "../command.ts";
import { ExitCode } from "../exit_codes.ts";
import { writeOutput } from "../files.ts";
import { printResult } from "../output.ts";

const callerKeyBytes = 32;

/** Creates a key that signs off bundles. */
export const createOperatorKey: Command = {
  usage: "keys signing <file>",
  description: "Create a signing key: the private part goes into the file, " +
    "the public part is printed for settings",
  example: "keys signing ops.key",
  run: (call) => {
    const { privateKey, publicKey } = createSigningKey();
    writeOutput(call.args[0] ?? "", `${privateKey}\n`, { secret: true });
    printResult(call, { data: { publicKey }, text: publicKey });
    return Promise.resolve(ExitCode.Done);
  },
};

/** Creates an API key for a caller. */
export const createCallerKey: Command = {
  usage: "keys caller <file>",
  description: "Create a caller's API key: the key goes into the file, " +
    "its digest is printed for the bundle",
  example: "keys caller shop-otaru.key",
  run: (call) => {
    const key = randomBytes(callerKeyBytes).toString("base64url");
    writeOutput(call.args[0] ?? "", `${key}\n`, { secret: true });
    const digest = digestText(key);
    printResult(call, { data: { "key_sha256": digest }, text: digest });
    return Promise.resolve(ExitCode.Done);
  },
};
