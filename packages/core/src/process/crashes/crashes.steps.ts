/** Steps of `crashes.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock } from "@trefoildoor/testing";
import type { ForwardCall } from "../../types/index.ts";
import {
  buildPartCall,
  buildProcess,
  type CrashStepsWorld,
  crashUnder,
  createInstance,
  exchangeNews,
  passTime,
  pickInstances,
  prepareInstances,
  type WatchedInstance,
} from "./crash_world.test.ts";
import { crashEvents, EndSign, Unsettled } from "./index.ts";

const msPerSecond = 1_000;
const noReports = { crashes: [], successes: [] };

After(function (this: CrashStepsWorld): void {
  this.crashClock?.uninstall();
});

Given(
  "the instances {string} that pass news of crashes on to each other",
  function (this: CrashStepsWorld, names: string): void {
    this.crashClock ??= pauseClock();
    prepareInstances(this, names);
  },
);

Given(
  "the instances {string}, of which one at a time tries calls",
  function (this: CrashStepsWorld, names: string): void {
    this.crashClock ??= pauseClock();
    prepareInstances(this, names, { shareTrials: true });
  },
);

Given(
  "calls with {string} have completed at {string}",
  function (this: CrashStepsWorld, parts: string, names: string): void {
    for (const { watch } of pickInstances(this, names)) {
      watch.recordSuccess(buildPartCall(this, parts));
    }
  },
);

/** Crashes `count` endpoints under a call at each of the instances in turn, with other calls beside it. */
async function crashInTurn(
  world: CrashStepsWorld,
  options: {
    readonly count: number;
    readonly parts: string;
    readonly names: string;
    readonly beside?: string;
    readonly change?: Partial<ForwardCall>;
  },
): Promise<void> {
  const holders = pickInstances(world, options.names);
  for (let each = 0; each < options.count; each++) {
    const holder = holders[each % holders.length];
    assert.ok(holder);
    const lost = new Map<WatchedInstance, ForwardCall[]>();
    lost.set(holder, [buildPartCall(world, options.parts, options)]);
    for (const instance of options.beside ? world.instances : []) {
      const calls = lost.get(instance) ?? [];
      // Subjects differ from crash to crash, as those of sound calls do.
      calls.push(buildPartCall(world, `${options.beside} subject-${each}`));
      lost.set(instance, calls);
    }
    await crashUnder(world, lost);
    if (!options.beside) continue;
    for (const { watch } of world.instances) {
      watch.recordSuccess(buildPartCall(world, options.beside));
    }
  }
}

When(
  "{int} endpoints crash under {string} at {string} in turn, each beside {string} at all of them",
  async function (
    this: CrashStepsWorld,
    count: number,
    parts: string,
    names: string,
    beside: string,
  ): Promise<void> {
    await crashInTurn(this, { count, parts, names, beside });
  },
);

When(
  "{int} endpoints crash under {string} at {string} in turn, beside nothing",
  async function (
    this: CrashStepsWorld,
    count: number,
    parts: string,
    names: string,
  ): Promise<void> {
    await crashInTurn(this, { count, parts, names });
  },
);

When(
  "{int} more endpoint crashes under {string} at {string}",
  async function (
    this: CrashStepsWorld,
    count: number,
    parts: string,
    names: string,
  ): Promise<void> {
    await crashInTurn(this, { count, parts, names });
  },
);

When(
  "{int} endpoints crash under {string} at {string} in turn, with completed calls of {string} at {string} in between",
  async function (
    this: CrashStepsWorld,
    count: number,
    parts: string,
    names: string,
    completed: string,
    at: string,
  ): Promise<void> {
    const [done] = pickInstances(this, at);
    for (let each = 0; each < count; each++) {
      // The second part is new in each crash.
      await crashInTurn(this, {
        count: 1,
        parts: `${parts}-${each}`,
        names: names.split(", ")[each % names.split(", ").length] ?? "",
      });
      if (each % 2 === 1) {
        done?.watch.recordSuccess(buildPartCall(this, completed));
      }
      await exchangeNews(this);
    }
  },
);

When(
  "{int} endpoints crash under repeats of one request without parts at {string}",
  async function (
    this: CrashStepsWorld,
    count: number,
    names: string,
  ): Promise<void> {
    const change = { work: undefined, body: Buffer.from("same") };
    await crashInTurn(this, { count, parts: "", names, change });
  },
);

When(
  /^calls with "(.+)" are lost at (\d+) endpoints at "a", (.+)$/,
  async function (
    this: CrashStepsWorld,
    parts: string,
    count: string,
    why: string,
  ): Promise<void> {
    const [instance] = pickInstances(this, "a");
    assert.ok(instance);
    const { watch } = instance;
    for (let each = 0; each < Number(count); each++) {
      const call = buildPartCall(this, parts);
      const endpoint = buildProcess(this, {
        leaving: why === "which were leaving",
      });
      const kind = /callers left/.test(why)
        ? Unsettled.Withdrawn
        : /without a length/.test(why)
        ? Unsettled.Unframed
        : Unsettled.Broken;
      watch.recordUnsettled(call, endpoint, { why: kind });
      const waitS = /(\d+) s/.exec(why)?.[1] ?? 0;
      await this.crashClock?.tickAsync(Number(waitS) * msPerSecond + 1);
      if (/answer other calls/.test(why)) {
        watch.recordAnswer(endpoint, {
          sentMs: performance.now(),
          connectedMs: /new processes/.test(why) ? performance.now() : 0,
        });
      }
      watch.recordEnd(endpoint, EndSign.List);
      await exchangeNews(this);
    }
  },
);

When(
  "calls with {string} are answered without a length at {string}, by endpoints that go on",
  async function (
    this: CrashStepsWorld,
    parts: string,
    names: string,
  ): Promise<void> {
    for (const { watch } of pickInstances(this, names)) {
      const endpoint = buildProcess(this);
      watch.recordUnsettled(buildPartCall(this, parts), endpoint, {
        why: Unsettled.Unframed,
      });
      await this.crashClock?.tickAsync(1);
      watch.recordAnswer(endpoint, {
        sentMs: performance.now(),
        connectedMs: 0,
      });
    }
  },
);

When("{int} s passes at {string}", async function (
  this: CrashStepsWorld,
  seconds: number,
  _name: string,
): Promise<void> {
  await this.crashClock?.tickAsync(seconds * msPerSecond);
});

When("{int} s pass", async function (
  this: CrashStepsWorld,
  seconds: number,
): Promise<void> {
  await passTime(this, seconds * msPerSecond);
});

When("{string} is cut off from the others", function (
  this: CrashStepsWorld,
  name: string,
): void {
  for (const instance of pickInstances(this, name)) instance.heard = false;
});

When("{string} is heard again for {int} s", async function (
  this: CrashStepsWorld,
  name: string,
  seconds: number,
): Promise<void> {
  for (const instance of pickInstances(this, name)) instance.heard = true;
  await passTime(this, seconds * msPerSecond);
});

When("all instances start again with what they stored", function (
  this: CrashStepsWorld,
): void {
  const stored = this.instances.map(({ name, watch }) => ({
    name,
    record: watch.getStored(),
  }));
  this.instances = stored.map(({ name }) => createInstance(name));
  for (const instance of this.instances) {
    for (const { name, record } of stored) {
      instance.watch.applyStored(record, {
        from: name,
        own: name === instance.name,
      });
    }
  }
});

When("{string} stores its evidence", function (
  this: CrashStepsWorld,
  name: string,
): void {
  const [instance] = pickInstances(this, name);
  this.stored = instance?.watch.getStored();
});

When(
  /^"([^"]+)" starts again with what it stored, and (?:no state|with the state of "([^"]+)")$/,
  function (
    this: CrashStepsWorld,
    name: string,
    peer: string | null,
  ): void {
    const instance = createInstance(name);
    const { stored } = this;
    assert.ok(stored);
    instance.watch.applyStored(stored, { from: name, own: true });
    if (peer !== null) {
      const [from] = pickInstances(this, peer);
      instance.watch.applyReports(from?.watch.getSnapshot() ?? noReports, 0);
    }
    this.instances = this.instances.map((each) =>
      each.name === name ? instance : each
    );
  },
);

When(
  "{int} endpoints crash under {int} calls each with invented parts at {string}",
  async function (
    this: CrashStepsWorld,
    count: number,
    callsEach: number,
    name: string,
  ): Promise<void> {
    const [instance] = pickInstances(this, name);
    assert.ok(instance);
    for (let each = 0; each < count; each++) {
      const calls = Array.from({ length: callsEach }, (_, index) => {
        const ids = Array.from(
          { length: 8 },
          (_, part) => `x-${each}-${index}-${part}`,
        );
        return buildPartCall(this, ids.join(" "));
      });
      await crashUnder(this, new Map([[instance, calls]]));
    }
  },
);

Then(
  /^calls with "(.+)" (are refused|may run) at "(.+)"$/,
  function (
    this: CrashStepsWorld,
    parts: string,
    verdict: string,
    names: string,
  ): void {
    for (const { name, watch } of pickInstances(this, names)) {
      const call = buildPartCall(this, parts);
      const refused = watch.findVerdict(call) !== undefined;
      assert.equal(refused, verdict === "are refused", name);
    }
  },
);

Then(
  /^(that|another) request (?:on its route )?(is refused|may run) at "(.+)"$/,
  function (
    this: CrashStepsWorld,
    which: string,
    verdict: string,
    names: string,
  ): void {
    const body = Buffer.from(which === "that" ? "same" : "other");
    for (const { watch } of pickInstances(this, names)) {
      const call = buildPartCall(this, "", {
        change: { work: undefined, body },
      });
      const refused = watch.findVerdict(call) !== undefined;
      assert.equal(refused, verdict === "is refused");
    }
  },
);

Then(
  "the log of {string} leads from the refusal to the {int} crashes and their calls",
  function (this: CrashStepsWorld, name: string, count: number): void {
    const [instance] = pickInstances(this, name);
    const begun = instance?.events.find(({ number }) =>
      number === crashEvents.verdictBegun.number
    );
    assert.equal(begun?.fields.trait, "part:bad");
    assert.equal(begun.fields.crashes, count);
    assert.ok(Number(begun.fields.firstCrashAgeMs) > 0);
    const processes = String(begun.fields.processes).split(" ");
    assert.equal(processes.length, count);
    const crashes = this.instances.flatMap(({ events }) => events)
      .filter(({ number }) => number === crashEvents.endpointCrashed.number);
    for (const process of processes) {
      const named = crashes.filter(({ fields }) =>
        `${fields.endpoint}/${fields.startedAtMs}` === process
      );
      assert.ok(
        named.some(({ fields }) =>
          /call-/.test(String(fields.calls)) && /bad/.test(String(fields.parts))
        ),
      );
    }
  },
);

Then(
  "each instance holds at most {int} crashes with {int} traits each",
  function (this: CrashStepsWorld, crashes: number, traits: number): void {
    for (const { watch } of this.instances) {
      const held = watch.getSnapshot().crashes;
      assert.ok(held.length <= crashes);
      for (const each of held) assert.ok(each.traits.length <= traits);
    }
  },
);

Then("no digest reports more than {int} traits", function (
  this: CrashStepsWorld,
  most: number,
): void {
  for (const report of this.instances.flatMap(({ reports }) => reports)) {
    const traits = report.crashes.flatMap((crash) => crash.traits).length;
    assert.ok(traits + report.successes.length <= most, `${traits}`);
  }
});
