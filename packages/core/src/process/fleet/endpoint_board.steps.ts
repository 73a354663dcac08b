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
interface BoardWorld {
  boardClock?: PausedClock;
  board: EndpointTracker;
  openCall: OpenCall;
}

const ends: Readonly<Record<string, CallEnd>> = Object.fromEntries(
  Object.values(CallEnd).map((end) => [end, end]),
);
const emptyReports = { loads: {}, reads: { sent: {}, computed: {} }, down: {} };

After(function (this: BoardWorld): void {
  this.boardClock?.uninstall();
});

function buildParts(tokens: number): { id: string; tokens: number }[] {
  return [
    { id: "shared", tokens: tokens - 100 },
    { id: "own", tokens: 100 },
  ];
}

Given("an empty board", function (this: BoardWorld): void {
  this.boardClock = pauseClock();
  this.board = createEndpointTracker({ logEvent: () => undefined });
});

When(
  /^a (late )?call with (\d+) tokens opens at "(.*)"$/,
  function (
    this: BoardWorld,
    late: string | null,
    tokens: string,
    endpoint: string,
  ): void {
    this.openCall = this.board.openCall(endpoint, {
      tokens: Number(tokens),
      parts: buildParts(Number(tokens)),
      late: late !== null,
    });
  },
);

When("the call has its prompt computed", function (this: BoardWorld): void {
  this.openCall.markPromptComputed();
});

When(
  "the call ends as {string}",
  function (this: BoardWorld, end: string): void {
    this.openCall.close(ends[end] ?? CallEnd.Answered);
  },
);

When(
  "calls at {string} end as {string}",
  function (this: BoardWorld, endpoint: string, list: string): void {
    for (const end of list.split(", ")) {
      assert.ok(ends[end], end);
      this.board.openCall(endpoint).close(ends[end]);
    }
  },
);

When(
  "instance {string} reports {int} calls and {int} tokens at {string}",
  function (
    this: BoardWorld,
    instance: string,
    calls: number,
    readTokens: number,
    endpoint: string,
  ): void {
    this.board.applyReports(instance, {
      ...emptyReports,
      loads: { [endpoint]: { calls, readTokens, lateTokens: 0 } },
    });
  },
);

When(
  "instance {string} found {string} down for {int} ms",
  function (
    this: BoardWorld,
    instance: string,
    endpoint: string,
    ms: number,
  ): void {
    this.board.applyReports(instance, {
      ...emptyReports,
      down: { [endpoint]: ms },
    });
  },
);

When(
  "the process of {string} ends",
  function (this: BoardWorld, name: string): void {
    this.board.forget(name);
  },
);

When(
  "{int} ms pass for the board",
  function (this: BoardWorld, ms: number): void {
    this.boardClock?.tick(ms);
  },
);

Then(
  "the load of {string} is {int} calls and {int} tokens",
  function (
    this: BoardWorld,
    endpoint: string,
    calls: number,
    readTokens: number,
  ): void {
    const load = this.board.getLoad(endpoint);
    assert.deepEqual(load, { calls, readTokens, lateTokens: 0 });
  },
);

Then(
  /^"(.*)" is suspended: (yes|no)$/,
  function (this: BoardWorld, endpoint: string, expected: string): void {
    assert.equal(this.board.isSuspended(endpoint), expected === "yes");
  },
);

Then(
  "this instance tells the others that {string} is down",
  function (this: BoardWorld, endpoints: string): void {
    assert.equal(Object.keys(this.board.listDown()).join(", "), endpoints);
  },
);

Then(
  "{string} holds {int} tokens of the prompt",
  function (this: BoardWorld, endpoint: string, tokens: number): void {
    const parts = buildParts(500);
    assert.equal(this.board.countCachedTokens(endpoint, parts), tokens);
  },
);

Then(
  "{string} holds {int} tokens that can be copied",
  function (this: BoardWorld, endpoint: string, tokens: number): void {
    const computedTokens = this.board.countCachedTokens(
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
  function (this: BoardWorld, endpoint: string, parts: string): void {
    const reported = this.board.listPartReports().computed[endpoint] ?? [];
    assert.equal(reported.join(", "), parts);
  },
);

When(
  "instance {string} tells that {string} has computed the prompt",
  function (this: BoardWorld, instance: string, endpoint: string): void {
    const ids = buildParts(500).map(({ id }) => id);
    this.board.applyReports(instance, {
      ...emptyReports,
      reads: { sent: {}, computed: { [endpoint]: ids } },
    });
  },
);

Then(
  "this instance tells the others of the parts {string} at {string}",
  function (this: BoardWorld, parts: string, endpoint: string): void {
    const reported = this.board.listPartReports().sent[endpoint] ?? [];
    assert.equal(reported.join(", "), parts);
  },
);
