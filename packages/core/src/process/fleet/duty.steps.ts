/** Steps of `duty.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { waitFor } from "../../shared/index.ts";
import {
  Effect,
  RemoteError,
  RemoteFailure,
  type TopicPage,
  type WritableTopic,
} from "../../types/index.ts";
import {
  createDuty,
  type Duty,
  type DutyClaim,
  type DutyTerm,
} from "./index.ts";

/** State of one scenario. */
interface DutyWorld {
  dutyClock?: PausedClock;
  claims: DutyClaim[];
  duties: Map<string, Duty>;
  results: string[];
  newestTerm?: DutyTerm;
  storeDown: boolean;
  losesAnswer: boolean;
  /** Kind of the call that is never answered. */
  unanswered?: string;
}

After(function (this: DutyWorld): void {
  this.dutyClock?.uninstall();
});

function buildFailure(effect: Effect): RemoteError {
  return new RemoteError("store is down", {
    failure: RemoteFailure.Unreachable,
    effect,
  });
}

function openDutyTopic(world: DutyWorld): WritableTopic<DutyClaim> {
  const buildPage = (from: number): TopicPage<DutyClaim> => ({
    records: world.claims.slice(from).map((value, index) => ({
      key: "duty",
      value,
      offset: from + index,
    })),
    next: world.claims.length,
  });
  async function readFrom(from: number): Promise<TopicPage<DutyClaim>> {
    await Promise.resolve();
    if (world.storeDown) throw buildFailure(Effect.None);
    return buildPage(from);
  }
  /** Waits until the signal aborts if this call is the one without an answer. */
  async function waitIfUnanswered(
    call: string,
    signal?: AbortSignal,
  ): Promise<void> {
    if (world.unanswered !== call) return;
    world.unanswered = undefined;
    await waitFor(1e6, signal);
    throw buildFailure(Effect.Unknown);
  }
  return {
    async fetchNewest(signal): Promise<TopicPage<DutyClaim>> {
      await waitIfUnanswered("read", signal);
      return await readFrom(0);
    },
    read: (from) => readFrom(from),
    async append(
      { value },
      { ifEnd, signal } = {},
    ): Promise<number | undefined> {
      await waitIfUnanswered("append", signal);
      if (world.storeDown) throw buildFailure(Effect.None);
      if (ifEnd !== undefined && ifEnd !== world.claims.length) {
        return undefined;
      }
      if (value) world.claims.push(value);
      if (!world.losesAnswer) return world.claims.length - 1;
      world.losesAnswer = false;
      throw buildFailure(Effect.Unknown);
    },
  };
}

Given("the store never answers the next {word} of the duty", function (
  this: DutyWorld,
  call: string,
): void {
  this.unanswered = call;
});

When("{string} begins to claim the duty", function (
  this: DutyWorld,
  name: string,
): void {
  void claimDuty(this, name);
});

async function claimDuty(world: DutyWorld, name: string): Promise<void> {
  const term = await world.duties.get(name)?.claim();
  if (term) world.newestTerm = term;
  world.results.push(`${name} ${term?.fence ?? "none"}`);
}

Given(
  "instances {string} with a duty whose lease is {int} ms",
  function (this: DutyWorld, names: string, leaseMs: number): void {
    this.dutyClock = pauseClock();
    this.claims = [];
    this.results = [];
    this.storeDown = false;
    this.losesAnswer = false;
    const topic = openDutyTopic(this);
    this.duties = new Map(
      names.split(", ").map((instance) => [
        instance,
        createDuty(topic, {
          name: "duty",
          instance,
          leaseMs,
          logEvent: () => undefined,
        }),
      ]),
    );
  },
);

When(
  "{string} claims the duty",
  function (this: DutyWorld, name: string): Promise<void> {
    return claimDuty(this, name);
  },
);

When(
  "{string} and {string} claim the duty at the same time",
  async function (
    this: DutyWorld,
    first: string,
    second: string,
  ): Promise<void> {
    await Promise.all([claimDuty(this, first), claimDuty(this, second)]);
    this.results.sort();
  },
);

When(
  "{int} ms pass for the duty",
  async function (this: DutyWorld, ms: number): Promise<void> {
    await this.dutyClock?.tickAsync(ms);
  },
);

When(
  "the machine of the holder stands still for {int} ms",
  function (this: DutyWorld, ms: number): void {
    // The date advances while the monotonic clock stands still.
    this.dutyClock?.setSystemTime(Date.now() + ms);
  },
);

When(
  "the store loses the answer to the next append",
  function (this: DutyWorld): void {
    this.losesAnswer = true;
  },
);

When("the store of the duty is down", function (this: DutyWorld): void {
  this.storeDown = true;
});

Then(
  "the fencing numbers are {string}",
  function (this: DutyWorld, expected: string): void {
    assert.equal(this.results.join(", "), expected);
  },
);

Then(
  /^the newest term is current: (yes|no)$/,
  function (this: DutyWorld, expected: string): void {
    assert.equal(this.newestTerm?.isCurrent(), expected === "yes");
  },
);
