/**
 * Checks a recorded history: what the log holds, what the endpoints received
 * and ran, and what the product's fold makes of it, against the model's rules.
 */
import {
  CallResult,
  emptyControlState,
  type Finding,
  findOpenOrder,
  foldControl,
  formatCallId,
  type LogEntry,
  RecordKind,
} from "@trefoildoor/core";
import { OrderVerdict, type RecordedOrder } from "../model_engine/index.ts";
import {
  listCountedRecords,
  type ModelHistory,
  type ModelOrder,
  replayModel,
} from "./replay_model.ts";

/** Entries of both streams from their first offset on. */
export interface HistoryEntries {
  readonly control: readonly LogEntry[];
  readonly calls: readonly LogEntry[];
}

/** What an engine recorded, in order of arrival. */
export interface EngineRecords {
  readonly name: string;
  readonly orders: readonly Pick<
    RecordedOrder,
    "fence" | "fenceOnly" | "verdict"
  >[];
  /** Pairs of orders whose changes ran at the same time. */
  readonly conflicts: readonly (readonly [number, number])[];
}

/** What the endpoints recorded themselves. */
export interface EndpointRecords {
  readonly engines: readonly EngineRecords[];
  /** Keys of the calls that services ran, one for each run. */
  readonly runs: readonly string[];
}

/** Lists all that breaks a rule; empty when the history is sound. */
export function checkHistory(
  entries: HistoryEntries,
  records: EndpointRecords,
): readonly Finding[] {
  const history = replayModel(entries.control);
  return [
    ...checkFold(entries.control, history),
    ...records.engines.flatMap((engine) => checkEngine(engine, history)),
    ...checkRuns(entries.calls, records.runs),
  ];
}

/** Compares the product's fold with the replay by the model's rules. */
function checkFold(
  entries: readonly LogEntry[],
  history: ModelHistory,
): readonly Finding[] {
  const state = listCountedRecords(entries).reduce(
    (current, record) =>
      foldControl(current, record, { verifySignature: () => true }),
    emptyControlState,
  );
  const findings: Finding[] = [];
  const version = history.bundles.at(-1)?.version;
  if (state.bundle?.signed.bundle.version !== version) {
    findings.push(describeFault("control", "fold has another bundle in force"));
  }
  for (const [pool, lease] of history.leases) {
    const folded = state.leases[pool];
    const isSame = folded?.epoch === lease.epoch &&
      folded.holder === lease.holder && folded.released === lease.released;
    if (!isSame) findings.push(describeFault(pool, "fold has another lease"));
  }
  for (const engine of new Set(history.orders.map((order) => order.engine))) {
    const open = history.orders.findLast((order) => order.engine === engine);
    const position = open?.closed === undefined ? open?.position : undefined;
    if (findOpenOrder(state, engine)?.order === position) continue;
    findings.push(describeFault(engine, "fold has another open order"));
  }
  return findings;
}

function checkEngine(
  engine: EngineRecords,
  history: ModelHistory,
): readonly Finding[] {
  const findings = engine.conflicts.map(([first, second]) =>
    describeFault(engine.name, `orders ${first} and ${second} ran at once`)
  );
  const own = history.orders.filter((order) => order.engine === engine.name);
  let highest = 0;
  for (const { fence, fenceOnly, verdict } of engine.orders) {
    const order = own.find(({ position }) => position === fence);
    const fault = findOrderFault(order, { fenceOnly });
    if (fault) findings.push(describeFault(engine.name, `${fence} ${fault}`));
    if (verdict !== OrderVerdict.Accepted) continue;
    if (fence < highest) {
      const message = `order ${fence} began after order ${highest}`;
      findings.push(describeFault(engine.name, message));
    }
    highest = Math.max(highest, fence);
  }
  return findings;
}

function findOrderFault(
  order: ModelOrder | undefined,
  options: { readonly fenceOnly: boolean },
): string | undefined {
  if (!order) return "was sent but not admitted";
  return order.fenceOnly === options.fenceOnly
    ? undefined
    : "was sent as another kind of order";
}

/** Checks that each key ran at most once, under an intent, and as recorded. */
function checkRuns(
  entries: readonly LogEntry[],
  runs: readonly string[],
): readonly Finding[] {
  const findings: Finding[] = [];
  const calls = listCalls(entries);
  const counts = new Map<string, number>();
  for (const key of runs) counts.set(key, (counts.get(key) ?? 0) + 1);
  for (const [key, count] of counts) {
    if (count > 1) findings.push(describeFault(key, `ran ${count} times`));
    const call = calls.get(key);
    if (!call) findings.push(describeFault(key, "ran without an intent"));
    else if (call.isFree) findings.push(describeFault(key, "ran, given up"));
  }
  for (const [key, { isDone }] of calls) {
    if (isDone && !counts.has(key)) {
      findings.push(describeFault(key, "is recorded as done but did not run"));
    }
  }
  return findings;
}

/** State of each key at the end of the calls stream. */
function listCalls(
  entries: readonly LogEntry[],
): ReadonlyMap<string, CallEnd> {
  const calls = new Map<string, CallEnd>();
  for (const { position, writer, record } of listCountedRecords(entries)) {
    if (record.kind === RecordKind.CallIntent) {
      const id = formatCallId(record);
      if (calls.get(id)?.isFree === false) continue;
      calls.set(id, { intent: position, writer, isFree: false, isDone: false });
    }
    if (record.kind !== RecordKind.CallSettled) continue;
    const id = formatCallId(record);
    const call = calls.get(id);
    if (!call || call.intent !== record.intent || call.isFree) continue;
    const isFree = record.result === CallResult.GivenUp &&
      writer === call.writer && !call.isDone;
    const isDone = call.isDone || record.result === CallResult.Done;
    calls.set(id, { ...call, isFree, isDone });
  }
  return calls;
}

/** What is known of a key. */
interface CallEnd {
  readonly intent: number;
  readonly writer: string;
  readonly isFree: boolean;
  readonly isDone: boolean;
}

function describeFault(source: string, message: string): Finding {
  return { place: { source }, message };
}
