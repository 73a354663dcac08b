/** Schema of the daemon's settings, from which docs/SETTINGS.md is generated. */
import { z } from "zod";

const address = z.string().regex(
  /^(https?:\/\/)?[^\s:/]+:\d{1,5}$/,
  "is not an IP number and port",
);
const port = z.int().min(0).max(65_535);

const secretSchema = z.union([
  z.string().min(16),
  z.strictObject({
    env: z.string().min(1).describe(
      "Name of the environment variable that holds the secret",
    ),
  }),
]);

const tlsSchema = z.strictObject({
  certificate: secretSchema.describe(
    "Certificate chain in PEM, or the variable that holds it",
  ),
  private_key: secretSchema.describe(
    "Private key in PEM, or the variable that holds it",
  ),
});

const listenSchema = z.strictObject({
  host: z.string().min(1).describe("IP number to listen on"),
  port: port.describe("Port to listen on; 0 takes a free one"),
  tls: tlsSchema.optional().describe("Certificate; plain TCP where absent"),
});

const callersSchema = listenSchema.extend({
  max_body_bytes: z.int().min(1_024).max(64 * 1_048_576).default(4 * 1_048_576)
    .describe("Largest accepted request body, in bytes"),
  read_timeout_ms: z.int().min(100).default(30_000)
    .describe("Longest time for a caller to send its whole request, in ms"),
  write_timeout_ms: z.int().min(100).default(30_000)
    .describe(
      "Longest time in which a caller reads nothing of its answer, in ms",
    ),
  max_connections: z.int().min(1).default(10_000).describe(
    "Most open caller connections",
  ),
});

const peersSchema = listenSchema.extend({
  key: secretSchema.describe("Key that all instances share"),
  ca: secretSchema.optional().describe(
    "Certificate authority of the peers' certificates, in PEM",
  ),
  exchange_interval_ms: z.int().min(50).default(1_000)
    .describe("Time between two exchanges with a peer, in ms"),
});

const platformSchema = z.strictObject({
  log: address.describe("Address of the log service"),
  members: address.describe(
    "Address of the list of live and leaving processes",
  ),
  weights: address.describe("Address of the weight store"),
});

const metricsSchema = z.strictObject({
  host: z.string().min(1).describe("IP number of the StatsD receiver"),
  port: port.describe("UDP port of the StatsD receiver"),
  prefix: z.string().default("trefoildoor.").describe("Prefix of every metric"),
});

const stopSchema = z.strictObject({
  notice_ms: z.int().min(0).default(3_000)
    .describe("Time between not ready and the end of new work, in ms"),
  deadline_ms: z.int().min(1_000).default(600_000)
    .describe(
      "Longest time that work in flight may take after a stop signal, in ms",
    ),
});

const leaseSchema = z.strictObject({
  time_ms: z.int().min(500).default(5_000).describe(
    "Time without a renewal after which others claim, in ms",
  ),
});

/** Schema of the settings file; unknown keys are refused. */
export const settingsSchema = z.strictObject({
  instance: z.string().regex(
    /^[a-z0-9][a-z0-9_.-]{0,40}$/,
    "is not a lower-case name",
  )
    .describe("Name of the instance; each start adds a suffix of its own"),
  failure_domain: z.string().min(1).max(63).describe(
    "Failure domain of the instance",
  ),
  callers: callersSchema.describe("Where callers connect"),
  peers: peersSchema.describe("Where other instances connect"),
  platform: platformSchema.describe("Services of the platform"),
  signing_keys: z.record(z.string().min(1).max(64), z.string().min(40))
    .refine((keys) => Object.keys(keys).length > 0, "names no key")
    .describe("Ed25519 public keys in PEM that may sign bundles, by name"),
  metrics: metricsSchema.optional().describe(
    "StatsD receiver; no metrics where absent",
  ),
  stop: stopSchema.prefault({}).describe("Planned stop"),
  lease: leaseSchema.prefault({}).describe("Leases of pools"),
});

/** Settings of the daemon with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
/** A secret in the settings: the text itself or the name of the environment variable that holds it. */
export type SecretSetting = z.infer<typeof secretSchema>;
/** Certificate chain and private key of a listener, both in PEM. */
export type TlsSettings = z.infer<typeof tlsSchema>;
