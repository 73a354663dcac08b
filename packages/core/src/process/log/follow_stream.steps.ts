/** Steps of `follow_stream.feature`. */
import { strict as assert } from "node:assert";
import { randomUUID } from "node:crypto";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import {
  Effect,
  type LogEntry,
  type LogRecord,
  type LogService,
  type PositionedRecord,
  recordGroupSchema,
  RecordKind,
  RemoteError,
  RemoteFailure,
  StreamName,
} from "../../types/index.ts";
import { followStream, type StreamFollower } from "./follow_stream.ts";
import {
  buildGroup,
  encodeGroup,
  getOffset,
  type StreamState,
} from "./groups.ts";
import {
  AppendFault,
  createMemoryLog,
  type MemoryLog,
} from "./memory_log.test.ts";

/** Folded state: the texts of all counted records in log order. */
interface TextState extends StreamState {
  readonly texts: readonly string[];
}

/** State of one scenario. */
interface StreamWorld {
  clock: PausedClock;
  memory: MemoryLog;
  nodes: StreamFollower<TextState>[];
  outcomes: string[];
  events: string[];
  isDisconnected: boolean;
  matchSnapshot: (received: unknown) => void;
}

const stream = StreamName.Control;
const emptyState: TextState = { next: 0, groups: [], texts: [] };
const names = ["first", "second", "third"];

Given("two nodes that follow one stream", function (this: StreamWorld): void {
  this.clock = pauseClock();
  this.memory = createMemoryLog();
  this.outcomes = [];
  this.events = [];
  this.isDisconnected = false;
  this.nodes = [];
  this.nodes.push(startNode(this));
  this.nodes.push(startNode(this));
});

After(async function (this: StreamWorld): Promise<void> {
  if (!this.nodes || !this.clock) return;
  const stopped = this.nodes.map((node) => node.stop());
  await this.clock.tickAsync(10_000);
  await Promise.all(stopped);
  this.clock.uninstall();
});

Given(/^the log's (answers|entries) are (lost|held back)$/, function (
  this: StreamWorld,
  what: string,
  how: string,
): void {
  const lost = what === "answers"
    ? AppendFault.LostAnswer
    : AppendFault.LostEntry;
  this.memory.fault = how === "lost" ? lost : AppendFault.Held;
});

Given("the log is down", function (this: StreamWorld): void {
  this.memory.isDown = true;
});

When("the log works again", function (this: StreamWorld): void {
  this.memory.isDown = false;
  this.memory.fault = AppendFault.None;
});

When("the held entries arrive", function (this: StreamWorld): void {
  this.memory.release();
});

When("{int} ms pass on the log's nodes", async function (
  this: StreamWorld,
  ms: number,
): Promise<void> {
  await this.clock.tickAsync(ms);
});

When("the {word} node appends {string}", async function (
  this: StreamWorld,
  name: string,
  texts: string,
): Promise<void> {
  for (const text of texts) appendText(this, name, { text });
  await this.clock.tickAsync(0);
});

When("another writer appends {int} entries", function (
  this: StreamWorld,
  count: number,
): void {
  for (let index = 0; index < count; index++) {
    this.memory.write(
      stream,
      encodeGroup(buildGroup([buildText(".")], {
        id: randomUUID(),
        writer: "other",
        nextOffset: this.memory.entries(stream).length,
      })),
    );
  }
});

When("the entry {string} stands in the log", function (
  this: StreamWorld,
  payload: string,
): void {
  this.memory.write(stream, payload);
});

When("the log forgets what the newest checkpoint covers", function (
  this: StreamWorld,
): void {
  const newest = listCheckpoints(this.memory).at(-1);
  const group = recordGroupSchema.parse(JSON.parse(newest?.payload ?? ""));
  const [record] = group.records;
  assert(record?.kind === RecordKind.ControlCheckpoint);
  this.memory.expire(stream, getOffset(record.upTo));
});

When(/^a third node starts( that asks the first for its state)?$/, function (
  this: StreamWorld,
  asks: string | null,
): void {
  const first = this.nodes[0];
  const fetchPeerState = async () => await Promise.resolve(first?.getState());
  this.nodes.push(startNode(this, asks ? { fetchPeerState } : {}));
});

When("the first node is offered the state before {string}", function (
  this: StreamWorld,
  _text: string,
): void {
  const isAccepted = this.nodes[0]?.offerState(emptyState);
  this.outcomes.push(`offer taken: ${isAccepted}`);
});

When("the second node is cut off from the log", function (
  this: StreamWorld,
): void {
  this.isDisconnected = true;
});

When("the second node is offered the state of the first", function (
  this: StreamWorld,
): void {
  const [first, second] = this.nodes;
  assert(first && second);
  const isAccepted = second.offerState(first.getState());
  this.outcomes.push(`offer taken: ${isAccepted}`);
});

Then("the followed stream matches the snapshot", function (
  this: StreamWorld,
): void {
  const counts = new Map<string, number>();
  for (const { payload } of this.memory.entries(stream)) {
    const kind = payload.includes("checkpoint") ? "checkpoint" : "other";
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
  }
  this.matchSnapshot({
    entries: Object.fromEntries(counts),
    outcomes: this.outcomes,
    events: [...new Set(this.events)].sort(),
    nodes: this.nodes.map((node) => ({
      started: node.isStarted(),
      reachable: node.isReachable(),
      next: node.getState().next,
      texts: node.getState().texts.join("").replace(/\.{9,}/, "..."),
    })),
  });
});

Then("no two checkpoints are more than {int} ms apart", function (
  this: StreamWorld,
  ms: number,
): void {
  const times = listCheckpoints(this.memory).map(({ timeMs }) => timeMs);
  const gaps = [...times, Date.now()].map((time, index) =>
    time - (times[index - 1] ?? time)
  );
  assert(times.length >= 4, `${times.length} checkpoints`);
  assert(Math.max(...gaps) <= ms, `gaps ${gaps}`);
});

function startNode(
  world: StreamWorld,
  options: { readonly fetchPeerState?: () => Promise<TextState | undefined> } =
    {},
): StreamFollower<TextState> {
  const index = world.nodes.length;
  return followStream({
    stream,
    log: index === 1 ? wrapLog(world) : world.memory.log,
    writer: names[index] ?? "other",
    emptyState,
    fold: foldText,
    buildCheckpoint: (state) => ({
      kind: RecordKind.ControlCheckpoint,
      upTo: state.next,
      state,
    }),
    readCheckpoint: (record) =>
      record.kind === RecordKind.ControlCheckpoint
        ? record.state as TextState
        : undefined,
    fetchPeerState: options.fetchPeerState,
    random: () => (index + 1) / 8,
    logEvent: (event) => world.events.push(`${event.number} ${event.message}`),
  });
}

function wrapLog(world: StreamWorld): LogService {
  const { log } = world.memory;
  return {
    append: log.append,
    read: async (name, range) => {
      if (world.isDisconnected) {
        throw new RemoteError("cut off", {
          failure: RemoteFailure.Unreachable,
          effect: Effect.None,
        });
      }
      return await log.read(name, range);
    },
  };
}

function foldText(state: TextState, { record }: PositionedRecord): TextState {
  if (record.kind !== RecordKind.RolloutResumed) return state;
  return { ...state, texts: [...state.texts, record.author] };
}

function buildText(text: string): LogRecord {
  return {
    kind: RecordKind.RolloutResumed,
    pool: "pool",
    version: 1,
    author: text,
  };
}

function appendText(
  world: StreamWorld,
  name: string,
  { text }: { readonly text: string },
): void {
  const node = world.nodes[names.indexOf(name)];
  node?.append([buildText(text)]).then(
    (positions) => world.outcomes.push(`${text} at ${positions}`),
    (error: RemoteError) =>
      world.outcomes.push(`${text} ${error.failure} effect ${error.effect}`),
  );
}

function listCheckpoints(
  memory: MemoryLog,
): readonly LogEntry[] {
  return memory.entries(stream).filter(({ payload }) =>
    payload.includes(RecordKind.ControlCheckpoint)
  );
}
