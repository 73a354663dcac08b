/** Messages between instances. */
import { z } from "zod";

const maxName = 256;
const maxSuspects = 2_048;
const maxCrashes = 64;
const maxSamples = 4_096;

/** Evidence against requests that may crash engines. */
const evidenceSchema = z.strictObject({
  instance: z.string().max(maxName),
  digests: z.array(z.strictObject({
    digest: z.string().max(maxName),
    crashes: z.array(z.string().max(maxName)).max(maxCrashes).readonly(),
    cleared: z.array(z.string().max(maxName)).max(maxCrashes).readonly(),
    updatedMs: z.number(),
  })).max(maxSuspects).readonly(),
  trials: z.array(z.strictObject({
    digest: z.string().max(maxName),
    engine: z.string().max(maxName),
    instance: z.string().max(maxName),
  })).max(maxSuspects).readonly(),
});

/** Work that one instance accepted during its newest intervals. */
const demandSchema = z.strictObject({
  instance: z.string().max(maxName),
  pool: z.string().max(maxName),
  fromMs: z.number(),
  toMs: z.number(),
  requests: z.number().min(0),
  promptTokens: z.number().min(0),
  outputTokens: z.number().min(0),
  refused: z.number().min(0),
});

/** What an instance tells a peer of itself. */
export const peerDigestSchema = z.strictObject({
  instance: z.string().max(maxName),
  failureDomain: z.string().max(maxName),
  /** First control position that the instance has not folded. */
  controlNext: z.number().min(0),
  /** Bundle version in force at the instance. */
  version: z.number().min(0),
  stopping: z.boolean(),
  demand: z.array(demandSchema).max(maxSamples),
  evidence: evidenceSchema,
  /** Endpoints that told the instance that they are leaving. */
  leaving: z.array(z.string().max(maxName)).max(maxSamples),
});

/** What an instance tells a peer of itself. */
export type PeerDigest = z.infer<typeof peerDigestSchema>;
/** Demand on a pool at one instance. */
export type PeerDemand = z.infer<typeof demandSchema>;

/** Name of the header that carries the key all instances share. */
export const peerKeyHeader = "trefoildoor-peer-key";
