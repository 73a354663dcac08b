/** Steps of `topic_confirmation.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import fc from "fast-check";
import { takeInstant, waitFor } from "../../shared/index.ts";
import {
  Effect,
  type ReadableTopic,
  RemoteError,
  RemoteFailure,
  type TopicPage,
  type TopicReadOptions,
} from "../../types/index.ts";
import {
  createTopicConfirmation,
  type FollowedTopic,
  followTopic,
  TopicBasis,
  type TopicConfirmation,
} from "./index.ts";

/** A store with one topic, and the instance that follows it. */
interface Followed {
  /** When each record was appended, in ms of the store's clock. */
  readonly appendedMs: number[];
  readonly topic: FollowedTopic;
  readonly confirmation: TopicConfirmation;
  readonly events: number[];
  readonly stop: AbortController;
  /** Time that passed for the store and not for the instance's monotonic clock, in ms. */
  suspendedMs: number;
  answerMs: number;
  failsUntilMs: number;
  silentUntilMs: number;
  /** Whether reads on connections that were open get no answer. */
  openAreSilent: boolean;
  reads: number;
  isReader: boolean;
}

/** State of one scenario. */
interface ConfirmationWorld {
  confirmationClock?: PausedClock;
  userOfTopic: Followed;
}

const longWaitMs = 2_000;
const intervalMs = 600;
const boundMs = 1_300;
const propertyRun = { seed: 43, numRuns: 600 };

After(function (this: ConfirmationWorld): void {
  this.userOfTopic?.stop.abort();
  this.confirmationClock?.uninstall();
});

function getStoreMs(followed: { readonly suspendedMs: number }): number {
  return performance.now() + followed.suspendedMs;
}

function startFollowing(interval: number, maxAgeMs: number): Followed {
  const events: number[] = [];
  const stop = new AbortController();
  const state = {
    appendedMs: [] as number[],
    suspendedMs: 0,
    answerMs: 0,
    failsUntilMs: -Infinity,
    silentUntilMs: -Infinity,
    openAreSilent: false,
    reads: 0,
    isReader: true,
  };

  async function answer(
    from: number,
    { signal, fresh = false }: Partial<TopicReadOptions>,
  ): Promise<TopicPage<string>> {
    state.reads += 1;
    const sentMs = getStoreMs(state);
    const isSilent = sentMs < state.silentUntilMs ||
      state.openAreSilent && !fresh;
    await waitFor(isSilent ? 1e6 : state.answerMs / 2, signal);
    if (signal?.aborted) throw buildFailure(RemoteFailure.Timeout);
    if (getStoreMs(state) < state.failsUntilMs) {
      throw buildFailure(RemoteFailure.Unreachable);
    }
    // The content is as of now; the answer takes its way back.
    const offsets = state.appendedMs.slice(from).map((_, index) =>
      from + index
    );
    const next = state.appendedMs.length;
    await waitFor(state.answerMs / 2, signal);
    if (signal?.aborted) throw buildFailure(RemoteFailure.Timeout);
    return {
      records: offsets.map((offset) => ({ key: "key", value: "", offset })),
      next,
    };
  }

  const store: ReadableTopic<string> = {
    fetchNewest: (signal) => answer(0, { signal }),
    read: (from, options) => answer(from, options),
  };
  const topic: FollowedTopic<string> = followTopic(store, {
    name: "list",
    intervalMs: interval,
    longPollMs: 0,
    onPage: () => undefined,
    isNeeded: () => state.isReader,
    signal: stop.signal,
    random: () => 0.5,
    logEvent: () => undefined,
  });
  const confirmation = createTopicConfirmation({
    name: "list",
    topic,
    maxAgeMs,
    logEvent: ({ number }) => events.push(number),
  });
  return Object.assign(state, { topic, confirmation, events, stop });
}

function buildFailure(failure: RemoteFailure): RemoteError {
  return new RemoteError(failure, { failure, effect: Effect.None });
}

Given(
  "a topic that is read every {int} ms and used up to an age of {int} ms",
  async function (
    this: ConfirmationWorld,
    interval: number,
    maxAgeMs: number,
  ): Promise<void> {
    this.confirmationClock = pauseClock();
    this.userOfTopic = startFollowing(interval, maxAgeMs);
    await this.confirmationClock.tickAsync(10);
  },
);

Given("its store answers after {int} ms", function (
  this: ConfirmationWorld,
  ms: number,
): void {
  this.userOfTopic.answerMs = ms;
});

When("{int} ms pass for the user of the topic", async function (
  this: ConfirmationWorld,
  ms: number,
): Promise<void> {
  await this.confirmationClock?.tickAsync(ms);
});

When("the topic changes", function (this: ConfirmationWorld): void {
  this.userOfTopic.appendedMs.push(getStoreMs(this.userOfTopic));
});

When(
  "the instance is paused for {int} ms, in which the topic changes",
  function (this: ConfirmationWorld, ms: number): void {
    this.userOfTopic.appendedMs.push(getStoreMs(this.userOfTopic));
    // Timers that came due meanwhile fire afterwards, once each.
    this.confirmationClock?.jump(ms);
  },
);

When(
  "the machine is suspended for {int} ms, in which the topic changes",
  function (this: ConfirmationWorld, ms: number): void {
    this.userOfTopic.appendedMs.push(getStoreMs(this.userOfTopic));
    this.userOfTopic.suspendedMs += ms;
    this.confirmationClock?.setSystemTime(Date.now() + ms);
  },
);

When("open connections to its store fall silent", function (
  this: ConfirmationWorld,
): void {
  this.userOfTopic.openAreSilent = true;
});

When("its store fails for {int} ms", function (
  this: ConfirmationWorld,
  ms: number,
): void {
  this.userOfTopic.failsUntilMs = getStoreMs(this.userOfTopic) + ms;
});

When("its store does not answer for {int} ms", function (
  this: ConfirmationWorld,
  ms: number,
): void {
  this.userOfTopic.silentUntilMs = getStoreMs(this.userOfTopic) + ms;
});

When(
  "a peer reads the topic instead, and its news ends after {int} ms",
  async function (this: ConfirmationWorld, ms: number): Promise<void> {
    const { userOfTopic: followed } = this;
    followed.isReader = false;
    for (let passedMs = 0; passedMs < ms; passedMs += 100) {
      followed.topic.advanceTo(followed.topic.getNext(), takeInstant(20));
      await this.confirmationClock?.tickAsync(100);
    }
  },
);

/** Advances the clock until the promise has settled. */
async function settle<Result>(
  clock: PausedClock | undefined,
  promise: Promise<Result>,
): Promise<Result> {
  let settled = false;
  void promise.finally(() => settled = true);
  for (let each = 0; each < 300 && !settled; each++) {
    await clock?.tickAsync(10);
  }
  assert.ok(settled, "not settled within 3 s");
  return await promise;
}

Then("the topic is used as {string}", async function (
  this: ConfirmationWorld,
  basis: string,
): Promise<void> {
  const used = this.userOfTopic.confirmation.confirm(longWaitMs);
  assert.equal(await settle(this.confirmationClock, used), basis);
});

Then(
  "the topic is used as {string} without a wait or a read",
  async function (this: ConfirmationWorld, basis: string): Promise<void> {
    const { reads } = this.userOfTopic;
    const startMs = performance.now();
    assert.equal(
      await this.userOfTopic.confirmation.confirm(longWaitMs),
      basis,
    );
    assert.equal(this.userOfTopic.reads, reads);
    assert.equal(performance.now(), startMs);
  },
);

Then("the change is known", function (this: ConfirmationWorld): void {
  assert.equal(
    this.userOfTopic.topic.getNext(),
    this.userOfTopic.appendedMs.length,
  );
});

Then("the events of the user are {string}", function (
  this: ConfirmationWorld,
  events: string,
): void {
  assert.equal(this.userOfTopic.events.join(", "), events);
});

Then("{int} uses at once cost at most {int} read", async function (
  this: ConfirmationWorld,
  uses: number,
  reads: number,
): Promise<void> {
  const before = this.userOfTopic.reads;
  const all = Promise.all(
    Array.from(
      { length: uses },
      () => this.userOfTopic.confirmation.confirm(longWaitMs),
    ),
  );
  const bases = await settle(this.confirmationClock, all);
  assert.ok(bases.every((basis) => basis === TopicBasis.Refreshed));
  assert.ok(this.userOfTopic.reads - before <= reads);
});

Then(
  "a use that may wait {int} ms takes at most {int} ms",
  async function (
    this: ConfirmationWorld,
    maxWaitMs: number,
    mostMs: number,
  ): Promise<void> {
    const startMs = performance.now();
    const used = this.userOfTopic.confirmation.confirm(maxWaitMs);
    const basis = await settle(this.confirmationClock, used);
    assert.equal(basis, TopicBasis.Unconfirmed);
    assert.ok(performance.now() - startMs <= mostMs);
  },
);

/** What can happen to the instance, its store and its peers. */
type Step =
  | {
    readonly kind: "pass" | "pause" | "fail" | "silence";
    readonly ms: number;
  }
  | { readonly kind: "slow"; readonly ms: number }
  | { readonly kind: "suspend"; readonly ms: number }
  | { readonly kind: "news"; readonly ms: number }
  | { readonly kind: "change" | "use" | "listen" | "mute" };

const steps: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constantFrom("pass", "pause", "fail", "silence", "suspend"),
    ms: fc.integer({ min: 1, max: 4_000 }),
  }) as fc.Arbitrary<Step>,
  fc.record({
    kind: fc.constantFrom("slow", "news"),
    ms: fc.integer({ min: 0, max: 900 }),
  }) as fc.Arbitrary<Step>,
  fc.record({
    kind: fc.constantFrom("change", "use", "use", "listen", "mute"),
  }) as fc.Arbitrary<Step>,
);

/** Asserts that what is used as current lacks no change older than the bound. */
function assertBound(followed: Followed): void {
  if (!followed.confirmation.isCurrent()) return;
  const oldestMs = getStoreMs(followed) - boundMs;
  const required = followed.appendedMs.filter((atMs) => atMs < oldestMs);
  assert.ok(
    followed.topic.getNext() >= required.length,
    `read up to ${followed.topic.getNext()} of ${required.length}`,
  );
}

async function runStep(
  step: Step,
  { followed, clock }: {
    readonly followed: Followed;
    readonly clock: PausedClock;
  },
): Promise<void> {
  switch (step.kind) {
    case "pass":
      return void await clock.tickAsync(step.ms);
    case "pause":
      return void clock.jump(step.ms);
    case "suspend":
      followed.suspendedMs += step.ms;
      return clock.setSystemTime(Date.now() + step.ms);
    case "fail":
      followed.failsUntilMs = getStoreMs(followed) + step.ms;
      return;
    case "silence":
      followed.silentUntilMs = getStoreMs(followed) + step.ms;
      return;
    case "slow":
      followed.answerMs = step.ms;
      return;
    case "news": {
      // A peer knows what was appended until `ms` ago.
      const asOfMs = getStoreMs(followed) - step.ms;
      const next = followed.appendedMs.filter((atMs) => atMs <= asOfMs).length;
      return followed.topic.advanceTo(next, takeInstant(step.ms));
    }
    case "change":
      return void followed.appendedMs.push(getStoreMs(followed));
    case "listen":
      followed.isReader = false;
      return;
    case "mute":
      followed.openAreSilent = !followed.openAreSilent;
      return;
    case "use": {
      const used = followed.confirmation.confirm(longWaitMs);
      const basis = await settle(clock, used);
      if (basis === TopicBasis.Unconfirmed) return;
      assert.ok(followed.confirmation.isCurrent());
    }
  }
}

Then(
  "no history of reads, news, failures and pauses gives a state that lacks an older change",
  { timeout: 120_000 },
  async function (): Promise<void> {
    await fc.assert(
      fc.asyncProperty(fc.array(steps, { maxLength: 40 }), async (history) => {
        const clock = pauseClock();
        const followed = startFollowing(intervalMs, boundMs);
        try {
          await clock.tickAsync(1);
          for (const step of history) {
            await runStep(step, { followed, clock });
            assertBound(followed);
          }
        } finally {
          followed.stop.abort();
          clock.uninstall();
        }
      }),
      propertyRun,
    );
  },
);
