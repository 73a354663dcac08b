/** Runs policies over seeds. */
import { runBench } from "../bench/run.ts";
import type { FleetShape } from "../bench/fleet_shape.ts";
import type { Load } from "../bench/load.ts";
import type { Policy } from "../policies/index.ts";
import type { PolicyRuns } from "./summary.ts";

/** Runs each policy with each seed's load. */
export async function runPolicies(
  shape: FleetShape,
  policies: readonly Policy[],
  options: {
    readonly seeds: number;
    readonly generate: (seed: number) => Load;
  },
): Promise<readonly PolicyRuns[]> {
  const results: PolicyRuns[] = [];
  for (const each of policies) {
    const policy = await each.prepare?.(shape) ?? each;
    const runs = [];
    for (let seed = 1; seed <= options.seeds; seed++) {
      const load = options.generate(seed);
      runs.push(await runBench({ shape, load, policy, seed }));
    }
    results.push({ policy: policy.name, label: policy.name, runs });
  }
  return results;
}
