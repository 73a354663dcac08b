/** Schema and conversion of the checkpoints of the calls stream. */
import { z } from "zod";
import { CallResult, type LogRecord, RecordKind } from "../../types/index.ts";
import { bucketCount, type CallsState } from "./calls_state.ts";

const position = z.int().min(0);

const entriesSchema = z.record(
  z.string(),
  z.strictObject({
    caller: z.string(),
    key: z.string(),
    service: z.string(),
    bodyDigest: z.string(),
    instance: z.string(),
    intent: position,
    timeMs: z.number(),
    result: z.enum([CallResult.Done, CallResult.Unknown]).optional(),
    answer: z.strictObject({
      status: z.int(),
      headers: z.record(z.string(), z.string()),
      body: z.string(),
    }).optional(),
  }),
);

const callsStateSchema = z.strictObject({
  next: position,
  newestMs: z.number(),
  horizonMs: z.number(),
  sweptMs: z.number(),
  open: entriesSchema,
  done: z.array(entriesSchema).length(bucketCount),
  doneCount: z.int(),
  answerLength: z.int(),
  groups: z.array(z.string()).optional(),
});

/** Builds the checkpoint record that replaces the records before `state.next`. */
export function buildCallsCheckpoint(state: CallsState): LogRecord {
  return { kind: RecordKind.CallsCheckpoint, upTo: state.next, state };
}

/** Reads the state of a checkpoint record; undefined for other or malformed records. */
export function readCallsCheckpoint(record: LogRecord): CallsState | undefined {
  if (record.kind !== RecordKind.CallsCheckpoint) return undefined;
  return callsStateSchema.safeParse(record.state).data;
}
