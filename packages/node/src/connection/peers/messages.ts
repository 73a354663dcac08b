/** Schemas of the messages between instances, with the limits of what a peer may send. */
import { z } from "zod";

const maxNameLength = 256;
const maxEvidenceEntries = 2_048;
const maxCrashesPerDigest = 64;
const maxListEntries = 4_096;
const maxReportedCrashes = 64;
const maxTraitsPerCrash = 256;
const maxReportedLimits = 64;

/** Evidence against requests that may crash engines. */
const evidenceSchema = z.strictObject({
  instance: z.string().max(maxNameLength),
  digests: z.array(z.strictObject({
    digest: z.string().max(maxNameLength),
    crashes: z.array(z.string().max(maxNameLength)).max(maxCrashesPerDigest)
      .readonly(),
    cleared: z.array(z.string().max(maxNameLength)).max(maxCrashesPerDigest)
      .readonly(),
    updatedMs: z.number(),
  })).max(maxEvidenceEntries).readonly(),
  trials: z.array(z.strictObject({
    digest: z.string().max(maxNameLength),
    engine: z.string().max(maxNameLength),
    instance: z.string().max(maxNameLength),
  })).max(maxEvidenceEntries).readonly(),
});

/** Crashes of engines under prompts, and completed prompts. */
const promptCrashesSchema = z.strictObject({
  crashes: z.array(z.strictObject({
    endpoint: z.string().max(maxNameLength),
    startedAtMs: z.number().min(0),
    ageMs: z.number().min(0),
    traits: z.array(z.string().max(maxNameLength)).max(maxTraitsPerCrash)
      .readonly(),
  })).max(maxReportedCrashes).readonly(),
  successes: z.array(z.strictObject({
    trait: z.string().max(maxNameLength),
    ageMs: z.number().min(0),
  })).max(maxListEntries).readonly(),
});

/** Limits of endpoints, and the instance's own requests there. */
const limitsSchema = z.record(
  z.string().max(maxNameLength),
  z.strictObject({
    startedAtMs: z.number().min(0),
    perSecond: z.number().min(0).nullable(),
    ageMs: z.number().min(0),
    byExport: z.boolean(),
    demand: z.number().min(0),
    sends: z.number().min(0),
  }),
).refine((limits) => Object.keys(limits).length <= maxReportedLimits);

/** Work that one instance accepted during its newest intervals. */
const demandSchema = z.strictObject({
  instance: z.string().max(maxNameLength),
  pool: z.string().max(maxNameLength),
  fromMs: z.number(),
  toMs: z.number(),
  requests: z.number().min(0),
  promptTokens: z.number().min(0),
  outputTokens: z.number().min(0),
  refused: z.number().min(0),
});

/** State that an instance sends to a peer in each exchange; unknown keys are refused. */
export const peerDigestSchema = z.strictObject({
  instance: z.string().max(maxNameLength),
  failureDomain: z.string().max(maxNameLength),
  /** First position of the control log that the instance has not applied yet. */
  controlNext: z.number().min(0),
  /** Bundle version in force at the instance. */
  version: z.number().min(0),
  stopping: z.boolean(),
  demand: z.array(demandSchema).max(maxListEntries),
  evidence: evidenceSchema,
  /** Absent in digests of former versions. */
  promptCrashes: promptCrashesSchema.optional(),
  /** Absent if no endpoint has a limit, and in digests of former versions. */
  limits: limitsSchema.optional(),
  /** Endpoints that announced to the instance that they are leaving. */
  leaving: z.array(z.string().max(maxNameLength)).max(maxListEntries),
});

/** State that an instance sends to a peer in each exchange. */
export type PeerDigest = z.infer<typeof peerDigestSchema>;
/** Requests and tokens that one instance counted for one pool from `fromMs` to `toMs`. */
export type PeerDemand = z.infer<typeof demandSchema>;

/** Name of the header that carries the key all instances share. */
export const peerKeyHeader = "trefoildoor-peer-key";
