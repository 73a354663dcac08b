/** The experiments by name: one import and one line for each. */
import { mixShift } from "./bench_experiments/mix_shift.ts";
import { groupTrust } from "./bench_experiments/group_trust.ts";
import { hotPrefix } from "./bench_experiments/hot_prefix.ts";
import { overload } from "./bench_experiments/overload.ts";
import { staleReports } from "./bench_experiments/stale_reports.ts";
import {
  bothWays,
  bundleInForce,
  engineLoss,
  poison,
  retryStorm,
} from "./real_experiments/index.ts";
import { callAppends, faults } from "./faults/index.ts";
import type { Experiment } from "./experiment.ts";
import { slopes } from "./slopes/index.ts";

/** All experiments. */
export const experiments: readonly Experiment[] = [
  mixShift,
  overload,
  staleReports,
  hotPrefix,
  slopes,
  groupTrust,
  retryStorm,
  poison,
  engineLoss,
  bothWays,
  bundleInForce,
  faults,
  callAppends,
];
