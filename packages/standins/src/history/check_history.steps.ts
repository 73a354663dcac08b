/** Steps of `check_history.feature`. */
import { strict as assert } from "node:assert";
import { randomUUID } from "node:crypto";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  buildGroup,
  CallResult,
  createExampleBundle,
  digestText,
  encodeGroup,
  EngineRole,
  ExampleFleet,
  FenceCheck,
  formatFinding,
  getPosition,
  type LogEntry,
  type LogRecord,
  OrderClosing,
  RecordKind,
} from "@trefoildoor/core";
import { OrderVerdict } from "../model_engine/index.ts";
import {
  checkHistory,
  type EndpointRecords,
  type EngineRecords,
} from "./check_history.ts";

/** State of one scenario. */
interface HistoryWorld {
  control: LogEntry[];
  calls: LogEntry[];
  records: EndpointRecords;
  matchSnapshot: (received: unknown) => void;
}

type Arrival = EngineRecords["orders"][number];

const verdict = OrderVerdict.Accepted;

Given(
  "a recorded takeover on an engine that checks numbers",
  function (this: HistoryWorld): void {
    this.control = [];
    this.calls = [];
    const { engine, numbers } = writeTakeover(this.control);
    writeCall(this.calls, { key: "k1", result: CallResult.Done });
    const [first = 0, raising = 0, second = 0] = numbers;
    const orders: readonly Arrival[] = [
      { fence: first, fenceOnly: false, verdict },
      { fence: raising, fenceOnly: true, verdict },
      { fence: second, fenceOnly: false, verdict },
    ];
    const engines = [{ name: engine, orders, conflicts: [] }];
    this.records = { engines, runs: ["shop/k1"] };
  },
);

When(/^the recorded history shows (.*)$/, function (
  this: HistoryWorld,
  history: string,
): void {
  const [engine] = this.records.engines;
  assert(engine);
  const { runs } = this.records;
  const [first, raising, second] = engine.orders;
  assert(first && raising && second);
  const faults: Readonly<Record<string, () => EndpointRecords>> = {
    "nothing wrong": () => this.records,
    "an order that was not admitted": () =>
      withOrders(this.records, [first, { ...first, fence: second.fence + 1 }]),
    "an order after a later one": () =>
      withOrders(this.records, [raising, second, first]),
    "two changes at once": () => ({
      runs,
      engines: [{ ...engine, conflicts: [[first.fence, second.fence]] }],
    }),
    "a call that ran twice": () => ({
      ...this.records,
      runs: [...runs, ...runs],
    }),
    "a call without an intent": () => ({
      ...this.records,
      runs: [...runs, "shop/k2"],
    }),
    "a call that was given up": () => {
      writeCall(this.calls, { key: "k3", result: CallResult.GivenUp });
      return { ...this.records, runs: [...runs, "shop/k3"] };
    },
    "a call recorded as done that did not run": () => ({
      ...this.records,
      runs: [],
    }),
  };
  const change = faults[history];
  assert(change, history);
  this.records = change();
});

Then("the findings of the history match the snapshot", function (
  this: HistoryWorld,
): void {
  const { control, calls, records } = this;
  this.matchSnapshot(
    checkHistory({ control, calls }, records).map(formatFinding),
  );
});

function withOrders(
  records: EndpointRecords,
  orders: readonly Arrival[],
): EndpointRecords {
  const engines = records.engines.map((engine) => ({ ...engine, orders }));
  return { ...records, engines };
}

/** Writes a takeover by a second holder; gives the numbers of its orders. */
function writeTakeover(
  entries: LogEntry[],
): { readonly engine: string; readonly numbers: readonly number[] } {
  const bundle = createExampleBundle(ExampleFleet.Association);
  const [pool] = bundle.pools;
  const engine = pool?.engines[0]?.name ?? "";
  assert(pool?.fence_check === FenceCheck.Checked);
  const add = (writer: string, record: LogRecord): number =>
    writeRecord(entries, { writer, record });
  const start = (instance: string): number =>
    add(instance, {
      kind: RecordKind.InstanceStarted,
      instance,
      failureDomain: "sapporo",
      peerAddress: instance,
    });
  const claim = (holder: string, replaces: number): number =>
    add(holder, {
      kind: RecordKind.LeaseClaimed,
      pool: pool.name,
      holder,
      replaces,
    });
  const open = (writer: string, epoch: number, fenceOnly = false): number =>
    add(writer, {
      kind: RecordKind.OrderOpened,
      pool: pool.name,
      epoch,
      engine,
      target: { role: EngineRole.Decode, models: [] },
      version: bundle.version,
      fenceOnly,
    });
  const drain = (writer: string, epoch: number): number =>
    add(writer, {
      kind: RecordKind.DrainOpened,
      pool: pool.name,
      epoch,
      engine,
    });
  start("one");
  start("two");
  const signed = { bundle, key: "operators", signature: "" };
  add("operator", { kind: RecordKind.BundlePublished, signed });
  const epoch = claim("one", 0);
  drain("one", epoch);
  const first = open("one", epoch);
  const next = claim("two", epoch);
  const raising = open("two", next, true);
  add("two", {
    kind: RecordKind.OrderClosed,
    pool: pool.name,
    epoch: next,
    engine,
    order: raising,
    closing: OrderClosing.Result,
    reached: true,
    detail: "",
  });
  drain("two", next);
  return { engine, numbers: [first, raising, open("two", next)] };
}

/** Writes a call's intent and its result. */
function writeCall(
  entries: LogEntry[],
  options: { readonly key: string; readonly result: CallResult },
): void {
  const call = { caller: "shop", key: options.key };
  const intent = writeRecord(entries, {
    writer: "one",
    record: {
      kind: RecordKind.CallIntent,
      ...call,
      service: "desk",
      bodyDigest: digestText(""),
      instance: "one",
    },
  });
  const { result } = options;
  const settled = { kind: RecordKind.CallSettled, ...call, intent, result };
  writeRecord(entries, { writer: "one", record: settled as LogRecord });
}

function writeRecord(
  entries: LogEntry[],
  options: { readonly writer: string; readonly record: LogRecord },
): number {
  const offset = entries.length;
  const group = buildGroup([options.record], {
    id: randomUUID(),
    writer: options.writer,
    nextOffset: offset,
  });
  entries.push({ offset, timeMs: offset, payload: encodeGroup(group) });
  return getPosition(offset);
}
