/** Random histories of crashes, completed calls and kills, for `crashes.feature`. */
import { strict as assert } from "node:assert";
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import {
  buildPartCall,
  type CrashStepsWorld,
  crashUnder,
  exchangeNews,
  prepareInstances,
} from "./crash_world.test.ts";

const propertySeed = 22;

type Step =
  | { readonly kind: "crash"; readonly holder: number; readonly sound: number }
  | { readonly kind: "complete"; readonly at: number; readonly sound: number }
  | { readonly kind: "kill"; readonly sound: number };

const soundParts = ["root s1", "root s2", "root s3", "root s4", "root s5"];

Then(
  "{int} random histories refuse the crashing part after {int} crashes at the latest and no part with calls that complete",
  { timeout: 60_000 },
  async function (
    this: CrashStepsWorld,
    runs: number,
    most: number,
  ): Promise<void> {
    const index = fc.nat({ max: 2 });
    const sound = fc.nat({ max: soundParts.length - 1 });
    const step: fc.Arbitrary<Step> = fc.oneof(
      fc.record({ kind: fc.constant("crash" as const), holder: index, sound }),
      fc.record({ kind: fc.constant("complete" as const), at: index, sound }),
      fc.record({ kind: fc.constant("kill" as const), sound }),
    );
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { maxLength: 30 }),
        (steps) => checkHistory(this, steps, { most }),
      ),
      { seed: propertySeed, numRuns: runs },
    );
  },
);

/** Plays crashes under the bad part and kills beside sound calls; each sound part completes first and after each crash. */
async function checkHistory(
  world: CrashStepsWorld,
  steps: readonly Step[],
  { most }: { readonly most: number },
): Promise<void> {
  prepareInstances(world, "a, b, c");
  let crashes = 0;
  const complete = (at: number, parts: string): void => {
    const instance = world.instances[at];
    instance?.watch.recordSuccess(buildPartCall(world, parts));
  };
  soundParts.forEach((parts, each) => complete(each % 3, parts));
  for (const step of steps) {
    const parts = soundParts[step.sound] ?? "";
    if (step.kind === "complete") {
      complete(step.at, parts);
      await exchangeNews(world);
      continue;
    }
    const lost = new Map(
      world.instances.map((instance) => [
        instance,
        [buildPartCall(world, parts)],
      ]),
    );
    if (step.kind === "crash") {
      const holder = world.instances[step.holder];
      assert.ok(holder);
      const call = buildPartCall(world, "root bad");
      if (holder.watch.findVerdict(call)) continue;
      lost.get(holder)?.push(call);
      crashes += 1;
      assert.ok(crashes <= most, "crashes under the bad part");
    }
    await crashUnder(world, lost);
    complete(step.sound % 3, parts);
    await exchangeNews(world);
    for (const { watch } of world.instances) {
      const refused = soundParts.filter((each) =>
        watch.findVerdict(buildPartCall(world, each))
      );
      assert.deepEqual(refused, []);
    }
  }
}
