/** Steps of `limits.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock } from "@trefoildoor/testing";
import { createEndpointLimits, LimitStep } from "./index.ts";
import {
  buildEndpoint,
  type LimitStepsWorld,
  prepareInstances,
  restartInstance,
  sendCalls,
  setCallers,
} from "./limit_world.test.ts";

const msPerSecond = 1_000;
const stepLimitMs = 60_000;
/** The users' rule: from `boundAfterMs` after a limit was named, a window gets at most `allowedFactor` times the limit and `allowedMore` requests more. */
const boundAfterMs = 3_000;
const windowMs = 4_000;
const allowedFactor = 1.5;
const allowedMore = 5;

After(function (this: LimitStepsWorld): void {
  this.limitClock?.uninstall();
});

Given(
  "{int} instances whose news takes {int} ms",
  function (this: LimitStepsWorld, count: number, delayMs: number): void {
    this.limitClock = pauseClock();
    prepareInstances(this, { count, delayMs });
  },
);

Given(
  /^(?:an|the) endpoint (?:that )?names a limit of ([\d.]+) a second$/,
  function (this: LimitStepsWorld, perSecond: string): void {
    this.named.push({
      perSecond: Number(perSecond),
      fromMs: performance.now(),
    });
  },
);

When("the endpoint names no limit", function (this: LimitStepsWorld): void {
  this.named.push({ perSecond: undefined, fromMs: performance.now() });
});

When(
  "the endpoint starts again and names none",
  function (this: LimitStepsWorld): void {
    const former = this.endpoint;
    this.endpoint = buildEndpoint(former.name, (former.startedAtMs ?? 0) + 1);
    this.named.push({ perSecond: undefined, fromMs: performance.now() });
    for (const { limits } of this.instances) limits.forget(former);
  },
);

When(
  /^(even|uneven|single) callers make (\d+) calls a second for (\d+) s$/,
  { timeout: stepLimitMs },
  async function (
    this: LimitStepsWorld,
    kind: string,
    perSecond: string,
    seconds: string,
  ): Promise<void> {
    setCallers(this, kind);
    await sendCalls(this, {
      perSecond: Number(perSecond),
      seconds: Number(seconds),
    });
  },
);

When(
  "{int} calls come within a second and refused ones come back when told, for {int} s",
  { timeout: stepLimitMs },
  async function (
    this: LimitStepsWorld,
    perSecond: number,
    seconds: number,
  ): Promise<void> {
    setCallers(this, "even");
    const returning = await sendCalls(this, {
      perSecond,
      seconds: 1,
      comeBack: true,
    });
    await sendCalls(this, { perSecond: 0, seconds, comeBack: true, returning });
  },
);

When(
  "no call comes for {int} s",
  { timeout: stepLimitMs },
  async function (this: LimitStepsWorld, seconds: number): Promise<void> {
    await sendCalls(this, { perSecond: 0, seconds });
  },
);

When(
  "the callers move to other instances",
  function (this: LimitStepsWorld): void {
    const first = this.instances.shift();
    if (first) this.instances.push(first);
  },
);

When(
  /^(\d+) instances (restart|end|are cut off)$/,
  function (this: LimitStepsWorld, count: string, what: string): void {
    for (const instance of this.instances.slice(-Number(count))) {
      if (what === "restart") restartInstance(this, instance);
      else if (what === "end") instance.ended = true;
      else instance.cut = true;
    }
  },
);

When(
  "all instances reach each other",
  function (this: LimitStepsWorld): void {
    for (const instance of this.instances) {
      if (!instance.cut) continue;
      instance.cut = false;
      this.troubles.set(instance.name, performance.now());
    }
  },
);

When(
  "answers of {int} endpoints name limits at one instance",
  function (this: LimitStepsWorld, count: number): void {
    for (let each = 0; each < count; each++) {
      this.instances[0]?.limits.recordAnswer(buildEndpoint(`e${each}`, 1), {
        perSecond: 1,
        step: LimitStep.Call,
        succeeded: true,
      });
    }
  },
);

Then(
  "the endpoint gets at most what its limit allows",
  function (this: LimitStepsWorld): void {
    for (const [index, { perSecond, fromMs }] of this.named.entries()) {
      if (perSecond === undefined) continue;
      const untilMs = this.named[index + 1]?.fromMs ?? Infinity;
      const times = this.sends
        .filter(({ atMs, counts }) =>
          counts && atMs >= fromMs + boundAfterMs && atMs < untilMs
        )
        .map(({ atMs }) => atMs);
      const most = countInWindow(times);
      const allowed = allowedFactor * perSecond * windowMs / msPerSecond +
        allowedMore;
      assert.ok(most <= allowed, `${most} in 4 s, ${allowed} allowed`);
    }
  },
);

Then(
  "it gets at least {float} of its limit",
  function (this: LimitStepsWorld, share: number): void {
    const { perSecond = 0, fromMs } = this.named.at(-1) ?? { fromMs: 0 };
    const firstMs = fromMs + boundAfterMs;
    const count = this.sends.filter(({ atMs }) => atMs >= firstMs).length;
    const due = (performance.now() - firstMs) * perSecond / msPerSecond;
    assert.ok(count >= due * share, `${count} requests of ${due}`);
  },
);

Then(
  "the instances that are cut off send at most {float} of the limit",
  function (this: LimitStepsWorld, share: number): void {
    const { perSecond = 0 } = this.named.at(-1) ?? {};
    const sentMs = performance.now() - 20 * msPerSecond;
    const count =
      this.sends.filter(({ atMs, instance }) => instance.cut && atMs >= sentMs)
        .length;
    assert.ok(count <= 20 * perSecond * share, `${count} requests`);
  },
);

Then("all instances know the limit", function (this: LimitStepsWorld): void {
  for (const { name, limits } of this.instances) {
    assert.ok(limits.isLimited(this.endpoint.name), name);
  }
});

Then("no instance knows a limit", function (this: LimitStepsWorld): void {
  for (const { name, limits } of this.instances) {
    assert.deepEqual(limits.listLimited(), [], name);
  }
});

Then(
  "at least half of the calls that came back are sent",
  function (this: LimitStepsWorld): void {
    const { came, sent } = this.returned;
    assert.ok(came > 0 && sent * 2 >= came, `${sent} of ${came}`);
  },
);

Then(
  "each instance knows at most {int} limits",
  function (this: LimitStepsWorld, most: number): void {
    for (const { limits } of this.instances) {
      assert.ok(limits.listLimited().length <= most);
    }
  },
);

Then(
  "a digest reports at most {int} of them",
  function (this: LimitStepsWorld, most: number): void {
    const reports = this.instances[0]?.limits.collectReports() ?? {};
    const count = Object.keys(reports).length;
    assert.ok(count > 0 && count <= most, String(count));
  },
);

Then(
  "{int} digests report all {int} of them",
  function (this: LimitStepsWorld, digests: number, count: number): void {
    const limits = this.instances[0]?.limits;
    const names = Array.from(
      { length: digests },
      () => Object.keys(limits?.collectReports() ?? {}),
    );
    assert.equal(new Set(names.flat()).size, count);
  },
);

function countInWindow(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((start) =>
      times.filter((ms) => ms >= start && ms < start + windowMs).length
    ),
  );
}

When(
  "an instance that knows of the limit hears {int} others twice, who have sent nothing",
  function (this: LimitStepsWorld, others: number): void {
    const perSecond = this.named.at(-1)?.perSecond;
    this.delayReads = 0;
    const limits = createEndpointLimits({
      getNewsDelayMs: () => {
        this.delayReads += 1;
        return this.delayMs;
      },
      logEvent: () => undefined,
    });
    limits.recordAnswer(this.endpoint, {
      perSecond,
      step: LimitStep.Call,
      succeeded: true,
    });
    const report = {
      startedAtMs: this.endpoint.startedAtMs ?? 0,
      perSecond: perSecond ?? null,
      ageMs: msPerSecond,
      byExport: false,
      demand: 0,
      sends: 0,
    };
    for (let index = 0; index < 2 * others; index++) {
      limits.applyReports({ [this.endpoint.name]: report }, {
        instance: `other-${index % others}`,
        start: "first",
        stopping: false,
        delayMs: 0,
      });
    }
  },
);

Then(
  "it has asked for the delay of the news {int} times at most",
  function (this: LimitStepsWorld, most: number): void {
    assert.ok(this.delayReads <= most, `${this.delayReads} times`);
  },
);
