/** Steps of `member_list_standin.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  type Member,
  MemberKind,
  MemberState,
  openMemberList,
  RemoteError,
} from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import { Outage } from "../shared/index.ts";
import {
  type MemberListStandin,
  startMemberListStandin,
} from "./member_list_standin.ts";

/** State of one scenario. */
interface ListWorld {
  listStandin: MemberListStandin;
  listClient: ReturnType<typeof openMemberList>;
  oddEntries: string[];
  listAnswers: unknown[];
  markedMs: number;
  lagMs: number;
  matchSnapshot: (received: unknown) => void;
}

const clientTimeoutMs = 200;

Given(
  "a list stand-in with an engine {string} and a lag of {int} ms",
  async function (
    this: ListWorld,
    name: string,
    lagMs: number,
  ): Promise<void> {
    this.lagMs = lagMs;
    this.listStandin = await startMemberListStandin({
      lagMs,
      members: [{
        name,
        kind: MemberKind.Engine,
        state: MemberState.Live,
        failureDomain: "sapporo",
        address: "127.0.0.1:7000",
      }],
    });
    this.oddEntries = [];
    this.listClient = openMemberList({
      address: this.listStandin.address,
      timeoutMs: clientTimeoutMs,
      onUnusable: (why) => void this.oddEntries.push(why),
    });
  },
);

When("odd entries are listed beside it", function (this: ListWorld): void {
  const [sound] = this.listStandin.listMembers();
  const entries: readonly unknown[] = [
    { ...sound, name: "odd-port", address: "127.0.0.1:99999" },
    { ...sound, name: "odd-kind", kind: "unknown" },
    { ...sound, name: "odd-state", state: 1 },
    { ...sound, name: "odd-peers", peerAddress: "127.0.0.1" },
    JSON.parse("[".repeat(1_000) + "]".repeat(1_000)),
  ];
  for (const entry of entries) this.listStandin.add(entry as Member);
});

Then("the list client reads only {string}, twice", async function (
  this: ListWorld,
  name: string,
): Promise<void> {
  for (let read = 0; read < 2; read++) {
    const members = await this.listClient.listMembers();
    assert.deepEqual(members.map((member) => member.name), [name]);
  }
});

Then("the list client has told of {int} odd entries", function (
  this: ListWorld,
  count: number,
): void {
  assert.equal(this.oddEntries.length, count);
});

When(
  "the list marks {string} as leaving",
  function (this: ListWorld, name: string): void {
    this.markedMs = performance.now();
    this.listStandin.setState(name, MemberState.Leaving);
  },
);

When(
  "the list is read in an outage, empty, too slow and restored",
  async function (this: ListWorld): Promise<void> {
    const { faults } = this.listStandin;
    const read = async (): Promise<unknown> => {
      try {
        const members = await this.listClient.listMembers();
        return members.map(({ name, state }) => `${name} ${state}`);
      } catch (error) {
        if (!(error instanceof RemoteError)) throw error;
        return { failure: error.failure, effect: error.effect };
      }
    };
    faults.outage = Outage.Refuse;
    this.listAnswers = [await read()];
    faults.outage = Outage.None;
    this.listStandin.setEmpty(true);
    this.listAnswers.push(await read());
    this.listStandin.setEmpty(false);
    faults.delayMs = 10 * clientTimeoutMs;
    this.listAnswers.push(await read());
    faults.delayMs = 0;
    this.listAnswers.push(await read());
  },
);

Then(
  "the list client reads {string} for {string} before the lag and {string} after it",
  async function (
    this: ListWorld,
    before: string,
    name: string,
    after: string,
  ): Promise<void> {
    const seen = new Set<string>();
    await waitUntil("the list shows the change", async () => {
      const members = await this.listClient.listMembers();
      const state = members.find((member) => member.name === name)?.state ?? "";
      seen.add(state);
      return state === after;
    });
    const waitedMs = performance.now() - this.markedMs;
    if (!seen.has(before)) throw new Error(`never read ${before}`);
    if (waitedMs < this.lagMs) throw new Error(`shown after ${waitedMs} ms`);
  },
);

Then(
  "the list client's answers match the snapshot",
  function (this: ListWorld): void {
    this.matchSnapshot(this.listAnswers);
  },
);

After(async function (this: Partial<ListWorld>): Promise<void> {
  await this.listClient?.close();
  await this.listStandin?.close();
});
