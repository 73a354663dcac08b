/** Steps of `keys.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  expectSnapshot,
  pauseClock,
  type PausedClock,
} from "@trefoildoor/testing";
import fc from "fast-check";
import {
  getInstantAgeMs,
  type Instant,
  takeInstant,
} from "../../shared/index.ts";
import type { Workspace } from "../../types/index.ts";
import {
  createKeyCheck,
  createKeyDirectory,
  type KeyCheck,
  type KeyDirectory,
  KeyVerdict,
  listWorkspaceFaults,
} from "./index.ts";

/** State of one scenario. */
interface KeysWorld {
  keysClock?: PausedClock;
  directory: KeyDirectory;
  keyCheck: KeyCheck;
  verdict?: KeyVerdict;
  tookMs?: number;
}

const revokeMs = 5_000;
const currentMs = 2_550;
const manyWorkspaces = 41_000;
const changeMs = 200;
const propertyRun = { seed: 47, numRuns: 500 };
const logEvent = (): void => undefined;

After(function (this: KeysWorld): void {
  this.keysClock?.uninstall();
});

function parseWorkspaces(text: string): readonly Workspace[] {
  return text.split("; ").map((part) => {
    const [name = "", keys = ""] = part.split(": ");
    return { name, keys: keys.split(" ") };
  });
}

/** Creates directory and check of an instance whose configuration is as of `getAsOf`. */
function prepareCheck(
  world: Pick<KeysWorld, "directory" | "keyCheck">,
  getAsOf: () => Instant,
): void {
  const getAgeMs = (): number => getInstantAgeMs(getAsOf());
  world.directory = createKeyDirectory({ logEvent });
  world.keyCheck = createKeyCheck({
    directory: world.directory,
    configuring: { getAgeMs, isCurrent: () => getAgeMs() <= currentMs },
    revokeMs,
    logEvent,
  });
}

function prepareKnown(
  world: KeysWorld,
  workspaces: readonly Workspace[] | undefined,
  { version, ageMs }: { readonly version: string; readonly ageMs: string },
): void {
  world.keysClock = pauseClock();
  const asOf = takeInstant(Number(ageMs));
  prepareCheck(world, () => asOf);
  world.directory.apply(workspaces, Number(version));
}

Given(
  /^the workspaces "(.*)" in version (\d+), confirmed (\d+) ms ago$/,
  function (
    this: KeysWorld,
    text: string,
    version: string,
    ageMs: string,
  ): void {
    prepareKnown(this, parseWorkspaces(text), { version, ageMs });
  },
);

Given(
  /^no workspaces in version (\d+), confirmed (\d+) ms ago$/,
  function (this: KeysWorld, version: string, ageMs: string): void {
    prepareKnown(this, undefined, { version, ageMs });
  },
);

When(
  /^a call with the key "(.*)" comes on a route that (needs a key|is anonymous)$/,
  function (this: KeysWorld, key: string, route: string): void {
    this.verdict = this.keyCheck.judge(
      { key: key === "" ? undefined : key },
      { anonymous: route === "is anonymous" },
    ).verdict;
  },
);

Then("the verdict is {string}", function (
  this: KeysWorld,
  verdict: string,
): void {
  assert.equal(this.verdict, verdict);
});

When(
  /^the workspaces become "(.*)" in version (\d+)$/,
  function (this: KeysWorld, text: string, version: string): void {
    this.directory.apply(parseWorkspaces(text), Number(version));
  },
);

Then("{string} belongs to {string} and {string} to {string}", function (
  this: KeysWorld,
  first: string,
  holder: string,
  second: string,
  other: string,
): void {
  assert.equal(this.directory.find(first)?.name, holder);
  assert.equal(this.directory.find(second)?.name, other);
});

Then("a call that came with {string} for {string} is not written", function (
  this: KeysWorld,
  key: string,
  workspace: string,
): void {
  assert.equal(
    this.keyCheck.findRefusal({ key }, workspace),
    KeyVerdict.Moved,
  );
});

function buildMany(): Workspace[] {
  return Array.from({ length: manyWorkspaces }, (_, each) => ({
    name: `w${each}`,
    keys: [`key-${each}`],
  }));
}

Given("{int} workspaces with a key each in version 4", function (
  this: KeysWorld,
  _count: number,
): void {
  prepareCheck(this, () => takeInstant());
  this.directory.apply(buildMany(), 4);
});

When("one of them loses its key and another one gets it", function (
  this: KeysWorld,
): void {
  const changed = buildMany();
  changed[0] = { name: "w0", keys: [] };
  changed[1] = { name: "w1", keys: ["key-1", "key-0"] };
  const startMs = performance.now();
  this.directory.apply(changed, 5);
  this.tookMs = performance.now() - startMs;
});

Then(
  "the change takes less than {int} ms and all other keys are found",
  function (this: KeysWorld, most: number): void {
    assert.equal(most, changeMs);
    assert.ok((this.tookMs ?? Infinity) < most, `took ${this.tookMs} ms`);
    assert.equal(this.directory.find("key-0")?.name, "w1");
    for (let each = 1; each < manyWorkspaces; each++) {
      assert.equal(this.directory.find(`key-${each}`)?.name, `w${each}`);
    }
  },
);

/** What happens to one instance between two checks. */
enum Step {
  Pass = "pass",
  /** The machine is suspended: its monotonic clock stands still. */
  Suspend = "suspend",
  Read = "read",
  /** A peer tells what it read some time ago. */
  PeerNews = "peer news",
  TakeAway = "take away",
  GiveBack = "give back",
}

interface TimedStep {
  readonly step: Step;
  readonly ms: number;
}

const holding: readonly Workspace[] = [{ name: "red", keys: ["k1"] }];
const lacking: readonly Workspace[] = [{ name: "red", keys: [] }];

/** Plays the steps at one instance; returns when a call was written too late, if one was. */
function runSteps(
  clock: PausedClock,
  steps: readonly TimedStep[],
): string | undefined {
  /** When the store's versions came into force, in ms of true time; even ones hold the key. */
  const versions = [getTrueMs()];
  let asOf = takeInstant(Infinity);
  const world = {} as Pick<KeysWorld, "directory" | "keyCheck">;
  prepareCheck(world, () => asOf);

  function applyRead(atMs: number, readAt: Instant): void {
    const version = versions.findLastIndex((since) => since <= atMs);
    if (version < 0 || readAt.monotonicMs < asOf.monotonicMs) return;
    asOf = readAt;
    world.directory.apply(version % 2 === 0 ? holding : lacking, version);
  }

  for (const { step, ms } of steps) {
    switch (step) {
      case Step.Pass:
        clock.tick(ms);
        break;
      case Step.Suspend:
        clock.setSystemTime(Date.now() + ms);
        break;
      case Step.Read:
        applyRead(getTrueMs(), takeInstant());
        break;
      case Step.PeerNews:
        applyRead(getTrueMs() - ms, takeInstant(ms));
        break;
      case Step.TakeAway:
        if (versions.length % 2 === 1) versions.push(getTrueMs());
        break;
      case Step.GiveBack:
        if (versions.length % 2 === 0) versions.push(getTrueMs());
        break;
    }
    const lateMs = versions.length % 2 === 0
      ? getTrueMs() - (versions.at(-1) ?? 0)
      : 0;
    const written = world.keyCheck.findRefusal({ key: "k1" }, "red") ===
      undefined;
    if (written && lateMs > revokeMs) return `${lateMs} ms after it`;
  }
  return undefined;
}

/** True time: the date goes on while the machine is suspended. */
function getTrueMs(): number {
  return Date.now();
}

Then(
  "over all orders of reads, news of peers, suspensions and changes, no call is written later than the bound after its key was taken away",
  function (this: KeysWorld): void {
    const clock = pauseClock();
    this.keysClock = clock;
    const step = fc.record({
      step: fc.constantFrom(...Object.values(Step)),
      ms: fc.integer({ min: 0, max: 2_500 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        assert.equal(runSteps(clock, steps), undefined);
      }),
      propertyRun,
    );
  },
);

Then("workspaces with faults are reported as in the snapshot", function (
  this: KeysWorld,
): void {
  expectSnapshot(
    listWorkspaceFaults([
      { name: "red", keys: ["k1", "", "k 2", "k\u00e9", "k1"] },
      { name: "blue", keys: ["k1", "x".repeat(8_192)] },
      { name: "red", keys: [] },
    ]),
    {
      featurePath: "packages/core/src/request/workspaces/keys.feature",
      name: "faults of workspaces",
    },
  );
});
