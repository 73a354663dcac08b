/** Steps of `fair_shares.feature`: instances share one room without a queue. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import fc from "fast-check";
import { computeLevel, createFairShares, type FairShares } from "./index.ts";

/** What calls of one workspace did in one time step. */
interface Outcome {
  readonly atMs: number;
  readonly workspace: string;
  readonly end: "taken" | "full" | "share";
  readonly retryAfterMs?: number;
}

/** Calls of one workspace. */
interface Source {
  readonly workspace: string;
  readonly perSecond: number;
  /** Instances that its callers reach. */
  readonly seats: readonly number[];
  readonly repeats: number;
}

/** State of one scenario. */
interface SharesWorld {
  shareClock?: PausedClock;
  demands: readonly number[];
  level: number;
  instances: FairShares[];
  lostShare: number;
  roomPerSecond: number;
  others: Source[];
  outcomes: Outcome[];
  told: number;
  random: () => number;
}

const stepMs = 20;
/** Steps whose room is kept for a burst. */
const maxFreeSteps = 3;
const digestMs = 500;
const msPerSecond = 1_000;
const service = "search";
const stepLimit = { timeout: 120_000 };
const beforeMs = 3_000;
const settleMs = 2_000;
const floodMs = 6_000;
const tolerance = 0.1;

After(function (this: SharesWorld): void {
  this.shareClock?.uninstall();
});

/** Random numbers that are the same in each run. */
function createRandom(): () => number {
  let state = 12_345;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

function sendDigests(
  { instances, lostShare, random, ...world }: SharesWorld,
): number {
  const reports = instances.map((each) => each.collectReports());
  const told = reports.filter((each) => each !== undefined).length;
  for (const [receiver, shares] of instances.entries()) {
    for (const [sender, report] of reports.entries()) {
      if (sender === receiver || random() < lostShare) continue;
      shares.applyReports(`i-${sender}`, report);
    }
  }
  return world.told + told;
}

/** Sends calls for a time; refused ones come back in the next step while they have repeats left. */
async function runCalls(
  world: SharesWorld,
  { sources, forMs }: {
    readonly sources: readonly Source[];
    readonly forMs: number;
  },
): Promise<void> {
  const { random, instances, roomPerSecond, outcomes } = world;
  const due = sources.map(() => random());
  const stepRoom = roomPerSecond * stepMs / msPerSecond;
  let room = stepRoom;
  let repeats: { source: Source; left: number }[] = [];
  for (let ms = 0; ms < forMs; ms += stepMs) {
    if (ms % digestMs === 0) world.told = sendDigests(world);
    const calls = repeats;
    repeats = [];
    for (const [index, source] of sources.entries()) {
      due[index] = (due[index] ?? 0) + source.perSecond * stepMs / msPerSecond;
      while ((due[index] ?? 0) >= 1) {
        due[index] = (due[index] ?? 0) - 1;
        calls.push({ source, left: source.repeats });
      }
    }
    room = Math.min(room + stepRoom, stepRoom * maxFreeSteps);
    const order = calls.map((call) => ({ call, place: random() }))
      .toSorted((one, other) => one.place - other.place);
    for (const { call: { source, left } } of order) {
      const seat = Math.floor(random() * source.seats.length);
      const shares = instances[source.seats[seat] ?? 0];
      assert(shares);
      const { workspace } = source;
      const retryAfterMs = shares.admit({ service, workspace, work: 1 });
      const end = retryAfterMs !== undefined
        ? "share"
        : room >= 1
        ? "taken"
        : "full";
      if (end === "taken") room -= 1;
      if (end === "full") shares.recordRefused({ service, work: 1 });
      outcomes.push({ atMs: performance.now(), workspace, end, retryAfterMs });
      if (end !== "taken" && left > 0) {
        repeats.push({ source, left: left - 1 });
      }
    }
    await world.shareClock?.tickAsync(stepMs);
  }
}

/** Calls a second that were taken since a time, of one workspace or of those whose names begin so. */
function countTaken(
  { outcomes }: SharesWorld,
  { name, fromMs, toMs = performance.now() }: {
    readonly name: string;
    readonly fromMs: number;
    readonly toMs?: number;
  },
): number {
  const taken = outcomes.filter(({ atMs, end, workspace }) =>
    end === "taken" && workspace.startsWith(name) && atMs >= fromMs &&
    atMs < toMs
  );
  return taken.length * msPerSecond / (toMs - fromMs);
}

function listSeats(world: SharesWorld): readonly number[] {
  return world.instances.map((_, index) => index);
}

function buildFlood(world: SharesWorld, seat: string): Source {
  return {
    workspace: "flood",
    perSecond: 30 * 200,
    seats: seat === "one instance" ? [0] : listSeats(world),
    repeats: 2,
  };
}

Given(
  "workspaces that ask for {string}",
  function (this: SharesWorld, demands: string): void {
    this.demands = demands.split(" ").map(Number);
  },
);

When(
  "they share a room of {int}",
  function (this: SharesWorld, room: number): void {
    const groups = this.demands.map((demand) => ({ demand, count: 1 }));
    this.level = computeLevel(groups, room);
  },
);

Then(
  "each may have up to {string}",
  function (this: SharesWorld, level: string): void {
    assert.equal(this.level, Number(level));
  },
);

Then("shares of random demands are max-min within 10 in 100", () => {
  const group = fc.record({
    demand: fc.integer({ min: 1, max: 10_000 }),
    count: fc.integer({ min: 1, max: 50 }),
  });
  fc.assert(
    fc.property(
      fc.array(group, { minLength: 1, maxLength: 60 }),
      fc.integer({ min: 1, max: 500_000 }),
      (groups, room) => {
        const level = computeLevel(groups, room);
        const total = groups.reduce(
          (sum, { demand, count }) => sum + Math.min(demand, level) * count,
          0,
        );
        const asked = groups.reduce(
          (sum, { demand, count }) => sum + demand * count,
          0,
        );
        const whole = Math.min(room, asked);
        assert(Math.abs(total - whole) <= whole * tolerance);
      },
    ),
    { seed: 47, numRuns: 500 },
  );
});

Given(
  "{int} instances, of whose digests {int} in 100 are lost",
  function (this: SharesWorld, count: number, lost: number): void {
    this.shareClock = pauseClock();
    this.random = createRandom();
    this.lostShare = lost / 100;
    this.instances = Array.from(
      { length: count },
      () =>
        createFairShares({ random: this.random, logEvent: () => undefined }),
    );
    this.others = [];
    this.outcomes = [];
    this.told = 0;
  },
);

Given(
  "room for {int} calls a second, of which {int} workspaces ask for {int}",
  function (
    this: SharesWorld,
    room: number,
    count: number,
    perSecond: number,
  ): void {
    this.roomPerSecond = room;
    this.others = Array.from({ length: count }, (_, index) => ({
      workspace: `w-${index}`,
      perSecond: perSecond / count,
      seats: index % 4 === 0
        ? listSeats(this)
        : [index % this.instances.length],
      repeats: 0,
    }));
  },
);

When(
  "the workspaces call for {int} s",
  stepLimit,
  async function (this: SharesWorld, seconds: number): Promise<void> {
    await runCalls(this, {
      sources: this.others,
      forMs: seconds * msPerSecond,
    });
  },
);

When(
  /^one more workspace asks for 30 times its share, at (.+), and repeats refused calls at once$/,
  stepLimit,
  async function (this: SharesWorld, seat: string): Promise<void> {
    await runCalls(this, {
      sources: [...this.others, buildFlood(this, seat)],
      forMs: floodMs,
    });
  },
);

When(
  "one more workspace asks for 30 times its share, with enough room",
  stepLimit,
  async function (this: SharesWorld): Promise<void> {
    this.roomPerSecond = 10_000;
    const flood = buildFlood(this, "all instances");
    await runCalls(this, { sources: [...this.others, flood], forMs: floodMs });
  },
);

When(
  "6 workspaces at all instances ask for 200 to 700 calls a second",
  stepLimit,
  async function (this: SharesWorld): Promise<void> {
    const large = [2, 3, 4, 5, 6, 7].map((hundreds) => ({
      workspace: `large-${hundreds}`,
      perSecond: hundreds * 100,
      seats: listSeats(this),
      repeats: 0,
    }));
    await runCalls(this, {
      sources: [...this.others, ...large],
      forMs: floodMs,
    });
  },
);

Then(
  "from 2 s on the others get at least {int} in 100 of what they got before",
  function (this: SharesWorld, percent: number): void {
    const startMs = performance.now() - floodMs;
    const before = countTaken(this, {
      name: "w-",
      fromMs: startMs - beforeMs,
      toMs: startMs,
    });
    const fromMs = startMs + settleMs;
    const during = countTaken(this, { name: "w-", fromMs });
    assert(during >= before * percent / 100, `${during} of ${before}`);
  },
);

Then(
  "the flood gets between {int} and {int} calls a second",
  function (this: SharesWorld, least: number, most: number): void {
    const fromMs = performance.now() - floodMs + settleMs;
    const got = countTaken(this, { name: "flood", fromMs });
    assert(got >= least && got <= most, String(got));
  },
);

Then(
  "those get the same within 10 in 100, and the others all that they ask for",
  function (this: SharesWorld): void {
    const fromMs = performance.now() - floodMs + settleMs;
    const gets = [2, 3, 4, 5, 6, 7].map((hundreds) =>
      countTaken(this, { name: `large-${hundreds}`, fromMs })
    );
    const mean = gets.reduce((sum, each) => sum + each, 0) / gets.length;
    assert(
      gets.every((each) => Math.abs(each - mean) <= mean * tolerance),
      gets.join(" "),
    );
    const others = countTaken(this, { name: "w-", fromMs });
    assert(others >= 95, String(others));
    const refused = this.outcomes.filter(({ end, workspace }) =>
      end === "share" && workspace.startsWith("w-")
    );
    assert.equal(refused.length, 0);
  },
);

Then(
  "no call was refused for a share, and digests told of no demand",
  function (this: SharesWorld): void {
    assert(this.outcomes.every(({ end }) => end === "taken"));
    assert.equal(this.told, 0);
  },
);

Then(
  "no call was refused for a share in the last second",
  function (this: SharesWorld): void {
    const fromMs = performance.now() - msPerSecond;
    const late = this.outcomes.filter(({ atMs }) => atMs >= fromMs);
    assert(late.length > 0 && late.every(({ end }) => end === "taken"));
  },
);

Then(
  "no tenth of a second is told to more than {int} in 100 of the refused calls",
  function (this: SharesWorld, percent: number): void {
    const times = this.outcomes.flatMap(({ retryAfterMs }) =>
      retryAfterMs === undefined ? [] : [Math.floor(retryAfterMs / 100)]
    );
    assert(times.length > msPerSecond);
    const counts = new Map<number, number>();
    for (const each of times) counts.set(each, (counts.get(each) ?? 0) + 1);
    const most = Math.max(...counts.values());
    assert(most <= times.length * percent / 100, `${most} of ${times.length}`);
  },
);

When(
  "{int} workspaces send one call each",
  function (this: SharesWorld, count: number): void {
    for (let index = 0; index < count; index += 1) {
      const workspace = `w-${index}`;
      this.instances[0]?.admit({ service, workspace, work: 1 });
    }
    this.instances[0]?.recordRefused({ service, work: 1 });
  },
);

Then(
  "a digest names at most {int} of them",
  function (this: SharesWorld, count: number): void {
    const demand = this.instances[0]?.collectReports()?.[service];
    assert.equal(Object.keys(demand?.heaviest ?? {}).length, count);
  },
);

When(
  "a peer tells of a demand that is no figure",
  function (this: SharesWorld): void {
    const text = `{"${service}":{"heaviest":{"red":"x","blue":-1},"rest":null,
      "taken":1e400,"refused":1000},"other":null}`;
    this.instances[0]?.applyReports("i-1", JSON.parse(text));
  },
);

Then("a call is admitted", function (this: SharesWorld): void {
  const call = { service, workspace: "red", work: 1 };
  assert.equal(this.instances[0]?.admit(call), undefined);
});
