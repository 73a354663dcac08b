/** Steps of `peer_registry.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { startRunningClock } from "../../shared/index.ts";
import {
  createPeerRegistry,
  type PeerDigest,
  type PeerRegistry,
} from "./index.ts";

/** State of one scenario. */
interface RegistryWorld {
  registryClock?: PausedClock;
  registry: PeerRegistry;
  digests: number;
}

const stepMs = 100;

After(function (this: Partial<RegistryWorld>): void {
  this.registryClock?.uninstall();
});

function buildDigest(
  world: RegistryWorld,
  { name, address }: { readonly name: string; readonly address: string },
): PeerDigest {
  world.digests += 1;
  return {
    name,
    address,
    failureDomain: "sapporo",
    version: 1,
    start: "first",
    sequence: world.digests,
    listNext: 0,
    listChanged: 0,
    listAgeMs: 0,
    readsStore: false,
    loads: {},
    reads: { sent: {}, computed: {} },
    down: {},
    changing: [],
    stopping: false,
  };
}

function sendDigest(
  world: RegistryWorld,
  options: { readonly name: string; readonly address: string },
): void {
  assert.ok(world.registry.acceptDigest(buildDigest(world, options)));
}

Given(
  "{int} instances that send digests",
  function (this: RegistryWorld, count: number): void {
    this.registryClock = pauseClock();
    this.registry = createPeerRegistry({
      instance: "own",
      clock: startRunningClock(),
      logEvent: () => undefined,
    });
    this.digests = 0;
    for (let index = 0; index < count; index++) {
      const name = `i-${index}`;
      const address = `10.0.0.1:${index + 1}`;
      this.registry.register({ name, address, failureDomain: "sapporo" });
      sendDigest(this, { name, address });
    }
  },
);

When(
  "{int} ms pass in which only {string} sends a digest",
  function (this: RegistryWorld, ms: number, name: string): void {
    for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
      this.registryClock?.tick(stepMs);
      sendDigest(this, { name, address: "10.0.0.1:1" });
      this.registry.countInstances();
    }
  },
);

When("the instance does not get on for {int} ms", function (
  this: RegistryWorld,
  ms: number,
): void {
  // Timers that came due meanwhile fire afterwards, once each.
  this.registryClock?.jump(ms);
});

When(
  "{string} sends a digest from {string}",
  function (this: RegistryWorld, name: string, address: string): void {
    sendDigest(this, { name, address });
  },
);

Then(
  /^(\d+) instances? (?:is|are) live$/,
  function (this: RegistryWorld, count: string): void {
    assert.equal(this.registry.listLive().length, Number(count));
    assert.equal(this.registry.countInstances(), Number(count) + 1);
  },
);

Then(
  /^(\d+) instances? (?:is|are) registered$/,
  function (this: RegistryWorld, count: string): void {
    assert.equal(this.registry.listRegistered().length, Number(count));
  },
);

Then(
  "{string} is registered at {string}",
  function (this: RegistryWorld, name: string, address: string): void {
    const entry = this.registry.listRegistered().find((peer) =>
      peer.name === name
    );
    assert.equal(entry?.address, address);
  },
);

Then(
  "taking it and counting the live instances looks at the clock {int} times at most",
  function (this: RegistryWorld, most: number): void {
    const read = performance.now.bind(performance);
    let reads = 0;
    performance.now = () => {
      reads += 1;
      return read();
    };
    try {
      sendDigest(this, { name: "i-0", address: "10.0.0.1:1" });
      this.registry.countInstances();
    } finally {
      performance.now = read;
    }
    assert.ok(reads <= most, `${reads} reads of the clock`);
  },
);
