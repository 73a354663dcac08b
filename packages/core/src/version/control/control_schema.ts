/** Schema of the folded control state, as stored in checkpoints and sent by peers. */
import { z } from "zod";
import {
  BundleRejection,
  type ControlState,
  EngineRole,
  type LogRecord,
  OrderClosing,
  RecordKind,
  signedBundleSchema,
} from "../../types/index.ts";
import type { FoldControlOptions } from "./fold_control.ts";

const text = z.string();
const position = z.int().min(0);

const targetSchema = z.strictObject({
  role: z.enum(EngineRole),
  models: z.array(z.strictObject({
    model: text,
    version: text,
    adapters: z.array(text),
  })),
});

const controlStateSchema = z.strictObject({
  next: position,
  bundle: z.strictObject({ position, signed: signedBundleSchema }).optional(),
  history: z.array(z.strictObject({
    position,
    timeMs: z.number(),
    version: z.int(),
    parent: z.int(),
    author: text,
    note: text,
    rejection: z.enum(BundleRejection).optional(),
  })),
  instances: z.record(
    text,
    z.strictObject({
      instance: text,
      failureDomain: text,
      peerAddress: text,
      started: position,
    }),
  ),
  leases: z.record(
    text,
    z.strictObject({
      pool: text,
      epoch: position,
      holder: text,
      renewed: position,
      released: z.boolean(),
    }),
  ),
  drains: z.record(
    text,
    z.strictObject({
      engine: text,
      pool: text,
      epoch: position,
      drain: position,
      confirmed: z.array(text),
    }),
  ),
  orders: z.record(
    text,
    z.strictObject({
      engine: text,
      pool: text,
      epoch: position,
      order: position,
      sender: text,
      target: targetSchema,
      version: z.int(),
      fenceOnly: z.boolean(),
      closed: z.strictObject({
        closing: z.enum(OrderClosing),
        reached: z.boolean(),
        detail: text,
        position,
      }).optional(),
    }),
  ),
  halts: z.record(
    text,
    z.strictObject({ pool: text, version: z.int(), reason: text }),
  ),
  groups: z.array(text),
});

/**
 * Parses a control state from plain data; undefined when it does not
 * match the schema or no trusted key signed its bundle.
 */
export function parseControlState(
  data: unknown,
  options: FoldControlOptions,
): ControlState | undefined {
  const state = controlStateSchema.safeParse(data).data;
  if (!state) return undefined;
  if (!state.bundle) return state;
  return options.verifySignature(state.bundle.signed) ? state : undefined;
}

/** Builds the checkpoint record of a state. */
export function buildControlCheckpoint(state: ControlState): LogRecord {
  return { kind: RecordKind.ControlCheckpoint, upTo: state.next, state };
}

/**
 * Reads the state of a checkpoint record; undefined for other records and
 * invalid states.
 */
export function readControlCheckpoint(
  record: LogRecord,
  options: FoldControlOptions,
): ControlState | undefined {
  if (record.kind !== RecordKind.ControlCheckpoint) return undefined;
  return parseControlState(record.state, options);
}
