/** Schema of the settings file of an entry, the process that forwards calls. docs/ENTRY_SETTINGS.md is generated from it. */
import { readFileSync } from "node:fs";
import { type Finding, isIpv4Address, parseDocument } from "@trefoildoor/core";
import { type Either, Left } from "purify-ts";
import { z } from "zod";

const address = z.string().refine(
  isIpv4Address,
  "is not an IP number and port",
);

const repeatsSchema = z.strictObject({
  ratio: z.number().min(0).max(1).default(0.2).describe(
    "Repeated calls for each call of a service, all instances together",
  ),
  slack: z.number().min(0).default(50).describe(
    "Repeated calls besides, in one window, all instances together",
  ),
  window_s: z.number().min(1).default(10).describe(
    "Window of the two bounds, in s",
  ),
});

const stopSchema = z.strictObject({
  notice_ms: z.int().min(0).default(2_600).describe(
    "Time between not ready and the end of new work, in ms; two probes of the balancer at least",
  ),
  grace_s: z.number().min(1).default(8).describe(
    "Time from the stop signal until the platform kills the process, in s",
  ),
});

const rolesSchema = z.strictObject({
  lease_ms: z.int().min(500).default(3_000).describe(
    "Time within which two instances must not take turns with orders, in ms",
  ),
  prefill_share: z.number().min(0).max(1).default(0.7).describe(
    "Share of a pool's engines that compute prompts only",
  ),
});

const keysSchema = z.strictObject({
  strict: z.boolean().default(false).describe(
    "Whether a call whose key was taken away must not run after `revoke_ms`, whatever the instance knows",
  ),
  revoke_ms: z.int().min(500).default(5_000).describe(
    "Time after which calls with a key that was taken away must not run, in ms",
  ),
});

const operatorSchema = z.strictObject({
  address: address.describe("IP number and port of the operator's API"),
  calls_per_s: z.number().positive().default(10).describe(
    "Calls a second that it takes from all instances together",
  ),
});

const usageSchema = z.strictObject({
  window_s: z.number().positive().describe(
    "Length of a window of the usage reports, in s",
  ),
  late_s: z.number().positive().default(10).describe(
    "Time after the end of a window by which its report is due, in s",
  ),
});

/** Schema of the entry's settings. */
export const entrySettingsSchema = z.strictObject({
  instance: z.string().min(1).max(100).describe("Name of the instance"),
  failure_domain: z.string().min(1).max(63).describe(
    "Failure domain of the instance",
  ),
  callers: address.describe("IP number and port at which callers connect"),
  readiness: address.describe(
    "IP number and port at which the balancer asks for readiness",
  ),
  readiness_path: z.string().startsWith("/").default("/ready").describe(
    "Path of the balancer's question",
  ),
  peers: address.describe(
    "IP number and port, for TCP and UDP, at which other instances connect",
  ),
  metrics: address.optional().describe(
    "IP number and port that serve counters and latency histograms; none where absent",
  ),
  store: address.describe("IP number and port of the platform's store"),
  leaving_ms: z.int().min(500).default(2_000).describe(
    "Time after which a leaving endpoint must get no new work, in ms",
  ),
  configuration_ms: z.int().min(500).default(2_000).describe(
    "Time after which a new configuration must be in force, in ms",
  ),
  repeats: repeatsSchema.prefault({}).describe("Bounds of repeated calls"),
  roles: rolesSchema.prefault({}).describe("Roles of model engines"),
  keys: keysSchema.prefault({}).describe("API keys of workspaces"),
  operator: operatorSchema.optional().describe(
    "Calls to the operator that one instance at a time makes; none where absent",
  ),
  usage: usageSchema.optional().describe(
    "Reports of the calls of each workspace; none where absent or without `operator`",
  ),
  stop: stopSchema.prefault({}).describe("Planned stop"),
});

/** Settings of the entry after defaults. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** Reads and validates a settings file; returns all findings if it is unreadable or invalid. */
export function readEntrySettings(
  path: string,
): Either<readonly Finding[], EntrySettings> {
  try {
    const text = readFileSync(path, "utf8");
    return parseDocument(text, entrySettingsSchema, { source: path });
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Left([{
      place: { source: path },
      message: `file cannot be read: ${message}`,
    }]);
  }
}
