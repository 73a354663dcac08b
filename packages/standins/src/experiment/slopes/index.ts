/** Slopes that docs/CAPACITY.md is worked out from. */
import { isDeepStrictEqual } from "node:util";
import type { Experiment, ExperimentReport } from "../experiment.ts";
import { measureAppends } from "./append_slopes.ts";
import { measureBundles } from "./caller_slopes.ts";
import { measureChanges } from "./change_slopes.ts";
import { measureEndpoints } from "./endpoint_slopes.ts";
import { measureList } from "./list_slopes.ts";
import { observeSockets } from "./measure.ts";
import { measurePeers } from "./peer_slopes.ts";
import { measureRequests } from "./request_slopes.ts";
import { fitSlope, type Slope, type SlopeSeries } from "./slope.ts";

export { fitSlope, Quantity, type Slope, type SlopeSeries } from "./slope.ts";

/** Names of all slopes, in the order of the report. */
export const slopeNames: readonly string[] = [
  "poll",
  "poll-wire",
  "list",
  "list-wire",
  "exchange",
  "exchange-wire",
  "exchange-wire/pool",
  "bundle-wire/caller",
  "bundle-heap/caller",
  "bundle/caller",
  "bundle-wire/engine",
  "bundle-heap/engine",
  "bundle/engine",
  "fold",
  "control-heap/engine",
  "change-wire",
  "renewal-wire",
  "checkpoint-wire",
  "control-heap/instance",
  "plan",
  "route",
  "route-pool",
  "table",
  "prefixes",
  "burn-count",
  "burn-wire",
  "append",
  "append-wire",
  "read",
  "read-wire",
  "calls-heap",
  "calls-fold",
];

/** The experiment that measures all slopes. */
export const slopes: Experiment = {
  name: "slopes",
  describe: "What one more endpoint, peer, caller, change, request or append " +
    "costs a node",
  defaultSeeds: 1,
  run: runSlopes,
};

const parts: readonly (() => Promise<readonly SlopeSeries[]>)[] = [
  measureEndpoints,
  measureList,
  measurePeers,
  measureBundles,
  measureChanges,
  measureRequests,
  measureAppends,
];

async function runSlopes(): Promise<ExperimentReport> {
  observeSockets();
  const fitted: Slope[] = [];
  for (const measure of parts) fitted.push(...(await measure()).map(fitSlope));
  expectNames(fitted);
  return {
    title: "Slopes",
    notes: [
      "Processor time is this process's alone, median of five rounds; " +
      "stand-ins run in a process of their own. Wire bytes are those of HTTP " +
      "connections, headers included, both ways.",
    ],
    tables: [{
      title: "Fitted lines",
      columns: [
        "name",
        "of",
        "per",
        "unit",
        "sizes",
        "slope",
        "error",
        "at size 0",
        "R²",
      ],
      rows: fitted.map(formatRow),
    }],
    plots: [],
    data: fitted,
  };
}

function expectNames(fitted: readonly Slope[]): void {
  const names = fitted.map(({ name }) => name);
  if (isDeepStrictEqual(names, slopeNames)) return;
  throw new Error("the measured slopes are not those that are listed");
}

function formatRow(slope: Slope): readonly string[] {
  return [
    slope.name,
    slope.of,
    slope.per,
    slope.quantity,
    slope.points.map(({ size }) => size).join(", "),
    formatNumber(slope.slope),
    formatNumber(slope.slopeError),
    formatNumber(slope.intercept),
    slope.rSquared.toFixed(3),
  ];
}

function formatNumber(value: number): string {
  return value.toLocaleString("en", { maximumSignificantDigits: 3 });
}
