/**
 * Records of the log's streams. One log entry holds one group of records as
 * JSON; a record's position follows from the entry's offset and its index.
 */
import { z } from "zod";
import { signedBundleSchema } from "./bundles.ts";
import { EngineRole } from "./endpoints.ts";
import { maxGroupRecords } from "./names.ts";

/** Kinds of records. */
export enum RecordKind {
  InstanceStarted = "instance_started",
  InstanceStopped = "instance_stopped",
  BundlePublished = "bundle_published",
  LeaseClaimed = "lease_claimed",
  LeaseRenewed = "lease_renewed",
  LeaseReleased = "lease_released",
  DrainOpened = "drain_opened",
  DrainConfirmed = "drain_confirmed",
  DrainClosed = "drain_closed",
  OrderOpened = "order_opened",
  OrderClosed = "order_closed",
  RolloutHalted = "rollout_halted",
  RolloutResumed = "rollout_resumed",
  ControlCheckpoint = "control_checkpoint",
  CallIntent = "call_intent",
  CallSettled = "call_settled",
  CallsCheckpoint = "calls_checkpoint",
  BurnSummary = "burn_summary",
}

/** Why an order was closed. */
export enum OrderClosing {
  /** Its sender received the engine's result: finished or refused. */
  Result = "result",
  /** A later holder read the finished order from the engine. */
  Observed = "observed",
  /** The engine's fencing number was raised above the order's before it arrived. */
  Fenced = "fenced",
  /** Its sender has certainly stopped, and the engine's state shows that the order never arrived. */
  SenderGone = "sender_gone",
}

/** Final result of a call that runs at most once. */
export enum CallResult {
  Done = "done",
  /** The call was not dispatched and never will be under this intent. */
  GivenUp = "given_up",
  /** The call was dispatched and its result cannot be determined. */
  Unknown = "unknown",
}

const text = z.string().max(256);
const position = z.int().min(0);
const digest = z.string().regex(/^[0-9a-f]{64}$/);

const targetSchema = z.strictObject({
  role: z.enum(EngineRole),
  models: z.array(z.strictObject({
    model: text,
    version: text,
    adapters: z.array(text),
  })),
});

const answerSchema = z.strictObject({
  status: z.int(),
  headers: z.record(z.string(), z.string()),
  body: z.string(),
});

/** An instance started; it replaces any earlier instance at the same peer address. */
export const instanceStartedSchema = z.strictObject({
  kind: z.literal(RecordKind.InstanceStarted),
  instance: text,
  failureDomain: text,
  peerAddress: text,
});

const instanceStoppedSchema = z.strictObject({
  kind: z.literal(RecordKind.InstanceStopped),
  instance: text,
});

const bundlePublishedSchema = z.strictObject({
  kind: z.literal(RecordKind.BundlePublished),
  signed: signedBundleSchema,
});

const leaseClaimedSchema = z.strictObject({
  kind: z.literal(RecordKind.LeaseClaimed),
  pool: text,
  holder: text,
  /**
   * Newest claim or renewal of the pool that the claimant has read; 0 if
   * there is none. The claim is valid only if no other one lies in between.
   */
  replaces: position,
});

const leaseRenewedSchema = z.strictObject({
  kind: z.literal(RecordKind.LeaseRenewed),
  pool: text,
  epoch: position,
});

const leaseReleasedSchema = z.strictObject({
  kind: z.literal(RecordKind.LeaseReleased),
  pool: text,
  epoch: position,
});

const drainOpenedSchema = z.strictObject({
  kind: z.literal(RecordKind.DrainOpened),
  pool: text,
  epoch: position,
  engine: text,
});

const drainConfirmedSchema = z.strictObject({
  kind: z.literal(RecordKind.DrainConfirmed),
  engine: text,
  /** Position of the drain's record. */
  drain: position,
  instance: text,
});

const drainClosedSchema = z.strictObject({
  kind: z.literal(RecordKind.DrainClosed),
  pool: text,
  epoch: position,
  engine: text,
  drain: position,
});

const orderOpenedSchema = z.strictObject({
  kind: z.literal(RecordKind.OrderOpened),
  pool: text,
  epoch: position,
  engine: text,
  target: targetSchema,
  /** Bundle version under which the order is given. */
  version: z.int().min(0),
  /** Raises the engine's fencing number and changes nothing else. */
  fenceOnly: z.boolean(),
});

const orderClosedSchema = z.strictObject({
  kind: z.literal(RecordKind.OrderClosed),
  pool: text,
  epoch: position,
  engine: text,
  /** Position of the order's record. */
  order: position,
  closing: z.enum(OrderClosing),
  /** Whether the engine has reached the order's target. */
  reached: z.boolean(),
  detail: text,
});

const rolloutHaltedSchema = z.strictObject({
  kind: z.literal(RecordKind.RolloutHalted),
  pool: text,
  epoch: position,
  version: z.int(),
  reason: text,
});

const rolloutResumedSchema = z.strictObject({
  kind: z.literal(RecordKind.RolloutResumed),
  pool: text,
  version: z.int(),
  author: text,
});

const controlCheckpointSchema = z.strictObject({
  kind: z.literal(RecordKind.ControlCheckpoint),
  /** First position that the checkpoint does not cover. */
  upTo: position,
  /** Encoded control state at `upTo`. */
  state: z.unknown(),
});

const callIntentSchema = z.strictObject({
  kind: z.literal(RecordKind.CallIntent),
  caller: text,
  key: text,
  service: text,
  bodyDigest: digest,
  instance: text,
});

const callSettledSchema = z.strictObject({
  kind: z.literal(RecordKind.CallSettled),
  caller: text,
  key: text,
  /** Position of the intent's record. */
  intent: position,
  result: z.enum(CallResult),
  answer: answerSchema.optional(),
});

const callsCheckpointSchema = z.strictObject({
  kind: z.literal(RecordKind.CallsCheckpoint),
  upTo: position,
  state: z.unknown(),
});

const burnSummarySchema = z.strictObject({
  kind: z.literal(RecordKind.BurnSummary),
  instance: text,
  /** Interval that the counters cover, in ms since the epoch. */
  fromMs: z.number(),
  toMs: z.number(),
  /** Whether the instance shut down cleanly after this interval. */
  last: z.boolean().optional(),
  /** Counters by `group/model/name`. */
  counters: z.record(z.string(), z.number()),
});

/** Schema of any record. */
export const logRecordSchema = z.discriminatedUnion("kind", [
  instanceStartedSchema,
  instanceStoppedSchema,
  bundlePublishedSchema,
  leaseClaimedSchema,
  leaseRenewedSchema,
  leaseReleasedSchema,
  drainOpenedSchema,
  drainConfirmedSchema,
  drainClosedSchema,
  orderOpenedSchema,
  orderClosedSchema,
  rolloutHaltedSchema,
  rolloutResumedSchema,
  controlCheckpointSchema,
  callIntentSchema,
  callSettledSchema,
  callsCheckpointSchema,
  burnSummarySchema,
]);

/** One record of a stream. */
export type LogRecord = z.infer<typeof logRecordSchema>;
/** The record of one kind. */
export type RecordOf<K extends RecordKind> = Extract<LogRecord, { kind: K }>;

/**
 * Maximum number of entries between the newest one that a writer has read and
 * the group that it appends. Readers ignore a later group, so a writer knows
 * in the end that a lost append cannot take effect, and readers detect repeated
 * ids by remembering this many newest groups.
 */
export const maxGroupLagEntries = 2048;

/** Schema of one appended group; readers ignore a repeated `id`. */
export const recordGroupSchema = z.strictObject({
  id: z.uuid(),
  writer: text,
  /**
   * First offset at which readers ignore the group: the writer's next offset
   * to read plus `maxGroupLagEntries`, at most.
   */
  expires: z.int().min(1),
  records: z.array(logRecordSchema).min(1).max(maxGroupRecords),
});

/** One appended group of records. */
export type RecordGroup = z.infer<typeof recordGroupSchema>;

/** A record with its position, writer and append time in ms since the epoch. */
export interface PositionedRecord {
  readonly position: number;
  readonly writer: string;
  readonly timeMs: number;
  readonly record: LogRecord;
}
