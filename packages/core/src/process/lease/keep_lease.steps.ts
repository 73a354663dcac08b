/** Steps of `keep_lease.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import {
  type ControlState,
  Effect,
  type LogPosition,
  type LogService,
  RecordKind,
  RemoteError,
  RemoteFailure,
  StreamName,
} from "../../types/index.ts";
import { emptyControlState, foldControl } from "../../version/control/index.ts";
import { followStream, type StreamFollower } from "../log/index.ts";
import {
  AppendFault,
  createMemoryLog,
  type MemoryLog,
} from "../log/memory_log.test.ts";
import {
  type LeaseHandle,
  LeaseLostError,
  maintainLease,
} from "./keep_lease.ts";

/** One instance with its connection to the log. */
interface LeaseNode {
  readonly name: string;
  readonly link: { isCut: boolean; readDelayMs: number };
  readonly stream: StreamFollower<ControlState>;
  readonly keeper: LeaseHandle;
}

/** State of one scenario. */
interface LeaseWorld {
  clock: PausedClock;
  memory: MemoryLog;
  leaseNodes: LeaseNode[];
  history: string[];
  matchSnapshot: (received: unknown) => void;
}

const pool = "drafts";
const tickMs = 50;
const leaseTimeMs = 5_000;

Given(
  "three instances that keep the lease of one pool",
  async function (this: LeaseWorld): Promise<void> {
    this.clock = pauseClock();
    this.memory = createMemoryLog();
    this.history = [];
    this.leaseNodes = ["one", "two", "three"].map((name, index) =>
      startNode(this.memory, { name, random: (index + 1) / 4 })
    );
    await this.clock.tickAsync(tickMs);
    for (const { name, stream } of this.leaseNodes) {
      void stream.append([{
        kind: RecordKind.InstanceStarted,
        instance: name,
        failureDomain: "sapporo",
        peerAddress: name,
      }]);
    }
  },
);

After(async function (this: LeaseWorld): Promise<void> {
  if (!this.leaseNodes) return;
  const stopped = this.leaseNodes.map(async ({ keeper, stream }) => {
    await keeper.stop();
    await stream.stop();
  });
  await this.clock.tickAsync(30_000);
  await Promise.all(stopped);
  this.clock.uninstall();
});

When("{int} ms pass for the lease keepers", async function (
  this: LeaseWorld,
  ms: number,
): Promise<void> {
  await advanceTime(this, ms);
});

When("the holder is cut off from the lease's log", function (
  this: LeaseWorld,
): void {
  findHolder(this).link.isCut = true;
});

When("the holder reads the lease's log {int} ms late", function (
  this: LeaseWorld,
  ms: number,
): void {
  findHolder(this).link.readDelayMs = ms;
});

When("all reach the lease's log again", function (this: LeaseWorld): void {
  for (const { link } of this.leaseNodes) link.isCut = false;
});

When("the answers of the lease's log are lost", function (
  this: LeaseWorld,
): void {
  this.memory.fault = AppendFault.LostAnswer;
});

When("the lease's log is down for {int} ms", async function (
  this: LeaseWorld,
  ms: number,
): Promise<void> {
  this.memory.isDown = true;
  await advanceTime(this, ms);
  this.memory.isDown = false;
});

When("the holder is stopped as planned", function (this: LeaseWorld): void {
  const { keeper } = findHolder(this);
  void keeper.stop();
  assert(!keeper.isHeld());
});

Then("the first holder is told that its epoch is lost", function (
  this: LeaseWorld,
): void {
  const first = this.leaseNodes.find(({ name }) =>
    this.history[0]?.includes(` ${name} `)
  );
  const epoch = Number(/epoch (\d+)/.exec(this.history[0] ?? "")?.[1]);
  assert(first && epoch > 0);
  assert.throws(() => first.keeper.expectHeld(epoch), LeaseLostError);
});

Then("no instance holds the lease", function (this: LeaseWorld): void {
  assert.deepEqual(listHolders(this), []);
});

Then("one instance holds the lease", function (this: LeaseWorld): void {
  assert.equal(listHolders(this).length, 1);
});

Then("two instances held the lease one after the other", function (
  this: LeaseWorld,
): void {
  const holders = new Set(this.history.map((line) => line.split(" ")[2]));
  assert(holders.size === 3, this.history.join("\n"));
});

Then("the history of the lease matches the snapshot", function (
  this: LeaseWorld,
): void {
  this.matchSnapshot(this.history);
});

/** Advances the clock in small steps and checks that at most one instance holds the lease in each. */
async function advanceTime(world: LeaseWorld, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += tickMs) {
    await world.clock.tickAsync(tickMs);
    const holders = listHolders(world);
    assert(holders.length <= 1, `${holders.join(" and ")} hold the lease`);
    if (holders.length === 1) checkRecentRenewal(world);
    const holder = holders[0] ?? "nobody holds";
    const last = world.history.at(-1)?.replace(/^\d+ ms: /, "");
    if (holder === last || (!last && holders.length === 0)) continue;
    const atMs = performance.now().toFixed(0);
    world.history.push(`${atMs} ms: ${holder}`);
  }
}

/** Checks that the log has a claim or renewal younger than the lease time. */
function checkRecentRenewal(world: LeaseWorld): void {
  const renewals = world.memory.entries(StreamName.Control).filter((
    { payload },
  ) =>
    payload.includes(RecordKind.LeaseClaimed) ||
    payload.includes(RecordKind.LeaseRenewed)
  );
  const ageMs = Date.now() - (renewals.at(-1)?.timeMs ?? 0);
  assert(ageMs < leaseTimeMs, `held ${ageMs} ms after the last renewal`);
}

function listHolders(world: LeaseWorld): readonly string[] {
  return world.leaseNodes.flatMap(({ name, keeper }) => {
    const epoch: LogPosition | undefined = keeper.getEpoch();
    return epoch === undefined ? [] : [`${name} holds epoch ${epoch}`];
  });
}

function findHolder(world: LeaseWorld): LeaseNode {
  const holder = world.leaseNodes.find(({ keeper }) => keeper.isHeld());
  assert(holder, "nobody holds the lease");
  return holder;
}

function startNode(
  memory: MemoryLog,
  options: { readonly name: string; readonly random: number },
): LeaseNode {
  const link = { isCut: false, readDelayMs: 0 };
  const random = (): number => options.random;
  const stream = followStream({
    stream: StreamName.Control,
    log: withLink(memory.log, link),
    writer: options.name,
    emptyState: emptyControlState,
    fold: (state, entry) =>
      foldControl(state, entry, { verifySignature: () => true }),
    random,
    logEvent: () => {},
  });
  const keeper = maintainLease({
    pool,
    instance: options.name,
    stream,
    leaseTimeMs,
    random,
    logEvent: () => {},
  });
  return { name: options.name, link, stream, keeper };
}

/** Wraps a log with a connection that can fail and whose reads can be delayed. */
function withLink(log: LogService, link: LeaseNode["link"]): LogService {
  return {
    append: (stream, payload) =>
      link.isCut ? rejectAsUnreachable() : log.append(stream, payload),
    read: async (stream, range) => {
      if (link.isCut) return rejectAsUnreachable();
      const page = await log.read(stream, range);
      await new Promise((resolve) => setTimeout(resolve, link.readDelayMs));
      return page;
    },
  };
}

function rejectAsUnreachable(): Promise<never> {
  return Promise.reject(
    new RemoteError("the link is cut", {
      failure: RemoteFailure.Unreachable,
      effect: Effect.None,
    }),
  );
}
