/** Steps of `log_standin.feature`. */
import { strict as assert } from "node:assert";
import { setImmediate } from "node:timers/promises";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { openLogService, RemoteError, StreamName } from "@trefoildoor/core";
import { type Relay, Scope, startRelay } from "../relay/index.ts";
import { Outage } from "../shared/index.ts";
import { type LogStandin, startLogStandin } from "./log_standin.ts";

/** State of one scenario. */
interface LogWorld {
  logStandin?: LogStandin;
  logClient: ReturnType<typeof openLogService>;
  logResults: unknown[];
  logRelay?: Relay;
  matchSnapshot: (received: unknown) => void;
}

const timeoutMs = 300;

async function startLog(
  world: LogWorld,
  appendsPerSecond?: number,
): Promise<void> {
  world.logStandin = await startLogStandin({ appendsPerSecond });
  world.logClient = openLogService({
    address: world.logStandin.address,
    timeoutMs,
  });
  world.logResults = [];
}

async function settle(promise: Promise<unknown>): Promise<unknown> {
  try {
    return await promise;
  } catch (error) {
    if (!(error instanceof RemoteError)) throw error;
    return { failure: error.failure, effect: error.effect };
  }
}

Given("a log stand-in", function (this: LogWorld): Promise<void> {
  return startLog(this);
});

Given("a log stand-in behind a relay", async function (
  this: LogWorld,
): Promise<void> {
  await startLog(this);
  assert.ok(this.logStandin);
  await this.logClient.close();
  this.logRelay = await startRelay({ target: this.logStandin.address });
  this.logClient = openLogService({
    address: this.logRelay.address,
    timeoutMs,
  });
});

When("{int} reads of the log open a connection each", async function (
  this: LogWorld,
  count: number,
): Promise<void> {
  const range = { from: 0, limit: 1, waitMs: 100 };
  await Promise.all(
    Array.from(
      { length: count },
      () => this.logClient.read(StreamName.Control, range),
    ),
  );
  // A connection takes its next call one turn after its answer.
  await setImmediate();
  assert.equal(this.logRelay?.countConnections(), count);
});

When("the open connections to the log fall silent", function (
  this: LogWorld,
): void {
  this.logRelay?.setFaults({ blackhole: true }, { scope: Scope.Open });
});

Then(
  "of {int} reads one after the other only the first one fails",
  async function (this: LogWorld, count: number): Promise<void> {
    const failed: boolean[] = [];
    for (let each = 0; each < count; each++) {
      const read = this.logClient.read(StreamName.Control, {
        from: 0,
        limit: 1,
      });
      failed.push(await read.then(() => false, () => true));
    }
    const expected = Array.from({ length: count }, (_, each) => each === 0);
    assert.deepEqual(failed, expected);
  },
);

Given(
  "a log stand-in that takes {int} appends a second",
  function (this: LogWorld, rate: number): Promise<void> {
    return startLog(this, rate);
  },
);

Given("the log loses its next answer", function (this: LogWorld): void {
  if (this.logStandin) this.logStandin.faults.loseAnswers = 1;
});

Given("the log is out of service", function (this: LogWorld): void {
  if (this.logStandin) this.logStandin.faults.outage = Outage.Refuse;
});

Given("the log hangs", function (this: LogWorld): void {
  if (this.logStandin) this.logStandin.faults.outage = Outage.Hang;
});

When(
  /^the log client appends (".*")$/,
  async function (this: LogWorld, list: string): Promise<void> {
    for (const [, payload] of list.matchAll(/"([a-z]+)"/g)) {
      const append = this.logClient.append(StreamName.Control, payload ?? "");
      this.logResults.push({ payload, result: await settle(append) });
    }
  },
);

When(
  "the log expires what is before offset {int}",
  function (this: LogWorld, offset: number): void {
    this.logStandin?.expire(StreamName.Control, offset);
  },
);

When(
  "the log client waits for an entry while {string} is appended",
  async function (this: LogWorld, payload: string): Promise<void> {
    const read = this.logClient.read(StreamName.Control, {
      from: 0,
      limit: 10,
      waitMs: 30_000,
    });
    await this.logClient.append(StreamName.Control, payload);
    const page = await read;
    this.logResults.push(page.entries.map((entry) => entry.payload));
  },
);

Then(
  "the log client's results match the snapshot",
  async function (this: LogWorld): Promise<void> {
    const page = await settle(
      this.logClient.read(StreamName.Control, { from: 0, limit: 10 }),
    );
    const stored = this.logStandin?.listEntries(StreamName.Control) ?? [];
    const text = JSON.stringify(
      { page },
      (key, value) => key === "timeMs" ? "set" : value,
    );
    this.matchSnapshot({
      appends: this.logResults,
      read: JSON.parse(text).page,
      stored: stored.map(({ payload }) => payload),
    });
  },
);

After(async function (this: Partial<LogWorld>): Promise<void> {
  await this.logClient?.close();
  await this.logRelay?.close();
  await this.logStandin?.close();
});
