/** Counts one instance's calls, for usage reports and scaling. */
import type { ServiceName, WorkspaceName } from "../../types/index.ts";
import type {
  ActivityRecorder,
  ActivityReport,
  OfferedWork,
} from "./activity_types.ts";

/** Length of the windows and how many are kept. */
export interface ActivityRecorderOptions {
  /** Identifies this run of the process. */
  readonly start: string;
  /** Length of a window, in ms; calls are not counted by window where absent. */
  readonly windowMs?: number;
  /** Time after its end for which a window is kept, in ms. */
  readonly retentionMs: number;
  /** Time of day, in ms since the start of 1970. */
  readonly getDateMs: () => number;
}

type MutableWork = { -readonly [Key in keyof OfferedWork]: number };

/** Creates a recorder that has counted nothing. */
export function createActivityRecorder(
  { start, windowMs, retentionMs, getDateMs }: ActivityRecorderOptions,
): ActivityRecorder {
  const windows = new Map<number, Map<WorkspaceName, number>>();
  const offered = new Map<ServiceName, MutableWork>();

  function getWork(service: ServiceName): MutableWork {
    const known = offered.get(service);
    if (known) return known;
    const created = {
      calls: 0,
      refused: 0,
      promptTokens: 0,
      missingTokens: 0,
      missingSquares: 0,
      outputTokens: 0,
    };
    offered.set(service, created);
    return created;
  }

  function openWindow(lengthMs: number): Map<WorkspaceName, number> {
    const dateMs = getDateMs();
    const window = Math.floor(dateMs / lengthMs);
    const known = windows.get(window);
    if (known) return known;
    const oldest = Math.floor((dateMs - retentionMs) / lengthMs) - 1;
    for (const each of windows.keys()) {
      if (each < oldest) windows.delete(each);
    }
    const created = new Map<WorkspaceName, number>();
    windows.set(window, created);
    return created;
  }

  return {
    recordOffered({ service, promptTokens, outputTokens }): void {
      const work = getWork(service);
      work.calls += 1;
      work.promptTokens += promptTokens;
      work.outputTokens += outputTokens;
    },
    recordMissing(service, tokens): void {
      const work = getWork(service);
      work.missingTokens += tokens;
      work.missingSquares += tokens ** 2;
    },
    recordRefused(service): void {
      getWork(service).refused += 1;
    },
    recordBegun(workspace): void {
      if (workspace === undefined || windowMs === undefined) return;
      const counts = openWindow(windowMs);
      counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    },
    getReport: (): ActivityReport => ({
      start,
      windows: [...windows]
        .toSorted(([left], [right]) => left - right)
        .map(([window, counts]) => ({
          window,
          counts: Object.fromEntries(counts),
        })),
      offered: Object.fromEntries(
        [...offered].map(([service, work]) => [
          service,
          {
            ...work,
            missingTokens: Math.round(work.missingTokens),
            missingSquares: Math.round(work.missingSquares),
          },
        ]),
      ),
    }),
  };
}
