/** Counts refused calls by workspace and reason, of the workspaces with the most. */
import { type ForwardEnd, Outcome } from "@trefoildoor/core";
import { Gauge, type Registry } from "prom-client";

/** Counts of refused calls. */
export interface RefusalCounts {
  /** Counts a call if it did not run and belongs to a workspace. */
  readonly record: (end: ForwardEnd) => void;
}

/** A count under its labels; the workspace is empty for those that are not counted by name. */
interface Count {
  readonly workspace: string;
  readonly reason: string;
  value: number;
}

/** Number of counts that are kept, and of those that are shown. */
const maxKept = 256;
const maxShown = 16;

/** Creates counts and shows them in the registries. */
export function createRefusalCounts(
  registers: Registry[],
): RefusalCounts {
  const counts = new Map<string, Count>();
  const unnamed = new Map<string, number>();

  function addUnnamed(reason: string, value: number): void {
    unnamed.set(reason, (unnamed.get(reason) ?? 0) + value);
  }

  /** Adds the lower half of the counts to those without a name. */
  function dropLow(): void {
    const low = [...counts].toSorted(([, one], [, other]) =>
      one.value - other.value
    ).slice(0, maxKept / 2);
    for (const [key, { reason, value }] of low) {
      counts.delete(key);
      addUnnamed(reason, value);
    }
  }

  /** The highest counts, and the sum of the others by reason. */
  function listShown(): readonly Count[] {
    const sorted = [...counts.values()].toSorted((one, other) =>
      other.value - one.value
    );
    const sums = new Map(unnamed);
    for (const { reason, value } of sorted.slice(maxShown)) {
      sums.set(reason, (sums.get(reason) ?? 0) + value);
    }
    const others = [...sums].map(([reason, value]) => ({
      workspace: "",
      reason,
      value,
    }));
    return [...sorted.slice(0, maxShown), ...others];
  }

  new Gauge({
    name: "trefoildoor_refused_calls",
    help: "Refused calls of the workspaces with the most, since the start",
    labelNames: ["workspace", "reason"],
    registers,
    collect: function setValues(): void {
      this.reset();
      for (const { workspace, reason, value } of listShown()) {
        this.set({ workspace, reason }, value);
      }
    },
  });
  return {
    record({ outcome, workspace, reason = "none" }): void {
      if (workspace === undefined || outcome !== Outcome.NotRun) return;
      const key = `${reason} ${workspace}`;
      const known = counts.get(key);
      if (known) return void (known.value += 1);
      if (counts.size >= maxKept) dropLow();
      counts.set(key, { workspace, reason, value: 1 });
    },
  };
}
