/** Steps of `peer_link.feature`. */
import { strict as assert } from "node:assert";
import { createSocket } from "node:dgram";
import { createServer } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  createPeerRegistry,
  type PeerAddress,
  type PeerDigest,
  type PeerRegistry,
  type PromptReports,
} from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import { createChannels } from "./channels.ts";
import { openPeerLink, type PeerLink } from "./peer_link.ts";
import { chooseTargets } from "./peer_targets.ts";

/** One instance with its link and what it received. */
interface LinkedInstance {
  readonly name: string;
  readonly failureDomain: string;
  readonly address: string;
  readonly peers: PeerRegistry;
  readonly link: PeerLink;
  /** Senders of the received digests. */
  readonly receivedFrom: string[];
  /** Senders of the digests that contained changes of the list. */
  readonly updatesFrom: string[];
  /** What it tells once, and what it has heard of that. */
  readonly news: PromptReports[];
  readonly heardNews: PromptReports[];
  /** Sequence numbers of the digests that were accepted. */
  readonly taken: number[];
}

/** State of one scenario. */
interface LinkWorld {
  linked?: LinkedInstance[];
  all?: readonly PeerAddress[];
  linkEnding?: AbortController;
  linkChannels?: ReturnType<typeof createChannels>;
}

After(function (this: LinkWorld): void {
  this.linkEnding?.abort();
  for (const { link } of this.linked ?? []) link.close();
  this.linkChannels?.close();
});

/** Builds a digest without news. */
export function buildDigest(
  from: Pick<LinkedInstance, "name" | "failureDomain" | "address">,
  { sequence, start = "first" }: {
    readonly sequence: number;
    readonly start?: string;
  },
): PeerDigest {
  const { name, failureDomain, address } = from;
  return {
    name,
    failureDomain,
    address,
    start,
    sequence,
    sentMs: 0,
    version: 1,
    listNext: 0,
    listChanged: 0,
    listAgeMs: 0,
    readsStore: false,
    takesPlacements: true,
    loads: {},
    reads: { sent: {}, computed: {} },
    down: {},
    changing: [],
    stopping: false,
  };
}

/** Finds a port that is free for both datagrams and connections. */
async function findFreePort(): Promise<string> {
  while (true) {
    const socket = createSocket("udp4");
    await new Promise<void>((resolve) => socket.bind(0, "127.0.0.1", resolve));
    const { port } = socket.address();
    const server = createServer();
    const free = await new Promise<boolean>((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => resolve(true));
    });
    await new Promise<void>((resolve) => server.close(() => resolve()));
    await new Promise<void>((resolve) => socket.close(() => resolve()));
    if (free) return `127.0.0.1:${port}`;
  }
}

async function openLinked(
  world: LinkWorld,
  [name = "", failureDomain = ""]: readonly string[],
): Promise<LinkedInstance> {
  assert.ok(world.linkEnding && world.linkChannels);
  const address = await findFreePort();
  const peers = createPeerRegistry({
    instance: name,
    logEvent: () => undefined,
  });
  const receivedFrom: LinkedInstance["receivedFrom"] = [];
  const news: PromptReports[] = [];
  const heardNews: PromptReports[] = [];
  const updatesFrom: LinkedInstance["updatesFrom"] = [];
  let sequence = 0;
  const link = await openPeerLink({
    failureDomain,
    address,
    peers,
    channels: world.linkChannels,
    collectNews: () => {
      const prompts = news.pop();
      return { prompts };
    },
    findOrigin: () => undefined,
    buildDigest: () =>
      buildDigest({ name, failureDomain, address }, {
        sequence: sequence += 1,
      }),
    getState: () => ({
      endpoints: { next: 0, changed: 0, endpoints: [], lapsed: [] },
    }),
    onDigest: (digest) => {
      peers.acceptDigest(digest);
      receivedFrom.push(digest.name);
      if (digest.prompts) heardNews.push(digest.prompts);
      if (digest.update) updatesFrom.push(digest.name);
    },
    onPlacements: () => undefined,
    onFailure: (error) => assert.fail(String(error)),
    onTraffic: () => undefined,
    signal: world.linkEnding.signal,
  });
  return {
    name,
    failureDomain,
    address,
    peers,
    link,
    receivedFrom,
    updatesFrom,
    news,
    heardNews,
    taken: [],
  };
}

function getLinked(world: LinkWorld, name: string): LinkedInstance {
  const found = world.linked?.find((each) => each.name === name);
  assert.ok(found);
  return found;
}

Given(
  "instances {string} that know each other",
  async function (this: LinkWorld, text: string): Promise<void> {
    this.linkEnding = new AbortController();
    this.linkChannels = createChannels();
    this.linked = [];
    for (const part of text.split(", ")) {
      this.linked.push(await openLinked(this, part.split(" ")));
    }
    for (const { peers } of this.linked) {
      for (const { name, failureDomain, address } of this.linked) {
        peers.register({ name, failureDomain, address });
      }
    }
  },
);

When(
  "every instance has heard the others",
  async function (this: LinkWorld): Promise<void> {
    const linked = this.linked ?? [];
    await waitUntil(
      "all instances are heard",
      () =>
        linked.every(({ peers }) => peers.countInstances() === linked.length),
    );
  },
);

When(
  "{string} tells of its work",
  function (this: LinkWorld, name: string): void {
    for (const { receivedFrom } of this.linked ?? []) receivedFrom.length = 0;
    getLinked(this, name).link.scheduleDigest();
  },
);

Then(
  "every other instance hears it within {int} ms",
  async function (this: LinkWorld, ms: number): Promise<void> {
    const others = (this.linked ?? []).filter(({ name }) => name !== "a1");
    await waitUntil(
      "all others have heard the digest",
      () => others.every(({ receivedFrom }) => receivedFrom.includes("a1")),
      { deadlineMs: ms },
    );
  },
);

Then(
  "of the digests of {string} each goes to {string} and one of {string}, in turn",
  function (
    this: LinkWorld,
    from: string,
    near: string,
    far: string,
  ): void {
    const { peers, failureDomain } = getLinked(this, from);
    const relays = ["b1", "b2", "b3"].map((_, rotation) => {
      const targets = chooseTargets(peers.listRegistered(), {
        failureDomain,
        liveNames: new Set(peers.listLive().map(({ name }) => name)),
        rotation,
      });
      assert.deepEqual(targets.direct.map(({ name }) => name), [near]);
      assert.equal(targets.relays.length, 1);
      return targets.relays[0]?.name;
    });
    assert.equal(relays.toSorted().join(", "), far);
  },
);

Given(
  "instances of a large domain {string} with {int} instances and of {string} with {int}",
  function (
    this: LinkWorld,
    large: string,
    largeCount: number,
    small: string,
    smallCount: number,
  ): void {
    const build = (domain: string, count: number): readonly PeerAddress[] =>
      Array.from({ length: count }, (_, index) => ({
        name: `${domain[0]}${String(index + 1).padStart(2, "0")}`,
        failureDomain: domain,
        address: "10.0.0.1:1",
      }));
    this.all = [...build(large, largeCount), ...build(small, smallCount)];
  },
);

Then(
  "a digest of {string} goes directly to {string} and through one of {string} and one of {string}",
  function (
    this: LinkWorld,
    from: string,
    direct: string,
    near: string,
    far: string,
  ): void {
    const others = (this.all ?? []).filter(({ name }) => name !== from);
    const chosen = Array.from(
      { length: 6 },
      (_, rotation) =>
        chooseTargets(others, {
          failureDomain: "sapporo",
          liveNames: new Set(others.map(({ name }) => name)),
          rotation,
        }),
    );
    const relays = (index: number): string =>
      [...new Set(chosen.map(({ relays }) => relays[index]?.name))]
        .toSorted().join(", ");
    const directly = chosen.flatMap((targets) => targets.direct);
    assert.equal(directly.map(({ name }) => name).join(", "), direct);
    assert.deepEqual([relays(0), relays(1)], [near, far]);
  },
);

When(
  "{string} hears digests {int}, {int} and {int} of {string}",
  function (
    this: LinkWorld,
    name: string,
    first: number,
    second: number,
    third: number,
    from: string,
  ): void {
    const instance = getLinked(this, name);
    for (const sequence of [first, second, third]) {
      acceptDigest(instance, buildDigest(getLinked(this, from), { sequence }));
    }
  },
);

When(
  "{string} hears digest {int} of {string} and digest {int} of its next start",
  function (
    this: LinkWorld,
    name: string,
    before: number,
    from: string,
    after: number,
  ): void {
    const instance = getLinked(this, name);
    const sender = getLinked(this, from);
    acceptDigest(instance, buildDigest(sender, { sequence: before }));
    acceptDigest(
      instance,
      buildDigest(sender, { sequence: after, start: "second" }),
    );
  },
);

function acceptDigest(instance: LinkedInstance, digest: PeerDigest): void {
  if (instance.peers.acceptDigest(digest)) instance.taken.push(digest.sequence);
}

Then(
  "it takes the digests {int} and {int}",
  function (this: LinkWorld, first: number, second: number): void {
    assert.deepEqual(getLinked(this, "a1").taken, [first, second]);
  },
);

When(
  "{string} has measured a prompt",
  function (this: LinkWorld, name: string): void {
    getLinked(this, name).news.push({ p1: [5_000, 100] });
  },
);

Then(
  "all other instances hear of the prompt within {int} ms",
  async function (this: LinkWorld, ms: number): Promise<void> {
    const others = (this.linked ?? []).filter(({ name }) => name !== "a1");
    await waitUntil(
      "all others have heard of the prompt",
      () => others.every(({ heardNews }) => heardNews.length > 0),
      { deadlineMs: ms },
    );
  },
);

When(
  "{string} has read changes of the list",
  function (this: LinkWorld, name: string): void {
    getLinked(this, name).link.sendUpdate({ from: 3, records: [] });
  },
);

Then(
  "{string} hears of the changes within {int} ms",
  async function (this: LinkWorld, name: string, ms: number): Promise<void> {
    const { updatesFrom } = getLinked(this, name);
    await waitUntil("changes are heard", () => updatesFrom.length > 0, {
      deadlineMs: ms,
    });
  },
);

Then(
  "no instance of another failure domain hears of them",
  function (this: LinkWorld): void {
    const others = (this.linked ?? []).filter(({ name }) =>
      name.startsWith("b")
    );
    assert.ok(others.every(({ updatesFrom }) => updatesFrom.length === 0));
  },
);

When("the link of {string} is closed", function (
  this: LinkWorld,
  name: string,
): void {
  getLinked(this, name).link.close();
});

Then(
  "{string} tells of changes and of prompts, and nothing fails",
  function (this: LinkWorld, name: string): void {
    const { link } = getLinked(this, name);
    link.sendUpdate(undefined);
    link.sendPlacements({ p1: 200 });
  },
);
