/** Steps of `membership.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { waitFor } from "../../shared/index.ts";
import {
  Effect,
  type Member,
  MemberKind,
  MemberState,
  RemoteError,
  RemoteFailure,
} from "../../types/index.ts";
import { createMembership, type Membership } from "./membership.ts";

/** State of one scenario. */
interface MembershipWorld {
  memberClock?: PausedClock;
  membership: Membership;
  shownMembers: readonly Member[];
  listFault: { failing: boolean; delayMs: number };
  memberEvents: string[];
  stopMembership: AbortController;
  matchSnapshot: (received: unknown) => void;
}

const endpoints = ["e1", "e2", "e3", "e4"];

function parseMembers(text: string): readonly Member[] {
  return text.split(", ").filter((part) => part !== "").map((part) => {
    const [name = "", state = ""] = part.split(" ");
    const isInstance = name === "entry";
    return {
      name,
      kind: isInstance ? MemberKind.Instance : MemberKind.Engine,
      state: state === "live" ? MemberState.Live : MemberState.Leaving,
      failureDomain: "sapporo",
      address: `address of ${name}`,
      peerAddress: isInstance ? `peer address of ${name}` : undefined,
    };
  });
}

function listLeaving(world: MembershipWorld): string {
  return endpoints.filter(world.membership.isLeaving).join(", ");
}

Given(
  "a membership that reads the list every {int} ms",
  function (this: MembershipWorld, intervalMs: number): void {
    this.memberClock = pauseClock();
    this.shownMembers = [];
    this.listFault = { failing: false, delayMs: 0 };
    this.memberEvents = [];
    this.stopMembership = new AbortController();
    const listMembers = async (): Promise<readonly Member[]> => {
      await waitFor(this.listFault.delayMs);
      if (!this.listFault.failing) return this.shownMembers;
      throw new RemoteError("list is down", {
        failure: RemoteFailure.Unreachable,
        effect: Effect.None,
      });
    };
    this.membership = createMembership(listMembers, {
      ownAddress: "peer address of entry",
      intervalMs,
      logEvent: (event, fields) =>
        this.memberEvents.push(`${event.number} ${fields?.member ?? ""}`),
    });
    void this.membership.keep(this.stopMembership.signal);
  },
);

When(
  "the list shows {string}",
  async function (this: MembershipWorld, members: string): Promise<void> {
    const isFirst = this.shownMembers.length === 0;
    this.shownMembers = parseMembers(members);
    if (isFirst) await this.memberClock?.tickAsync(600);
  },
);

When(
  "the list takes {int} ms to answer",
  function (this: MembershipWorld, delayMs: number): void {
    this.listFault.delayMs = delayMs;
  },
);

When(
  "the list fails for {int} ms",
  async function (this: MembershipWorld, durationMs: number): Promise<void> {
    this.listFault.failing = true;
    await this.memberClock?.tickAsync(durationMs);
    this.listFault.failing = false;
  },
);

When(
  "{int} ms pass for the membership",
  async function (this: MembershipWorld, durationMs: number): Promise<void> {
    await this.memberClock?.tickAsync(durationMs);
  },
);

When(
  /^"(\w+)" says that it is (leaving|staying)$/,
  function (this: MembershipWorld, endpoint: string, word: string): void {
    this.membership.recordLeaving(endpoint, word === "leaving");
  },
);

When(
  "a peer says that {string} is leaving",
  function (this: MembershipWorld, endpoint: string): void {
    this.membership.recordPeerReport(endpoint);
  },
);

When(
  "the process is suspended for {int} ms, in which the list shows {string}",
  function (this: MembershipWorld, ms: number, members: string): void {
    this.shownMembers = parseMembers(members);
    this.memberClock?.jump(ms);
  },
);

When(
  "a call waits up to {int} ms for a recent list",
  async function (this: MembershipWorld, ms: number): Promise<void> {
    const confirmed = this.membership.confirm();
    await this.memberClock?.tickAsync(ms);
    await confirmed;
  },
);

Then(
  /^calls to "(\w+)" may( not)? be written$/,
  function (
    this: MembershipWorld,
    endpoint: string,
    not: string | null,
  ): void {
    assert.equal(this.membership.mayWrite(endpoint), not === null);
  },
);

Then(
  "the membership has logged {int} {int} times",
  function (this: MembershipWorld, event: number, count: number): void {
    const logged = this.memberEvents.filter((text) =>
      text.startsWith(`${event} `)
    );
    assert.equal(logged.length, count);
  },
);

Then(
  "within {int} ms the leaving endpoints are {string}",
  async function (
    this: MembershipWorld,
    boundMs: number,
    expected: string,
  ): Promise<void> {
    await this.memberClock?.tickAsync(boundMs);
    assert.equal(listLeaving(this), expected);
  },
);

Then(
  "the leaving endpoints are {string}",
  function (this: MembershipWorld, expected: string): void {
    assert.equal(listLeaving(this), expected);
  },
);

Then(
  "the words for peers are {string}",
  function (this: MembershipWorld, expected: string): void {
    assert.equal(this.membership.listReportedLeaving().join(", "), expected);
  },
);

Then(
  "{int} instances are counted",
  function (this: MembershipWorld, count: number): void {
    assert.equal(this.membership.countInstances(), count);
  },
);

Then(
  "the membership history matches the snapshot",
  function (this: MembershipWorld): void {
    this.matchSnapshot(this.memberEvents);
  },
);

After(function (this: Partial<MembershipWorld>): void {
  this.stopMembership?.abort();
  this.memberClock?.uninstall();
});
