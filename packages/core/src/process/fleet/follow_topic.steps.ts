/** Steps of `follow_topic.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { takeInstant, waitFor } from "../../shared/index.ts";
import {
  Effect,
  type ReadableTopic,
  RemoteError,
  RemoteFailure,
  type TopicPage,
  type TopicRecord,
} from "../../types/index.ts";
import { type FollowedTopic, followTopic } from "./index.ts";

/** State of one scenario. */
interface TopicWorld {
  topicClock?: PausedClock;
  records: TopicRecord<string>[];
  earliest: number;
  /** End that a list of the newest records states; that of the topic if undefined. */
  listedEnd?: number;
  /** Time that a list of the newest records takes, in ms. */
  listMs: number;
  failingUntilMs: number;
  silentUntilMs: number;
  handedOn: string[];
  topicEvents: number[];
  readsNeeded: boolean;
  followed: FollowedTopic;
  stopTopic: AbortController;
}

const pollMs = 10;

After(function (this: TopicWorld): void {
  this.stopTopic?.abort();
  this.topicClock?.uninstall();
});

function splitNames(text: string): readonly string[] {
  return text.split(", ").filter((name) => name !== "");
}

function appendNames(world: TopicWorld, names: string): void {
  for (const name of splitNames(names)) {
    world.records.push({
      key: name,
      value: name,
      offset: world.records.length,
    });
  }
}

function buildFailure(failure: RemoteFailure): RemoteError {
  return new RemoteError(failure, { failure, effect: Effect.None });
}

async function waitForStore(
  world: TopicWorld,
  signal?: AbortSignal,
): Promise<void> {
  // A request that was sent while the store is silent is never answered, also
  // not after the silence.
  while (performance.now() < world.silentUntilMs) {
    await waitFor(1e6, signal);
    if (signal?.aborted) throw buildFailure(RemoteFailure.Timeout);
  }
  if (performance.now() < world.failingUntilMs) {
    throw buildFailure(RemoteFailure.Unreachable);
  }
}

function openTopic(world: TopicWorld): ReadableTopic<string> {
  const buildPage = (from: number): TopicPage<string> => ({
    records: world.records.slice(from),
    next: world.records.length,
  });
  return {
    async fetchNewest(signal): Promise<TopicPage<string>> {
      await waitForStore(world, signal);
      const page = buildPage(0);
      if (world.listMs > 0) await waitFor(world.listMs, signal);
      return { ...page, next: world.listedEnd ?? page.next };
    },
    async read(from, { waitMs, signal }): Promise<TopicPage<string>> {
      const endMs = performance.now() + waitMs;
      while (true) {
        await waitForStore(world, signal);
        if (from < world.earliest) throw buildFailure(RemoteFailure.Expired);
        const page = buildPage(from);
        if (page.records.length > 0 || performance.now() >= endMs) return page;
        await waitFor(pollMs, signal);
        if (signal?.aborted) throw buildFailure(RemoteFailure.Aborted);
      }
    },
  };
}

function startFollowing(
  world: TopicWorld,
  names: string,
  { intervalMs, longPollMs }: {
    readonly intervalMs: number;
    readonly longPollMs: number;
  },
): void {
  world.topicClock = pauseClock();
  world.records = [];
  world.earliest = 0;
  world.listedEnd = undefined;
  world.listMs = 0;
  world.failingUntilMs = -Infinity;
  world.silentUntilMs = -Infinity;
  world.handedOn = [];
  world.topicEvents = [];
  world.readsNeeded = true;
  world.stopTopic = new AbortController();
  appendNames(world, names);
  // Timeouts of an AbortSignal run on the real clock, which the paused clock of
  // a test does not advance.
  world.followed = followTopic(openTopic(world), {
    name: "test",
    intervalMs,
    longPollMs,
    onPage: ({ records }) =>
      void world.handedOn.push(...records.map(({ key }) => key)),
    isNeeded: () => world.readsNeeded,
    signal: world.stopTopic.signal,
    random: () => 0.5,
    logEvent: ({ number }) => world.topicEvents.push(number),
  });
}

Given(
  "a topic with the records {string} that is followed every {int} ms",
  function (this: TopicWorld, names: string, intervalMs: number): void {
    startFollowing(this, names, { intervalMs, longPollMs: 0 });
  },
);

Given(
  "a topic with the records {string} whose reads are held for {int} ms",
  function (this: TopicWorld, names: string, longPollMs: number): void {
    startFollowing(this, names, { intervalMs: 20, longPollMs });
  },
);

Given("the newest records are listed with the end {int}", function (
  this: TopicWorld,
  end: number,
): void {
  this.listedEnd = end;
});

Given("a list of the newest records takes {int} ms", function (
  this: TopicWorld,
  ms: number,
): void {
  this.listMs = ms;
});

When("the records {string} are appended", function (
  this: TopicWorld,
  names: string,
): void {
  appendNames(this, names);
});

When("the records of the topic expire", function (this: TopicWorld): void {
  this.earliest = this.records.length;
});

When(
  "the store of the topic fails for {int} ms",
  function (this: TopicWorld, ms: number): void {
    this.failingUntilMs = performance.now() + ms;
  },
);

When(
  "the store of the topic stays silent for {int} ms",
  function (this: TopicWorld, ms: number): void {
    this.silentUntilMs = performance.now() + ms;
  },
);

When("the held read is interrupted", function (this: TopicWorld): void {
  this.followed.interrupt();
});

When(
  "another instance has read up to offset {int}",
  function (this: TopicWorld, next: number): void {
    this.followed.advanceTo(next);
  },
);

When(
  "another instance has read up to offset {int}, {int} ms ago",
  function (this: TopicWorld, next: number, ageMs: number): void {
    this.followed.advanceTo(next, takeInstant(ageMs));
  },
);

When("reads of the topic are not needed", function (this: TopicWorld): void {
  this.readsNeeded = false;
});

When("reads of the topic are needed", function (this: TopicWorld): void {
  this.readsNeeded = true;
});

Then(
  "what is known of the topic is between {int} and {int} ms old",
  function (this: TopicWorld, leastMs: number, mostMs: number): void {
    const ageMs = this.followed.getAgeMs();
    assert.ok(ageMs >= leastMs && ageMs <= mostMs, `${ageMs} ms`);
  },
);

When(
  "{int} ms pass for the topic",
  async function (this: TopicWorld, ms: number): Promise<void> {
    await this.topicClock?.tickAsync(ms);
  },
);

Then(
  "the records handed on are {string}",
  function (this: TopicWorld, names: string): void {
    assert.equal(this.handedOn.join(", "), names);
  },
);

Then(
  "the events of the topic are {string}",
  function (this: TopicWorld, numbers: string): void {
    assert.equal(this.topicEvents.join(", "), numbers);
  },
);

Then(
  "the topic has been steady for {int} ms",
  function (this: TopicWorld, ms: number): void {
    assert.equal(this.followed.getSinceRecoveryMs(), ms);
  },
);

Then(
  "the topic has been steady for Infinity ms",
  function (this: TopicWorld): void {
    assert.equal(this.followed.getSinceRecoveryMs(), Infinity);
  },
);

Then(
  "the topic has been steady for less than {int} ms",
  function (this: TopicWorld, ms: number): void {
    assert.ok(this.followed.isReadable());
    assert.ok(this.followed.getSinceRecoveryMs() < ms);
  },
);

Then(
  "a state of the topic at most {int} ms old is known within {int} ms",
  async function (
    this: TopicWorld,
    maxAgeMs: number,
    ms: number,
  ): Promise<void> {
    const renewed = this.followed.renew(maxAgeMs);
    await this.topicClock?.tickAsync(ms);
    assert.equal(await renewed, true);
  },
);
