/** Commands that show bundles of the fleet. */
import {
  type Bundle,
  type ControlState,
  diffBundles,
  formatChange,
} from "@trefoildoor/core";
import { findBundle } from "../bundle_sources.ts";
import type { Command } from "../command.ts";
import { ExitCode } from "../exit_codes.ts";
import { readControl, withFleet } from "../fleet.ts";
import { printResult, renderTable } from "../output.ts";
import { describeEntry, type HistoryRow } from "../views/describe_bundles.ts";
import { listRollout, type RolloutRow } from "../views/describe_rollout.ts";

/** Shows the bundle in force. */
export const showStatus: Command = {
  usage: "bundle status",
  description: "Show the bundle in force and each pool's lease and progress",
  run: async (call) => {
    const state = await readControl(call);
    const data = describeStatus(state);
    printResult(call, { data, text: formatStatus(data) });
    return ExitCode.Done;
  },
};

/** Lists published bundles. */
export const showHistory: Command = {
  usage: "bundle history",
  description: "List published bundles, who signed them off, and the result",
  run: async (call) => {
    const state = await readControl(call);
    const data = state.history.map(describeEntry);
    const text = renderTable({
      columns: ["version", "parent", "time (UTC)", "author", "result", "note"],
      rows: data.map((row) => [
        row.version,
        row.parent,
        row.time,
        row.author,
        row.result,
        row.note,
      ]),
      empty: "no bundle was published",
    });
    printResult(call, { data, text });
    return ExitCode.Done;
  },
};

/** Lists what differs between two bundles. */
export const showDiff: Command = {
  usage: "bundle diff <first> [second]",
  description: "List changes from one version or file to another; " +
    "with one argument, from the version in force to it",
  example: "bundle diff bundle.yaml",
  run: (call) =>
    withFleet(call, async (fleet) => {
      const state = (await fleet.followControl()).getState();
      const [first = "", second] = call.args;
      const given = await findBundle(fleet, state, { name: first });
      const changes = second === undefined
        ? diffBundles(state.bundle?.signed.bundle ?? createEmpty(given), given)
        : diffBundles(given, await findBundle(fleet, state, { name: second }));
      const lines = changes.map(formatChange);
      const text = lines.join("\n") || "no changes";
      printResult(call, { data: changes, text });
      return ExitCode.Done;
    }),
};

/** What `bundle status` shows. */
interface StatusReport {
  readonly inForce?: HistoryRow;
  readonly pools: readonly {
    readonly pool: string;
    readonly holder?: string;
    readonly epoch?: number;
    readonly progress: readonly RolloutRow[];
  }[];
}

function describeStatus(state: ControlState): StatusReport {
  const bundle = state.bundle?.signed.bundle;
  const entry = state.history.findLast((candidate) =>
    candidate.position === state.bundle?.position
  );
  const rows = listRollout(state);
  const pools = (bundle?.pools ?? []).map(({ name }) => {
    const lease = state.leases[name];
    return {
      pool: name,
      ...(lease && !lease.released &&
        { holder: lease.holder, epoch: lease.epoch }),
      progress: rows.filter(({ pool }) => pool === name),
    };
  });
  return { ...(entry && { inForce: describeEntry(entry) }), pools };
}

function formatStatus(status: StatusReport): string {
  const { inForce } = status;
  if (!inForce) return "no bundle is in force";
  const head = `version ${inForce.version} by ${inForce.author}, in force ` +
    `since ${inForce.time} UTC${inForce.note ? `: ${inForce.note}` : ""}`;
  const table = renderTable({
    columns: ["pool", "lease holder", "engines", "current", "halted"],
    rows: status.pools.map(({ pool, holder, progress }) => [
      pool,
      holder,
      progress.reduce((sum, row) => sum + row.engines, 0),
      progress.reduce((sum, row) => sum + row.progress.done, 0),
      progress[0]?.halted,
    ]),
    empty: "the bundle has no pools",
  });
  return `${head}\n\n${table}`;
}

function createEmpty(bundle: Bundle): Bundle {
  return {
    ...bundle,
    "failure_domains": [],
    pools: [],
    services: [],
    callers: [],
    objectives: [],
  };
}
