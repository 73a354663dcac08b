/**
 * Collects the counters of all instances at the one that makes the calls to the
 * operator. What an instance has counted stays known after it has ended.
 */
import type {
  InstanceName,
  ServiceName,
  WorkspaceName,
} from "../../types/index.ts";
import type { ActivityReport, OfferedWork } from "./activity_types.ts";

/** An instance whose counters are collected. */
export interface ActivitySource {
  readonly name: InstanceName;
  readonly fetch: () => Promise<ActivityReport>;
}

/** Counters of the fleet, as this instance has collected them. */
export interface ActivityCollector {
  /** Asks all sources; those that do not answer keep what they had told before. Does not reject. */
  readonly collect: (sources: readonly ActivitySource[]) => Promise<void>;
  /** Calls of each workspace that began in the window, over all instances. */
  readonly getCounts: (
    window: number,
  ) => Readonly<Record<WorkspaceName, number>>;
  /** Whether each of the sources has answered a question that was sent at `sinceMs` of the monotonic clock or later. */
  readonly hasHeardAll: (
    sources: readonly ActivitySource[],
    sinceMs: number,
  ) => boolean;
  /** Work that was offered to a service since the collector began, over all instances; a counter. */
  readonly getOffered: (service: ServiceName) => OfferedWork;
  /** Forgets windows before this one. */
  readonly dropBefore: (window: number) => void;
}

interface KnownSource {
  /** When the last answered question was sent, in ms of the monotonic clock. */
  askedMs: number;
  /** Newest counters of each run of the instance's process. */
  readonly offered: Map<string, Readonly<Record<ServiceName, OfferedWork>>>;
}

/** Time between two answers of a source up to which all work in between counts, in ms: what comes at once after a longer silence was offered over a longer time. */
const longestGapMs = 1_500;
/** Windows of which counts are kept. */
const maxWindows = 100;
const noWork: OfferedWork = {
  calls: 0,
  refused: 0,
  promptTokens: 0,
  missingTokens: 0,
  missingSquares: 0,
  outputTokens: 0,
};

/** Creates a collector that knows nothing. */
export function createActivityCollector(): ActivityCollector {
  const sources = new Map<InstanceName, KnownSource>();
  /** Counts by window and by run of a process. */
  const windows = new Map<
    number,
    Map<string, Readonly<Record<WorkspaceName, number>>>
  >();
  const totals = new Map<ServiceName, OfferedWork>();
  let dropped = -Infinity;

  function applyWindows({ start, windows: told }: ActivityReport): void {
    for (const { window, counts } of told) {
      if (window < dropped) continue;
      const byStart = windows.get(window) ?? new Map();
      windows.set(window, byStart.set(start, counts));
    }
    // While nothing can be fixed, instances keep no more than some windows either.
    while (windows.size > maxWindows) {
      windows.delete(Math.min(...windows.keys()));
    }
  }

  /** Adds what has come since the last answer; the first one of a run that began before counts from then on only. */
  function applyOffered(
    source: KnownSource,
    report: ActivityReport,
    { gapMs }: { readonly gapMs: number },
  ): void {
    const former = source.offered.get(report.start);
    source.offered.clear();
    source.offered.set(report.start, report.offered);
    if (!former) return;
    const share = Math.min(longestGapMs / gapMs, 1);
    for (const [service, work] of Object.entries(report.offered)) {
      const change = diffWork(work, former[service]);
      const total = totals.get(service) ?? noWork;
      totals.set(service, addWork(total, { change, share }));
    }
  }

  return {
    async collect(asked): Promise<void> {
      await Promise.allSettled(asked.map(async ({ name, fetch }) => {
        const askedMs = performance.now();
        const report = await fetch();
        const known = sources.get(name) ?? { askedMs, offered: new Map() };
        sources.set(name, known);
        const gapMs = askedMs - known.askedMs;
        known.askedMs = Math.max(known.askedMs, askedMs);
        applyWindows(report);
        applyOffered(known, report, { gapMs });
      }));
    },
    getCounts(window): Readonly<Record<WorkspaceName, number>> {
      // Names are the operator's: no object with inherited properties.
      const counts = new Map<WorkspaceName, number>();
      for (const told of windows.get(window)?.values() ?? []) {
        for (const [workspace, count] of Object.entries(told)) {
          counts.set(workspace, (counts.get(workspace) ?? 0) + count);
        }
      }
      return Object.fromEntries(counts);
    },
    hasHeardAll: (asked, sinceMs) =>
      asked.every(({ name }) =>
        (sources.get(name)?.askedMs ?? -Infinity) >= sinceMs
      ),
    getOffered: (service) => totals.get(service) ?? noWork,
    dropBefore(window): void {
      dropped = Math.max(dropped, window);
      for (const each of windows.keys()) {
        if (each < dropped) windows.delete(each);
      }
    },
  };
}

function addWork(
  total: OfferedWork,
  { change, share }: { readonly change: OfferedWork; readonly share: number },
): OfferedWork {
  return buildWork((counter) => total[counter] + change[counter] * share);
}

/** What was offered between two reports; those of former versions lack some counters. */
function diffWork(
  now: Partial<OfferedWork>,
  former: Partial<OfferedWork> = {},
): OfferedWork {
  const change = buildWork((counter) =>
    (now[counter] ?? 0) - (former[counter] ?? 0)
  );
  if (now.missingSquares !== undefined) return change;
  // At least as much as of prompts of one size.
  const missingSquares = change.missingTokens ** 2 / Math.max(change.calls, 1);
  return { ...change, missingSquares };
}

function buildWork(
  count: (counter: keyof OfferedWork) => number,
): OfferedWork {
  return {
    calls: count("calls"),
    refused: count("refused"),
    promptTokens: count("promptTokens"),
    missingTokens: count("missingTokens"),
    missingSquares: count("missingSquares"),
    outputTokens: count("outputTokens"),
  };
}
