/** Random control records with current or stale references to the state. */
import * as fc from "fast-check";
import {
  type ControlState,
  type LogPosition,
  type LogRecord,
  OrderClosing,
  RecordKind,
} from "../../types/index.ts";
import {
  buildClaim,
  buildClosing,
  buildDrain,
  buildOrder,
  buildPublication,
  buildStart,
  buildTestBundle,
  getPoolOfEngine,
  trustedKey,
} from "./control_histories.test.ts";
import { getVersionInForce } from "./rules.ts";

/** Random values from which a record is built. */
export interface ControlStep {
  readonly writer: string;
  readonly kind: RecordKind;
  readonly engine: string;
  readonly closing: OrderClosing;
  /** Whether references such as epochs point to an earlier position. */
  readonly isStale: boolean;
  /**
   * Chooses between two forms of the record, for instance by a trusted or an
   * unknown key.
   */
  readonly useVariant: boolean;
  readonly isReached: boolean;
}

const recordKinds = [
  RecordKind.InstanceStarted,
  RecordKind.InstanceStopped,
  RecordKind.BundlePublished,
  RecordKind.LeaseClaimed,
  RecordKind.LeaseRenewed,
  RecordKind.LeaseReleased,
  RecordKind.DrainOpened,
  RecordKind.DrainConfirmed,
  RecordKind.DrainClosed,
  RecordKind.OrderOpened,
  RecordKind.OrderOpened,
  RecordKind.OrderClosed,
  RecordKind.OrderClosed,
  RecordKind.RolloutHalted,
  RecordKind.RolloutResumed,
];

/** Random steps of three writers on three engines. */
export const controlSteps: fc.Arbitrary<readonly ControlStep[]> = fc.array(
  fc.record({
    writer: fc.constantFrom("a", "b", "c"),
    kind: fc.constantFrom(...recordKinds),
    engine: fc.constantFrom("c1", "c2", "i1"),
    closing: fc.constantFrom(...Object.values(OrderClosing)),
    isStale: fc.integer({ min: 0, max: 3 }).map((draw) => draw === 0),
    useVariant: fc.boolean(),
    isReached: fc.boolean(),
  }),
  { minLength: 20, maxLength: 120 },
);

/**
 * Records with two instances, a bundle and two leases, so that most random
 * steps can be valid.
 */
export function listSetupRecords(): readonly (readonly [string, LogRecord])[] {
  return [
    ["a", buildStart("a")],
    ["b", buildStart("b")],
    ["ctl", buildPublication(buildTestBundle(1))],
    ["a", buildClaim("checked", "a", { replaces: 0 })],
    ["a", buildClaim("ignored", "a", { replaces: 0 })],
  ];
}

/** Builds the record of a step at a state. */
export function buildStepRecord(
  state: ControlState,
  step: ControlStep,
): LogRecord {
  const { engine, writer, useVariant, closing } = step;
  const pool = getPoolOfEngine(engine);
  const epoch = pickReference(state.leases[pool]?.epoch, step);
  const version = getVersionInForce(state);
  const order = pickReference(state.orders[engine]?.order, step);
  switch (step.kind) {
    case RecordKind.InstanceStarted:
      return buildStart(writer, useVariant ? writer : "shared");
    case RecordKind.InstanceStopped:
      return { kind: step.kind, instance: writer };
    case RecordKind.BundlePublished:
      return buildPublication(
        buildTestBundle(Math.max(1, step.isStale ? version : version + 1)),
        useVariant ? trustedKey : "stranger",
      );
    case RecordKind.LeaseClaimed:
      return buildClaim(pool, writer, {
        replaces: pickReference(state.leases[pool]?.renewed, step),
      });
    case RecordKind.LeaseRenewed:
    case RecordKind.LeaseReleased:
      return { kind: step.kind, pool, epoch };
    case RecordKind.DrainOpened:
      return buildDrain(engine, epoch);
    case RecordKind.DrainConfirmed: {
      const drain = pickReference(state.drains[engine]?.drain, step);
      return { kind: step.kind, engine, drain, instance: writer };
    }
    case RecordKind.DrainClosed: {
      const drain = pickReference(state.drains[engine]?.drain, step);
      return { kind: step.kind, pool, epoch, engine, drain };
    }
    case RecordKind.OrderOpened:
      return buildOrder(engine, epoch, { fenceOnly: useVariant, version });
    case RecordKind.RolloutHalted:
      return { kind: step.kind, pool, epoch, version, reason: "worse" };
    case RecordKind.RolloutResumed:
      return { kind: step.kind, pool, version, author: writer };
    default: {
      const ownEpoch = useVariant ? state.orders[engine]?.epoch ?? 0 : epoch;
      return buildClosing(engine, order, {
        epoch: ownEpoch,
        closing,
        reached: step.isReached,
      });
    }
  }
}

function pickReference(
  position: LogPosition | undefined,
  step: ControlStep,
): LogPosition {
  return step.isStale ? Math.max(0, (position ?? 0) - 4096) : position ?? 0;
}
