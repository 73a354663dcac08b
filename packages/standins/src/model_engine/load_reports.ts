/** Load reports that lag behind the engine's state. */
import type { LoadReport } from "@trefoildoor/core";

/** A report without what only its sending adds. */
export type LoadFigures = Omit<LoadReport, "sequence" | "ageMs">;

/** Gives out reports of a set age. */
export interface LoadReporter {
  readonly build: () => LoadReport;
  /** Count for reads and reports since the start. */
  readonly advanceSequence: () => number;
  readonly setLag: (lagMs: number) => void;
  readonly stop: () => void;
}

interface Snapshot {
  readonly takenMs: number;
  readonly sequence: number;
  readonly figures: LoadFigures;
}

const snapshotIntervalMs = 50;

/** Starts to take snapshots of the figures. */
export function startLoadReporter(
  measure: () => LoadFigures,
  initialLagMs: number,
): LoadReporter {
  let sequence = 0;
  let lagMs = initialLagMs;
  const take = (): Snapshot => ({
    takenMs: performance.now(),
    sequence: ++sequence,
    figures: measure(),
  });
  const snapshots: Snapshot[] = [take()];
  const timer = setInterval(() => {
    if (lagMs === 0) return;
    snapshots.push(take());
    const edgeMs = performance.now() - lagMs;
    while ((snapshots[1]?.takenMs ?? Infinity) <= edgeMs) snapshots.shift();
  }, snapshotIntervalMs);
  timer.unref();
  return {
    build: () => {
      const snapshot = lagMs === 0 ? take() : snapshots[0] ?? take();
      return {
        ...snapshot.figures,
        sequence: snapshot.sequence,
        ageMs: performance.now() - snapshot.takenMs,
      };
    },
    advanceSequence: () => ++sequence,
    setLag: (ms) => {
      lagMs = ms;
      snapshots.splice(0, snapshots.length, take());
    },
    stop: () => clearInterval(timer),
  };
}
