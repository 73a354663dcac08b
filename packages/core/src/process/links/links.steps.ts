/** Steps of `links.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { startRunningClock } from "../../shared/index.ts";
import { type EndpointLinks, watchEndpointLinks } from "./index.ts";

/** State of one scenario. */
interface LinksWorld {
  linksClock?: PausedClock;
  links: EndpointLinks;
  endpoints: readonly string[];
  peersReach: readonly string[];
  /** What peers reach if they are asked, and when they last have. */
  peersTry: readonly string[];
  triedMs: Map<string, number>;
  peerCount: number;
  /** Endpoint to which a peer opens connections all the time. */
  opens?: string;
  /** When cuts began and ended, in turn. */
  changes: number[];
  draws: () => number;
  /** Endpoints to which this instance has tried to connect. */
  probed: string[];
  /** When the connections of the peers were opened. */
  connectedMs: number;
  /** How connections to endpoints fail. */
  failing: Map<string, string>;
  stop: AbortController;
}

const stepMs = 50;
const requestEveryMs = 250;
const digestEveryMs = 100;
const contactAgeMs = 30;
/** Time within which changes of the endpoints are known, in ms. */
const checkMs = 150;
/** Time in which questions of peers are answered, in ms. */
const answerMs = 100;
/** Linear congruential generator of reproducible draws. */
const lcgFactor = 1_664_525;
const lcgIncrement = 1_013_904_223;
const lcgModulus = 2 ** 32;

After(function (this: LinksWorld): void {
  this.stop?.abort();
  this.linksClock?.uninstall();
});

function splitNames(text: string): readonly string[] {
  return text.split(", ").filter((name) => name !== "");
}

Given("links to the endpoints {string}", function (
  this: LinksWorld,
  names: string,
): void {
  this.linksClock = pauseClock();
  this.endpoints = splitNames(names);
  this.peersReach = [];
  this.peersTry = [];
  this.peerCount = 1;
  this.changes = [];
  this.draws = () => 0.5;
  this.triedMs = new Map();
  this.probed = [];
  this.connectedMs = performance.now();
  this.failing = new Map();
  this.stop = new AbortController();
  this.links = watchEndpointLinks({
    listAddresses: () => this.endpoints,
    probe: (address, timeoutMs) => openConnection(this, { address, timeoutMs }),
    random: () => this.draws(),
    countPeers: () => this.peerCount,
    onChange: () => this.changes.push(performance.now()),
    logEvent: () => undefined,
    clock: startRunningClock(this.stop.signal),
    signal: this.stop.signal,
  });
});

async function openConnection(
  { failing, probed }: LinksWorld,
  { address, timeoutMs }: {
    readonly address: string;
    readonly timeoutMs: number;
  },
): Promise<boolean> {
  const how = failing.get(address);
  probed.push(address);
  if (how === "hang") {
    await new Promise((resolve) => setTimeout(resolve, timeoutMs));
  }
  return how === undefined;
}

Given("peers reach {string}", function (
  this: LinksWorld,
  names: string,
): void {
  this.peersReach = splitNames(names);
});

Given("the endpoints are {string}", function (
  this: LinksWorld,
  names: string,
): void {
  this.endpoints = splitNames(names);
});

Given("draws of seed {int}", function (this: LinksWorld, seed: number): void {
  let state = seed;
  this.draws = () => {
    state = (state * lcgFactor + lcgIncrement) % lcgModulus;
    return state / lcgModulus;
  };
});

Then("no cut lasts longer than {int} ms", function (
  this: LinksWorld,
  mostMs: number,
): void {
  const changes = [...this.changes, performance.now()];
  for (let index = 0; index + 1 < changes.length; index += 2) {
    const lastedMs = (changes[index + 1] ?? 0) - (changes[index] ?? 0);
    assert.ok(lastedMs <= mostMs, `a cut lasted ${lastedMs} ms`);
  }
});

Then("nothing is tried for a peer that asks for {string}", function (
  this: LinksWorld,
  names: string,
): void {
  this.probed = [];
  this.links.answerQuestions(splitNames(names));
  assert.deepEqual(this.probed, []);
});

Given("peers have no calls, and reach {string} if they are asked", function (
  this: LinksWorld,
  names: string,
): void {
  this.peersTry = splitNames(names);
});

/** Lets the peers try what the instance asks for, and returns their contacts of it. */
function collectAnswers(
  { links, peersTry, triedMs }: LinksWorld,
): readonly (readonly [string, readonly [number, number]])[] {
  const nowMs = performance.now();
  for (const name of links.listQuestions() ?? []) {
    if (peersTry.includes(name)) triedMs.set(name, nowMs);
  }
  return [...triedMs].map(([name, ms]) => [name, [nowMs - ms, nowMs - ms]]);
}

/** Lets time pass with digests of peers and, if `requests` says so, calls to the endpoints in turn. */
async function passTime(
  world: LinksWorld,
  ms: number,
  { requests }: { readonly requests: string },
): Promise<void> {
  for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
    if (passedMs % digestEveryMs === 0) {
      const connectionAgeMs = performance.now() - world.connectedMs;
      const reports = world.peersReach.map((name) => [
        name,
        [contactAgeMs, Math.max(connectionAgeMs, 0)],
      ]);
      world.links.applyReports(
        Object.fromEntries([...reports, ...collectAnswers(world)]),
        performance.now(),
      );
      if (world.opens !== undefined) {
        world.links.applyReports({ [world.opens]: [0, 0] }, performance.now());
      }
    }
    if (passedMs % requestEveryMs === 0) {
      sendRequest(world, { passedMs, requests });
    }
    await world.linksClock?.tickAsync(stepMs);
  }
}

function sendRequest(
  { endpoints, failing, links }: LinksWorld,
  { passedMs, requests }: {
    readonly passedMs: number;
    readonly requests: string;
  },
): void {
  const index = Math.floor(passedMs / requestEveryMs) % endpoints.length;
  const address = endpoints[index] ?? "";
  if (requests === "do not come") return;
  if (requests === "are answered on open ones") {
    links.recordSent(address);
    links.recordContact(address, 0);
    links.recordFailure(address);
    return;
  }
  const how = failing.get(address);
  if (how === "are refused") return links.recordFailure(address);
  links.recordSent(address);
  if (how === undefined) links.recordContact(address, 0);
}

When(
  /^connections to "(.*)" (hang|are refused), and requests (come|do not come|are answered on open ones) for (\d+) ms$/,
  async function (
    this: LinksWorld,
    names: string,
    how: string,
    requests: string,
    ms: string,
  ): Promise<void> {
    for (const name of splitNames(names)) this.failing.set(name, how);
    await passTime(this, Number(ms), { requests });
  },
);

When(
  "connections to {string} are opened again for {int} ms",
  async function (this: LinksWorld, names: string, ms: number): Promise<void> {
    for (const name of splitNames(names)) this.failing.delete(name);
    await passTime(this, ms, { requests: "come" });
  },
);

When(
  "the process does not run for {int} ms and its connections are as before",
  async function (this: LinksWorld, ms: number): Promise<void> {
    await passTime(this, 1_000, { requests: "come" });
    this.links.recordSent("e1");
    // The clock goes on while no timer fires and nothing is read.
    this.linksClock?.jump(ms);
    await passTime(this, 1_000, { requests: "come" });
  },
);

Then(/^the instance is (not )?cut off$/, function (
  this: LinksWorld,
  not: string | null,
): void {
  assert.equal(this.links.isCut(), not === null);
});

Then(
  /^the end of "([^"]+)" is (not )?confirmed (\d+) ms later(, as peers reach a new process|, as another peer opens connections to it all the time)?$/,
  async function (
    this: LinksWorld,
    name: string,
    not: string | null,
    ms: string,
    why: string | null,
  ): Promise<void> {
    let confirmed: boolean | undefined;
    if (why?.includes("a new process")) this.connectedMs = Infinity;
    this.opens = why?.includes("opens connections") ? name : undefined;
    void this.links.confirmEnd(name).then((result) => confirmed = result);
    await passTime(this, Number(ms), { requests: "come" });
    assert.equal(confirmed, not === null);
  },
);

Then(
  "the end of {string} is not confirmed {int} ms later, of which the process does not run for {int} ms",
  async function (
    this: LinksWorld,
    name: string,
    ms: number,
    pausedMs: number,
  ): Promise<void> {
    let confirmed: boolean | undefined;
    void this.links.confirmEnd(name).then((result) => confirmed = result);
    this.linksClock?.jump(pausedMs);
    await this.linksClock?.tickAsync(0);
    await passTime(this, ms, { requests: "come" });
    assert.equal(confirmed, false);
  },
);

When("a peer, one of {int}, asks for {string}", async function (
  this: LinksWorld,
  count: number,
  names: string,
): Promise<void> {
  this.peerCount = count;
  await this.linksClock?.tickAsync(checkMs);
  this.probed = [];
  this.links.answerQuestions(splitNames(names));
  await this.linksClock?.tickAsync(answerMs);
});

When(
  "a connection of {int} ms to {string} is answered, and a peer asks for {string}",
  async function (
    this: LinksWorld,
    ageMs: number,
    name: string,
    asked: string,
  ): Promise<void> {
    await this.linksClock?.tickAsync(checkMs);
    this.probed = [];
    this.links.recordContact(name, performance.now() - ageMs);
    this.links.answerQuestions(splitNames(asked));
    await this.linksClock?.tickAsync(0);
  },
);

Then(
  "the instance has tried {string}, and its digest tells of {string} on a connection of {int} ms",
  function (
    this: LinksWorld,
    tried: string,
    name: string,
    ageMs: number,
  ): void {
    assert.deepEqual(this.probed, splitNames(tried));
    assert.deepEqual(this.links.collectReports(), { [name]: [0, ageMs] });
  },
);

Then("the instance has come back to an endpoint", function (
  this: LinksWorld,
): void {
  assert.equal(this.changes.length, 2);
});

When("a peer asks for {string} {int} ms later", async function (
  this: LinksWorld,
  names: string,
  ms: number,
): Promise<void> {
  await this.linksClock?.tickAsync(ms - answerMs);
  this.probed = [];
  this.links.answerQuestions(splitNames(names));
  await this.linksClock?.tickAsync(answerMs);
});

Then(
  "the instance has tried {string}, and its digest tells of {string}",
  function (this: LinksWorld, tried: string, told: string): void {
    assert.deepEqual(this.probed.toSorted(), splitNames(tried));
    const reports = this.links.collectReports();
    assert.deepEqual(Object.keys(reports).toSorted(), splitNames(told));
  },
);

When(
  /^(\d+) (endpoints|other processes) answer$/,
  async function (
    this: LinksWorld,
    count: string,
    who: string,
  ): Promise<void> {
    const addresses = Array.from(
      { length: Number(count) },
      (_, each) => `10.0.0.1:${each}`,
    );
    if (who === "endpoints") this.endpoints = addresses;
    await this.linksClock?.tickAsync(checkMs);
    for (const address of addresses) this.links.recordContact(address, 0);
  },
);

Then("a digest reports {int} contacts", function (
  this: LinksWorld,
  count: number,
): void {
  assert.equal(Object.keys(this.links.collectReports()).length, count);
});

Then("none {int} ms later", async function (
  this: LinksWorld,
  ms: number,
): Promise<void> {
  await this.linksClock?.tickAsync(ms);
  assert.deepEqual(this.links.collectReports(), {});
});
