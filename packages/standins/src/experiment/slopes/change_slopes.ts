/** What changes of engines cost each node that folds the control stream. */
import { randomUUID } from "node:crypto";
import { isDeepStrictEqual } from "node:util";
import {
  buildControlCheckpoint,
  buildGroup,
  type ControlState,
  createPlanner,
  emptyControlState,
  encodeGroup,
  foldControl,
  getPosition,
  type LogRecord,
  type PlannerInput,
  RecordKind,
} from "@trefoildoor/core";
import {
  buildReport,
  buildSizedBundle,
  formatEngine,
  listChangeRecords,
  listNames,
  signSized,
} from "./fleet_sizes.ts";
import { measureHeap, measureProcessor } from "./measure.ts";
import { Quantity, type SlopePoint, type SlopeSeries } from "./slope.ts";

const engineCounts = [100, 600, 2_400];
const instanceCounts = [8, 50, 200, 410];
const pageSizes = [10, 100, 500];
const poolSizes = [8, 50, 100];
const options = { verifySignature: (): boolean => true };

/** Measures the fold by engines and instances, a change's records, and planning. */
export async function measureChanges(): Promise<readonly SlopeSeries[]> {
  return [
    ...await measureFold(),
    measureRecords(),
    measureRenewals(),
    measureCheckpoints(),
    measureState(),
    await measurePlanning(),
  ];
}

/** Fold in a state in which every engine has an open order. */
async function measureFold(): Promise<readonly SlopeSeries[]> {
  const processor: SlopePoint[] = [];
  const heap: SlopePoint[] = [];
  for (const size of engineCounts) {
    const state = buildFleetState(size);
    heap.push({ size, value: measureHeap(() => structuredClone(state)) });
    const drain: LogRecord = {
      kind: RecordKind.DrainOpened,
      pool: "pool-0",
      epoch: state.leases["pool-0"]?.epoch ?? 0,
      engine: formatEngine(0),
    };
    const before = { ...state, drains: removeFirst(state.drains) };
    expectCounted(before, drain);
    const value = await measureProcessor(() => foldRecord(before, drain));
    processor.push({ size, value });
  }
  return [
    {
      name: "fold",
      quantity: Quantity.Processor,
      of: "control record that counts",
      per: "engine with a drain and an order",
      points: processor,
    },
    {
      name: "control-heap/engine",
      quantity: Quantity.Heap,
      of: "control state, bundle included",
      per: "engine with a drain and an order",
      points: heap,
    },
  ];
}

/** A measurement of records that do not count would mean nothing. */
function expectCounted(state: ControlState, record: LogRecord): void {
  const { next: _, ...before } = state;
  const { next: __, ...after } = foldRecord(state, record);
  if (isDeepStrictEqual(before, after)) throw new Error("record did not count");
}

function removeFirst<T>(
  entries: Readonly<Record<string, T>>,
): Readonly<Record<string, T>> {
  const { [formatEngine(0)]: _, ...rest } = entries;
  return rest;
}

/** Bytes of all records of one engine's change. */
function measureRecords(): SlopeSeries {
  return {
    name: "change-wire",
    quantity: Quantity.Wire,
    of: "change of one engine",
    per: "instance that confirms the drain",
    points: instanceCounts.map((size) => {
      const records = listChangeRecords(formatEngine(0), {
        pool: "pool-0",
        epoch: getPosition(3),
        instances: listNames("entry", size),
      });
      return { size, value: Buffer.byteLength(JSON.stringify(records)) };
    }),
  };
}

/** Bytes of a page of lease renewals, each an entry of its own. */
function measureRenewals(): SlopeSeries {
  const record: LogRecord = {
    kind: RecordKind.LeaseRenewed,
    pool: "pool-0",
    epoch: getPosition(1_000_000),
  };
  const payload = encodeGroup(buildGroup([record], {
    id: randomUUID(),
    writer: "entry-100-1767225600000",
    nextOffset: 1_000_000,
  }));
  const entry = { offset: 1_000_000, "time_ms": 1_767_225_600_000, payload };
  return {
    name: "renewal-wire",
    quantity: Quantity.Wire,
    of: "page of the control stream",
    per: "renewal of a lease",
    points: pageSizes.map((size) => {
      const entries = Array.from({ length: size }, () => entry);
      return { size, value: Buffer.byteLength(JSON.stringify({ entries })) };
    }),
  };
}

/** Bytes of a checkpoint of the control stream. */
function measureCheckpoints(): SlopeSeries {
  return {
    name: "checkpoint-wire",
    quantity: Quantity.Wire,
    of: "checkpoint of the control stream, bundle included",
    per: "engine with a drain and an order",
    points: engineCounts.map((size) => {
      const record = buildControlCheckpoint(buildFleetState(size));
      return { size, value: Buffer.byteLength(JSON.stringify(record)) };
    }),
  };
}

/** Heap of the control state by instances. */
function measureState(): SlopeSeries {
  return {
    name: "control-heap/instance",
    quantity: Quantity.Heap,
    of: "control state",
    per: "instance",
    points: instanceCounts.map((size) => {
      const state = buildStartedState(size);
      return { size, value: measureHeap(() => structuredClone(state)) };
    }),
  };
}

function buildStartedState(instances: number): ControlState {
  return listNames("entry", instances).reduce(
    (state, instance, index) =>
      foldRecord(state, {
        kind: RecordKind.InstanceStarted,
        instance,
        failureDomain: `domain-${index % 17}`,
        peerAddress: `10.1.${index % 200}.${index}:7100`,
      }),
    emptyControlState,
  );
}

async function measurePlanning(): Promise<SlopeSeries> {
  const points: SlopePoint[] = [];
  for (const size of poolSizes) {
    const input = buildPlannerInput(size);
    const plan = createPlanner();
    points.push({ size, value: await measureProcessor(() => plan(input)) });
  }
  return {
    name: "plan",
    quantity: Quantity.Processor,
    of: "role decision",
    per: "engine of the pool",
    points,
  };
}

function buildPlannerInput(size: number): PlannerInput {
  const bundle = buildSizedBundle({ engines: size, callers: 0 });
  const [pool] = bundle.pools;
  if (!pool) throw new Error("the bundle has no pool");
  const nowMs = 60_000;
  return {
    pool,
    engines: pool.engines.map((engine, index) => ({
      name: engine.name,
      failureDomain: engine.failure_domain,
      role: engine.role,
      ready: true,
      report: buildReport(index + 1),
      reportAgeMs: 300,
    })),
    demand: Array.from({ length: 40 }, (_, index) => ({
      fromMs: nowMs - (40 - index) * 1_000,
      toMs: nowMs - (39 - index) * 1_000,
      requests: size * 5,
      promptTokens: size * 8_000,
      outputTokens: size * 1_500,
      refused: 0,
    })),
    nowMs,
  };
}

/** A state whose engines have each had one order that is still open. */
function buildFleetState(engines: number): ControlState {
  const bundle = buildSizedBundle({ engines, callers: 0 });
  const signed = signSized(bundle);
  const started = foldRecord(
    foldRecord(emptyControlState, { kind: RecordKind.BundlePublished, signed }),
    {
      kind: RecordKind.InstanceStarted,
      instance: "entry-1",
      failureDomain: "domain-1",
      peerAddress: "10.0.0.1:7100",
    },
  );
  let state = started;
  for (const pool of bundle.pools) {
    state = foldRecord(state, {
      kind: RecordKind.LeaseClaimed,
      pool: pool.name,
      holder: "entry-1",
      replaces: 0,
    });
    const epoch = state.leases[pool.name]?.epoch ?? 0;
    for (const engine of pool.engines) {
      const records = listChangeRecords(engine.name, {
        pool: pool.name,
        epoch,
        instances: [],
      });
      state = records.slice(0, 2).reduce(foldRecord, state);
    }
  }
  return state;
}

function foldRecord(state: ControlState, record: LogRecord): ControlState {
  const position = Math.max(state.next, getPosition(1));
  const entry = { position, writer: "entry-1", timeMs: 0, record };
  return foldControl(state, entry, options);
}
