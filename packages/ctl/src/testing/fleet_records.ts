/** Records of a small fleet for tests. */
import {
  buildCallsCheckpoint,
  buildControlCheckpoint,
  type BurnSummary,
  checkEntry,
  emptyCallsState,
  emptyControlState,
  EngineRole,
  foldCalls,
  foldControl,
  foldEntry,
  getPosition,
  type LogRecord,
  OrderClosing,
  type PositionedRecord,
  RecordKind,
  StreamName,
  type StreamState,
} from "@trefoildoor/core";
import type { MemoryLog } from "./memory_log.ts";

const pool = "drafting";
const minuteMs = 60_000;
const target = {
  role: EngineRole.Mixed,
  models: [{
    model: "contract-reader",
    version: "1.0",
    adapters: ["venue-rules", "quotes"],
  }],
};

/**
 * Appends to a log that holds one bundle: two instances, a lease that passes
 * from one to the other, a finished order, a failed one, one that waits for
 * its deposed sender, one that is open, a drain and a halt; and one call.
 * Resolves to the epoch of the lease.
 */
export async function appendFleetRecords(log: MemoryLog): Promise<number> {
  let offset = 1;
  async function add(record: LogRecord, writer: string): Promise<number> {
    await log.appendRecords(StreamName.Control, [record], { writer });
    return getPosition(offset++);
  }
  for (const instance of ["entry-1", "entry-2"]) {
    await add({
      kind: RecordKind.InstanceStarted,
      instance,
      failureDomain: instance === "entry-1" ? "sapporo" : "hakodate",
      peerAddress: `192.0.2.10${instance.at(-1)}:7100`,
    }, instance);
  }
  async function claim(holder: string, replaces: number): Promise<number> {
    const kind = RecordKind.LeaseClaimed;
    return await add({ kind, pool, holder, replaces }, holder);
  }
  async function order(
    engine: string,
    { epoch, writer }: { readonly epoch: number; readonly writer: string },
  ): Promise<{ readonly order: number; readonly drain: number }> {
    const drain = await add(
      { kind: RecordKind.DrainOpened, pool, epoch, engine },
      writer,
    );
    const order = await add({
      kind: RecordKind.OrderOpened,
      pool,
      epoch,
      engine,
      target,
      version: 1,
      fenceOnly: false,
    }, writer);
    return { order, drain };
  }
  async function close(
    engine: string,
    given: {
      readonly epoch: number;
      readonly order: number;
      readonly drain: number;
      readonly reached: boolean;
    },
  ): Promise<void> {
    const { drain, ...rest } = given;
    await add({
      kind: RecordKind.OrderClosed,
      pool,
      engine,
      ...rest,
      closing: OrderClosing.Result,
      detail: given.reached ? "" : "weights are missing",
    }, "entry-1");
    const { epoch } = given;
    await add(
      { kind: RecordKind.DrainClosed, pool, epoch, engine, drain },
      "entry-1",
    );
  }
  const first = { epoch: await claim("entry-1", 0), writer: "entry-1" };
  const { epoch } = first;
  const done = await order("engine-1", first);
  await close("engine-1", { epoch, ...done, reached: true });
  const failed = await order("engine-2", first);
  await close("engine-2", { epoch, ...failed, reached: false });
  await order("engine-3", first);
  const second = {
    epoch: await claim("entry-2", epoch),
    writer: "entry-2",
  };
  await order("engine-4", second);
  await add({
    kind: RecordKind.DrainOpened,
    pool,
    epoch: second.epoch,
    engine: "engine-5",
  }, "entry-2");
  await appendHalt(log, { epoch: second.epoch, version: 1 });
  await log.appendRecords(StreamName.Calls, [{
    kind: RecordKind.CallIntent,
    caller: "shop-otaru",
    key: "order-17",
    service: "booking-desk",
    bodyDigest: "a".repeat(64),
    instance: "entry-1",
  }], { writer: "entry-1" });
  return second.epoch;
}

/** Halts the rollout of a version, as the pool's lease holder does. */
export function appendHalt(
  log: MemoryLog,
  options: { readonly epoch: number; readonly version: number },
): Promise<void> {
  return log.appendRecords(StreamName.Control, [{
    kind: RecordKind.RolloutHalted,
    pool,
    ...options,
    reason: "useful answers fell by 12%",
  }], { writer: "entry-2" });
}

/** Summaries of the hour before `nowMs`: a tenth lost, one hole, one lost end. */
export function listBurnRecords(nowMs: number): readonly BurnSummary[] {
  const startMs = nowMs - 60 * minuteMs;
  return ["entry-1", "entry-2", "entry-3"].flatMap((instance) =>
    Array.from({ length: 20 }, (_, index) => ({
      kind: RecordKind.BurnSummary as const,
      instance,
      // The holes of the second instance lie between its summaries.
      fromMs: startMs + index * 2 * minuteMs + 1,
      toMs: startMs +
        (index * 2 + (instance === "entry-2" ? 1 : 2)) * minuteMs,
      ...(instance === "entry-1" && index === 19 && { last: true }),
      counters: {
        "counters/contract-reader/useful": 9,
        "counters/contract-reader/refused.overloaded": 1,
        ...(index % 4 > 0 && {
          "counters/contract-reader/caller.shop-otaru": 1,
        }),
      },
    }))
  );
}

/** Writes a checkpoint into both streams and forgets the entries before it. */
export async function expireRecords(log: MemoryLog): Promise<void> {
  const control = await readFolded(log, StreamName.Control, {
    emptyState: emptyControlState,
    fold: (state, record) =>
      foldControl(state, record, { verifySignature: () => true }),
  });
  const calls = await readFolded(log, StreamName.Calls, {
    emptyState: emptyCallsState,
    fold: foldCalls,
  });
  const checkpoints = [
    { stream: StreamName.Control, record: buildControlCheckpoint(control) },
    { stream: StreamName.Calls, record: buildCallsCheckpoint(calls) },
  ];
  for (const { stream, record } of checkpoints) {
    const { end } = await log.read(stream, { from: 0, limit: 1 });
    await log.appendRecords(stream, [record], { writer: "entry-2" });
    log.expire(stream, end);
  }
}

async function readFolded<S extends StreamState>(
  log: MemoryLog,
  stream: StreamName,
  options: {
    readonly emptyState: S;
    readonly fold: (state: S, record: PositionedRecord) => S;
  },
): Promise<S> {
  const { entries } = await log.read(stream, { from: 0, limit: 1_000 });
  return entries.reduce(
    (state, entry) => foldEntry(state, checkEntry(state, entry), options),
    options.emptyState,
  );
}
