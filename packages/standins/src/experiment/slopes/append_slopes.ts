/** What writing to and reading from the log costs, and what calls leave behind. */
import { randomUUID } from "node:crypto";
import {
  buildGroup,
  CallResult,
  checkEntry,
  digestText,
  emptyCallsState,
  encodeGroup,
  foldCalls,
  getPosition,
  type LogRecord,
  type LogService,
  openLogService,
  RecordKind,
  StreamName,
} from "@trefoildoor/core";
import { measureHeap, measureProcessor, measureWire } from "./measure.ts";
import { openStandinHost } from "./open_host.ts";
import { Quantity, type SlopePoint, type SlopeSeries } from "./slope.ts";

const groupSizes = [1, 8, 32, 128];
const pageSizes = [10, 100, 500];
const callCounts = [1_000, 5_000, 16_000];

/** Measures appends by the records in their group, reads by entry, and calls. */
export async function measureAppends(): Promise<readonly SlopeSeries[]> {
  const host = await openStandinHost(0);
  const log = openLogService({ address: host.log });
  const series = [
    ...await measureGroups(log),
    ...await measureReads(log),
  ];
  await log.close();
  await host.close();
  return [...series, measureCalls(), await measureCallFold()];
}

async function measureGroups(
  log: LogService,
): Promise<readonly SlopeSeries[]> {
  const processor: SlopePoint[] = [];
  const wire: SlopePoint[] = [];
  for (const size of groupSizes) {
    const append = (): Promise<number> =>
      log.append(StreamName.Calls, encodeCalls(size));
    await append();
    wire.push({ size, value: await measureWire(append) });
    processor.push({ size, value: await measureProcessor(append) });
  }
  const shared = { of: "append", per: "record in its group" };
  return [
    {
      name: "append",
      quantity: Quantity.Processor,
      ...shared,
      points: processor,
    },
    { name: "append-wire", quantity: Quantity.Wire, ...shared, points: wire },
  ];
}

/** Reads of pages with one group of two records in each entry, folded. */
async function measureReads(
  log: LogService,
): Promise<readonly SlopeSeries[]> {
  const stream = StreamName.Burn;
  for (let index = 0; index < Math.max(...pageSizes); index++) {
    await log.append(stream, encodeCalls(2));
  }
  const processor: SlopePoint[] = [];
  const wire: SlopePoint[] = [];
  for (const size of pageSizes) {
    const read = async (): Promise<unknown> => {
      const page = await log.read(stream, { from: 0, limit: size });
      return page.entries.map((entry) => checkEntry({ next: 0 }, entry));
    };
    wire.push({ size, value: await measureWire(read) });
    processor.push({ size, value: await measureProcessor(read) });
  }
  const shared = { of: "read of a page", per: "entry of two records" };
  return [
    {
      name: "read",
      quantity: Quantity.Processor,
      ...shared,
      points: processor,
    },
    { name: "read-wire", quantity: Quantity.Wire, ...shared, points: wire },
  ];
}

/** Heap of remembered calls with a small answer each. */
function measureCalls(): SlopeSeries {
  return {
    name: "calls-heap",
    quantity: Quantity.Heap,
    of: "calls state",
    per: "remembered call",
    points: callCounts.map((size) => ({
      size,
      value: measureHeap(() => buildCallsState(size)),
    })),
  };
}

/** Fold of one call's two records by the calls that are remembered. */
async function measureCallFold(): Promise<SlopeSeries> {
  const points: SlopePoint[] = [];
  for (const size of callCounts) {
    const state = buildCallsState(size);
    const value = await measureProcessor(() =>
      foldCall(state, { index: size + 1 })
    );
    points.push({ size, value });
  }
  return {
    name: "calls-fold",
    quantity: Quantity.Processor,
    of: "call: intent and result",
    per: "remembered call",
    points,
  };
}

type Calls = typeof emptyCallsState;

function buildCallsState(size: number): Calls {
  let state = emptyCallsState;
  for (let index = 0; index < size; index++) {
    state = foldCall(state, { index });
  }
  return state;
}

/** Folds an intent and its result, each an entry of its own. */
function foldCall(state: Calls, { index }: { readonly index: number }): Calls {
  const offset = Math.floor(state.next / getPosition(1)) + 1;
  return listCall(index, getPosition(offset)).reduce(
    (current, record, place) =>
      foldCalls(current, {
        position: getPosition(offset + place),
        writer: "entry-1",
        timeMs: 0,
        record,
      }),
    state,
  );
}

function listCall(index: number, intent: number): readonly LogRecord[] {
  const id = { caller: "shop-otaru", key: `order-${index}` };
  return [
    {
      kind: RecordKind.CallIntent,
      ...id,
      service: "booking-desk",
      bodyDigest: digestText(id.key),
      instance: "entry-1",
    },
    {
      kind: RecordKind.CallSettled,
      ...id,
      intent,
      result: CallResult.Done,
      answer: {
        status: 201,
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ booking: index, crew: "north", tent: "10x20" }),
      },
    },
  ];
}

/** Payload of one group with the records of calls. */
function encodeCalls(records: number): string {
  const all = Array.from(
    { length: Math.ceil(records / 2) },
    (_, index) => listCall(index, getPosition(index)),
  ).flat();
  return encodeGroup(buildGroup(all.slice(0, records), {
    id: randomUUID(),
    writer: "entry-1",
    nextOffset: 0,
  }));
}
