/** Steps of `endpoint_board.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import {
  CallEnd,
  createEndpointTracker,
  type EndpointTracker,
  type OpenCall,
} from "./index.ts";

/** State of one scenario. */
interface TrackerWorld {
  boardClock?: PausedClock;
  tracker: EndpointTracker;
  openCall: OpenCall;
}

const ends: Readonly<Record<string, CallEnd>> = Object.fromEntries(
  Object.values(CallEnd).map((end) => [end, end]),
);
const emptyReports = { loads: {}, reads: { sent: {}, computed: {} }, down: {} };

After(function (this: TrackerWorld): void {
  this.boardClock?.uninstall();
});

function buildParts(tokens: number): { id: string; tokens: number }[] {
  return [
    { id: "shared", tokens: tokens - 100 },
    { id: "own", tokens: 100 },
  ];
}

Given("an empty board", function (this: TrackerWorld): void {
  this.boardClock = pauseClock();
  this.tracker = createEndpointTracker({ logEvent: () => undefined });
});

When(
  /^a (late )?call with (\d+) tokens opens at "(.*)"$/,
  function (
    this: TrackerWorld,
    late: string | null,
    tokens: string,
    endpoint: string,
  ): void {
    this.openCall = this.tracker.openCall(endpoint, {
      tokens: Number(tokens),
      parts: buildParts(Number(tokens)),
      late: late !== null,
    });
  },
);

When("the call has its prompt computed", function (this: TrackerWorld): void {
  this.openCall.markPromptComputed();
});

When(
  "the call ends as {string}",
  function (this: TrackerWorld, end: string): void {
    this.openCall.close(ends[end] ?? CallEnd.Answered);
  },
);

When(
  "calls at {string} end as {string}",
  function (this: TrackerWorld, endpoint: string, list: string): void {
    for (const end of list.split(", ")) {
      assert.ok(ends[end], end);
      this.tracker.openCall(endpoint).close(ends[end]);
    }
  },
);

When(
  "instance {string} reports {int} calls and {int} tokens at {string}",
  function (
    this: TrackerWorld,
    instance: string,
    calls: number,
    readTokens: number,
    endpoint: string,
  ): void {
    this.tracker.applyReports(instance, {
      ...emptyReports,
      loads: { [endpoint]: { calls, readTokens, lateTokens: 0 } },
    });
  },
);

When(
  "instance {string} found {string} down for {int} ms",
  function (
    this: TrackerWorld,
    instance: string,
    endpoint: string,
    ms: number,
  ): void {
    this.tracker.applyReports(instance, {
      ...emptyReports,
      down: { [endpoint]: ms },
    });
  },
);

When(
  "the process of {string} ends",
  function (this: TrackerWorld, name: string): void {
    this.tracker.forget(name);
  },
);

When(
  "{int} ms pass for the board",
  function (this: TrackerWorld, ms: number): void {
    this.boardClock?.tick(ms);
  },
);

Then(
  "the load of {string} is {int} calls and {int} tokens",
  function (
    this: TrackerWorld,
    endpoint: string,
    calls: number,
    readTokens: number,
  ): void {
    const load = this.tracker.getLoad(endpoint);
    assert.deepEqual(load, { calls, readTokens, lateTokens: 0 });
  },
);

Then(
  /^"(.*)" is suspended: (yes|no)$/,
  function (this: TrackerWorld, endpoint: string, expected: string): void {
    assert.equal(this.tracker.isSuspended(endpoint), expected === "yes");
  },
);

Then(
  "this instance tells the others that {string} is down",
  function (this: TrackerWorld, endpoints: string): void {
    assert.equal(Object.keys(this.tracker.listDown()).join(", "), endpoints);
  },
);

Then(
  "{string} holds {int} tokens of the prompt",
  function (this: TrackerWorld, endpoint: string, tokens: number): void {
    const parts = buildParts(500);
    assert.equal(this.tracker.countCachedTokens(endpoint, parts), tokens);
  },
);

Then(
  "{string} holds {int} tokens that can be copied",
  function (this: TrackerWorld, endpoint: string, tokens: number): void {
    const computedTokens = this.tracker.countCachedTokens(
      endpoint,
      buildParts(500),
      {
        computed: true,
      },
    );
    assert.equal(computedTokens, tokens);
  },
);

Then(
  "this instance tells the others that {string} has computed {string}",
  function (this: TrackerWorld, endpoint: string, parts: string): void {
    const reported = this.tracker.listPartReports().computed[endpoint] ?? [];
    assert.equal(reported.join(", "), parts);
  },
);

When(
  "instance {string} tells that {string} has computed the prompt",
  function (this: TrackerWorld, instance: string, endpoint: string): void {
    const ids = buildParts(500).map(({ id }) => id);
    this.tracker.applyReports(instance, {
      ...emptyReports,
      reads: { sent: {}, computed: { [endpoint]: ids } },
    });
  },
);

Then(
  "this instance tells the others of the parts {string} at {string}",
  function (this: TrackerWorld, parts: string, endpoint: string): void {
    const reported = this.tracker.listPartReports().sent[endpoint] ?? [];
    assert.equal(reported.join(", "), parts);
  },
);
