/** The versioned bundle that operators sign off: what runs where, and for whom. */
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
  model: name,
  version: z.string().min(1).max(64),
  adapters: z.array(name).max(64).default([]),
});

const poolSchema = z.strictObject({
  name,
  fence_check: z.enum(FenceCheck),
  /** Engines of the pool by name, with the role each starts in. */
  engines: z.array(z.strictObject({
    name,
    failure_domain: name,
    address: z.string().max(64),
    role: z.enum(EngineRole).default(EngineRole.Mixed),
  })).min(1).max(4096),
  models: z.array(modelVersionSchema).min(1).max(64),
  /** Fewest engines that must be able to run prefill, and decode. */
  prefill_floor: z.int().min(0).default(1),
  decode_floor: z.int().min(0).default(1),
  /** Useful answers that one role change is worth. */
  role_change_weight: z.number().min(0).default(1),
});

const serviceSchema = z.strictObject({
  name,
  endpoints: z.array(z.strictObject({
    name,
    failure_domain: name,
    address: z.string().max(64),
  })).min(1).max(4096),
  /** Methods whose calls may be repeated. */
  idempotent_methods: z.array(z.enum(["GET", "HEAD", "PUT", "DELETE", "POST"]))
    .default(["GET", "HEAD"]),
  /** Whether a call that must not repeat is taken without a key: one attempt, never repeated. */
  allow_missing_key: z.boolean().default(false),
  /** Whether the service can tell by key if it ran a call. */
  look_up_by_key: z.boolean().default(false),
});

const callerSchema = z.strictObject({
  name,
  /** SHA-256 of the API key, in hexadecimal. */
  key_sha256: z.string().regex(
    /^[0-9a-f]{64}$/,
    "is not a SHA-256 in hexadecimal",
  ),
  models: z.array(name).default([]),
  services: z.array(name).default([]),
  /** Share of the fleet in relation to other callers. */
  share: z.number().positive().default(1),
  priority: z.enum(Priority).default(Priority.Normal),
  /** Longest time to a useful answer, in ms. */
  deadline_ms: z.int().min(100).max(3_600_000).default(60_000),
  group: name.default("default"),
});

const objectiveSchema = z.strictObject({
  group: name,
  model: name.optional(),
  /** Least share of useful answers, of first tokens and of tokens in time. */
  useful: z.number().gt(0).lt(1).default(0.99),
  first_token_ms: z.int().positive().default(1_400),
  between_tokens_ms: z.int().positive().default(55),
  in_time: z.number().gt(0).lt(1).default(0.95),
});

/** Schema of a bundle document without its signature. */
export const bundleSchema = z.strictObject({
  version: z.int().min(1),
  /** Version that this one replaces; 0 for the first. */
  parent: z.int().min(0),
  author: z.string().min(1).max(128),
  note: z.string().max(1024).default(""),
  failure_domains: z.array(z.strictObject({
    name,
    region: name.default("default"),
    /** One-way delay to other failure domains, in ms. */
    delay_ms: z.record(name, z.number().min(0)).default({}),
  })).min(1).max(256),
  pools: z.array(poolSchema).max(256).default([]),
  services: z.array(serviceSchema).max(256).default([]),
  callers: z.array(callerSchema).max(65_536).default([]),
  objectives: z.array(objectiveSchema).max(1024).default([]),
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

/** A bundle with its sign-off: Ed25519 over the canonical JSON of `bundle`. */
export const signedBundleSchema = z.strictObject({
  bundle: bundleSchema,
  /** Name of the signing key, as settings list it. */
  key: z.string().min(1).max(64),
  /** Signature in base64. */
  signature: z.string().max(128),
});

/** A bundle with its sign-off. */
export type SignedBundle = z.infer<typeof signedBundleSchema>;
