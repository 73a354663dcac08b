/** Steps of `prompt_speeds.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  createPromptSpeeds,
  type PromptReports,
  type PromptSpeeds,
} from "./index.ts";

/** State of one scenario. */
interface SpeedsWorld {
  speedsClock?: PausedClock;
  instances: PromptSpeeds[];
  /** Time of each engine for a token, in ms. */
  engines: Map<string, number>;
  fixedMs: number;
  random: () => number;
  /** What instances held a slower engine to take before. */
  former: number[];
}

const service = "models";
const seed = 23;
const smallTokens = 500;
const largeTokens = 12_000;
/** Time after which reports have reached the others, in ms. */
const digestMs = 500;

After(function (this: SpeedsWorld): void {
  this.speedsClock?.uninstall();
});

Given(
  /^(\d+) instances and (\d+) engines that take ([\d.]+), ([\d.]+) and ([\d.]+) times ([\d.]+) ms for a token, and (\d+) ms besides$/,
  function (
    this: SpeedsWorld,
    instances: string,
    engines: string,
    first: string,
    second: string,
    third: string,
    perToken: string,
    fixedMs: string,
  ): void {
    this.speedsClock = pauseClock();
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    this.instances = Array.from(
      { length: Number(instances) },
      () => createPromptSpeeds(),
    );
    const factors = [first, second, third];
    this.engines = new Map(
      Array.from({ length: Number(engines) }, (_each, index) => [
        `p${index}`,
        Number(factors[index % factors.length]) * Number(perToken),
      ]),
    );
    this.fixedMs = Number(fixedMs);
  },
);

/** Lets one instance measure a prompt at an engine. */
function computePrompt(
  world: SpeedsWorld,
  engine: string,
  { waitMs }: { readonly waitMs: number },
): void {
  const { instances, engines, fixedMs, random } = world;
  const instance = instances[Math.floor(random() * instances.length)];
  const isSmall = random() < 0.3;
  const tokens = isSmall ? smallTokens : 2_000 + random() * largeTokens;
  instance?.record(engine, {
    service,
    tokens,
    queueMs: 0,
    tookMs: tokens * (engines.get(engine) ?? 0) + fixedMs + waitMs,
  });
}

function exchangeReports({ instances }: SpeedsWorld): void {
  for (const instance of instances) {
    const reports = instance.collectReports();
    if (!reports) continue;
    for (const peer of instances) {
      if (peer !== instance) peer.applyReports(reports);
    }
  }
}

When(
  /^(\d+) prompts a second are computed for (\d+) s, of which ([\d.]+) wait 50 to 400 ms$/,
  function (
    this: SpeedsWorld,
    perSecond: string,
    seconds: string,
    share: string,
  ): void {
    const names = [...this.engines.keys()];
    for (let ms = 0; ms < Number(seconds) * 1_000; ms += digestMs) {
      const prompts = Number(perSecond) * names.length * digestMs / 1_000 / 4;
      for (let each = 0; each < prompts; each++) {
        const engine = names[Math.floor(this.random() * names.length)] ?? "";
        const waits = this.random() < Number(share);
        const waitMs = waits ? 50 + this.random() * 350 : 0;
        computePrompt(this, engine, { waitMs });
      }
      exchangeReports(this);
      this.speedsClock?.tick(digestMs);
    }
  },
);

function getMsPerToken(speeds: PromptSpeeds, engine?: string): number {
  return 1 / speeds.getTokensPerMs(service, engine);
}

Then(
  /^each instance holds each engine's speed within ([\d.]+) of it$/,
  function (this: SpeedsWorld, share: string): void {
    for (const [engine, msPerToken] of this.engines) {
      for (const instance of this.instances) {
        const ratio = getMsPerToken(instance, engine) / msPerToken;
        assert.ok(Math.abs(ratio - 1) <= Number(share), `${engine} ${ratio}`);
      }
    }
  },
);

Then(
  "at most {int} in 12 engines are held to differ from the others at any instance",
  function (this: SpeedsWorld, most: number): void {
    for (const instance of this.instances) {
      const usual = getMsPerToken(instance);
      const others = [...this.engines.keys()].filter((engine) =>
        Math.abs(getMsPerToken(instance, engine) / usual - 1) > 1e-9
      );
      assert.ok(others.length <= most, others.join(" "));
    }
  },
);

When(
  "engine {string} turns {int} times slower and computes {int} prompts",
  function (
    this: SpeedsWorld,
    engine: string,
    factor: number,
    prompts: number,
  ): void {
    this.former = this.instances.map((each) => getMsPerToken(each, engine));
    this.engines.set(engine, (this.engines.get(engine) ?? 0) * factor);
    let computed = 0;
    while (computed < prompts) {
      const [instance] = this.instances;
      instance?.record(engine, {
        service,
        tokens: largeTokens,
        queueMs: 0,
        tookMs: largeTokens * (this.engines.get(engine) ?? 0) + this.fixedMs,
      });
      exchangeReports(this);
      computed += 1;
    }
  },
);

When(
  "engine {string} recovers and {int} ms pass",
  function (this: SpeedsWorld, _engine: string, ms: number): void {
    this.speedsClock?.tick(ms);
  },
);

Then(
  /^each instance holds "(.*)" to be at (least|most) ([\d.]+) times slower than before$/,
  function (
    this: SpeedsWorld,
    engine: string,
    bound: string,
    factor: string,
  ): void {
    for (const [index, instance] of this.instances.entries()) {
      const ratio = getMsPerToken(instance, engine) / (this.former[index] ?? 1);
      const holds = bound === "least"
        ? ratio >= Number(factor)
        : ratio <= Number(factor);
      assert.ok(holds, `${ratio}`);
    }
  },
);

When("odd times are reported", function (this: SpeedsWorld): void {
  const odd: unknown = {
    p1: -5,
    p2: [Number.NaN, 9],
    p3: "x",
    p4: [5_000, -1],
    p5: [],
    p6: [5_000, 1e300],
    p7: [1e300, 1],
    p9: [Infinity, 1],
  };
  for (const instance of this.instances) {
    instance.applyReports(odd as PromptReports);
  }
});

When("the process of engine {string} has ended", function (
  this: SpeedsWorld,
  engine: string,
): void {
  for (const instance of this.instances) instance.forget(engine);
});

Then("each instance holds {string} to be as quick as the median", function (
  this: SpeedsWorld,
  engine: string,
): void {
  for (const instance of this.instances) {
    assert.equal(getMsPerToken(instance, engine), getMsPerToken(instance));
  }
});
