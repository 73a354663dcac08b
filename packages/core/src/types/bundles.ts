/** Schema of the versioned, signed bundle: pools, services, callers and objectives of a fleet. */
import { z } from "zod";
import { EngineRole, Priority } from "./endpoints.ts";

/** Whether engines refuse orders that carry an old fencing number. */
export enum FenceCheck {
  Checked = "checked",
  Ignored = "ignored",
}

const name = z.string().regex(
  /^[a-z0-9][a-z0-9_.-]{0,62}$/,
  "is not a lower-case name",
);

const modelVersionSchema = z.strictObject({
  model: name.describe("Model"),
  version: z.string().min(1).max(64).describe("Version that engines load"),
  adapters: z.array(name).max(64).default([]).describe(
    "Adapters loaded beside the model",
  ),
});

const poolSchema = z.strictObject({
  name: name.describe("Pool; one lease holder plans for it"),
  fence_check: z.enum(FenceCheck).describe(
    "Whether its engines refuse orders that carry an old fencing number",
  ),
  engines: z.array(z.strictObject({
    name: name.describe("Engine"),
    failure_domain: name.describe("Failure domain that the engine is in"),
    address: z.string().max(64).describe("IP number and port"),
    role: z.enum(EngineRole).default(EngineRole.Mixed).describe(
      "Role that the engine starts in",
    ),
  })).min(1).max(4096).describe("Engines of the pool"),
  models: z.array(modelVersionSchema).min(1).max(64).describe(
    "What every engine of the pool runs",
  ),
  prefill_floor: z.int().min(0).default(1).describe(
    "Fewest engines that must be able to compute prompts",
  ),
  decode_floor: z.int().min(0).default(1).describe(
    "Fewest engines that must be able to generate",
  ),
  role_change_weight: z.number().min(0).default(1).describe(
    "Useful answers that one role change must gain beyond those it loses",
  ),
});

const serviceSchema = z.strictObject({
  name: name.describe("Service; callers reach it under /services/NAME/"),
  endpoints: z.array(z.strictObject({
    name: name.describe("Process of the service"),
    failure_domain: name.describe("Failure domain that the process is in"),
    address: z.string().max(64).describe("IP number and port"),
  })).min(1).max(4096).describe("Processes of the service"),
  idempotent_methods: z.array(z.enum(["GET", "HEAD", "PUT", "DELETE", "POST"]))
    .default(["GET", "HEAD"]).describe("Methods whose calls may be repeated"),
  allow_missing_key: z.boolean().default(false).describe(
    "Whether a call that must not repeat is taken without a key: one attempt, never repeated",
  ),
  look_up_by_key: z.boolean().default(false).describe(
    "Whether the service can tell by key if it ran a call",
  ),
});

const callerSchema = z.strictObject({
  name: name.describe("Caller"),
  key_sha256: z.string().regex(
    /^[0-9a-f]{64}$/,
    "is not a SHA-256 in hexadecimal",
  ).describe("SHA-256 of the API key in hexadecimal; 64 zeros lock it out"),
  models: z.array(name).default([]).describe("Models that it may use"),
  services: z.array(name).default([]).describe("Services that it may use"),
  share: z.number().positive().default(1).describe(
    "Share of the fleet in relation to other callers",
  ),
  priority: z.enum(Priority).default(Priority.Normal).describe(
    "0 batch, 1 normal, 2 interactive",
  ),
  deadline_ms: z.int().min(100).max(3_600_000).default(60_000).describe(
    "Longest time to a useful answer, in ms",
  ),
  group: name.default("default").describe(
    "Group that objectives and the service-level report name",
  ),
});

const objectiveSchema = z.strictObject({
  group: name.describe("Group of callers"),
  model: name.optional().describe("Model; all models where absent"),
  useful: z.number().gt(0).lt(1).default(0.99).describe(
    "Least share of useful answers",
  ),
  first_token_ms: z.int().positive().default(1_400).describe(
    "Time to the first token, in ms",
  ),
  between_tokens_ms: z.int().positive().default(55).describe(
    "Time between tokens, in ms",
  ),
  in_time: z.number().gt(0).lt(1).default(0.95).describe(
    "Least share of first tokens, and of tokens, in time",
  ),
});

/** Schema of a bundle document without its signature. */
export const bundleSchema = z.strictObject({
  version: z.int().min(1).describe("Version, one above its parent"),
  parent: z.int().min(0).describe("Version that it replaces; 0 for the first"),
  author: z.string().min(1).max(128).describe("Who signs it off"),
  note: z.string().max(1024).default("").describe("Why; shown in the history"),
  failure_domains: z.array(z.strictObject({
    name: name.describe("Failure domain"),
    region: name.default("default").describe("Region that it is in"),
    delay_ms: z.record(name, z.number().min(0)).default({}).describe(
      "One-way delay to other failure domains, in ms",
    ),
  })).min(1).max(256).describe("Failure domains"),
  pools: z.array(poolSchema).max(256).default([]).describe("Pools of engines"),
  services: z.array(serviceSchema).max(256).default([]).describe(
    "Plain services",
  ),
  callers: z.array(callerSchema).max(65_536).default([]).describe("Callers"),
  objectives: z.array(objectiveSchema).max(1024).default([]).describe(
    "Service levels",
  ),
});

/** One versioned bundle. */
export type Bundle = z.infer<typeof bundleSchema>;
/** A pool of engines in a bundle. */
export type BundlePool = Bundle["pools"][number];
/** An engine in a bundle. */
export type BundleEngine = BundlePool["engines"][number];
/** A plain service in a bundle. */
export type BundleService = Bundle["services"][number];
/** A caller in a bundle. */
export type BundleCaller = Bundle["callers"][number];
/** An objective in a bundle. */
export type BundleObjective = Bundle["objectives"][number];

/** Schema of a signed bundle; the Ed25519 signature covers the canonical JSON of `bundle`. */
export const signedBundleSchema = z.strictObject({
  bundle: bundleSchema,
  /** Name of the signing key in the settings. */
  key: z.string().min(1).max(64),
  /** Signature in base64. */
  signature: z.string().max(128),
});

/** A bundle with its signature and the name of the signing key. */
export type SignedBundle = z.infer<typeof signedBundleSchema>;
