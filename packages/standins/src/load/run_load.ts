/** Runs an open-loop workload against entry instances. */
import { waitFor } from "@trefoildoor/core";
import { createRandom } from "../shared/index.ts";
import { createBalancer } from "./balancer.ts";
import { createCaller } from "./caller.ts";
import { createLoadCollector, type LoadReportSummary } from "./load_report.ts";
import {
  generateWorkload,
  type PlannedRequest,
  RequestKind,
  type WorkloadOptions,
} from "./workload.ts";

/** What a run is sent to, and by whom. */
export interface LoadTarget {
  /** Addresses of the entry instances, read again for each poll. */
  readonly listEntries: () => readonly string[];
  readonly model: string;
  readonly service: string;
  /** API keys of the callers. */
  readonly apiKeys: readonly string[];
}

/** Settings of a run. */
export interface LoadOptions extends Omit<WorkloadOptions, "callers"> {
  readonly target: LoadTarget;
  /** Ends the run early: what was sent is waited for, nothing more is sent. */
  readonly signal?: AbortSignal;
  /** Called after each answer with the number of answers so far. */
  readonly onAnswer?: (count: number) => void;
}

const readyPollMs = 20;
const readyTimeoutMs = 30_000;

/** Sends the whole workload and waits for every answer. */
export async function runLoad(
  options: LoadOptions,
): Promise<LoadReportSummary> {
  const { target } = options;
  const stop = new AbortController();
  const balancer = createBalancer({
    listEntries: target.listEntries,
    random: createRandom(options.seed + 1),
  });
  void balancer.keep(stop.signal);
  const giveUpMs = performance.now() + readyTimeoutMs;
  while (balancer.rankEntries().length === 0) {
    if (performance.now() > giveUpMs) {
      throw new Error("no entry instance is ready");
    }
    await waitFor(readyPollMs);
  }
  const caller = createCaller(balancer);
  const collector = createLoadCollector();
  const startMs = performance.now();
  let answered = 0;

  const send = async (planned: PlannedRequest): Promise<void> => {
    const apiKey = target.apiKeys[planned.caller] ?? "";
    if (planned.kind === RequestKind.Booking) {
      const key = `booking-${options.seed}-${planned.index}`;
      const item = `tent-${planned.index}`;
      const { service } = target;
      const result = await caller.book({ apiKey, service, key, item });
      collector.addBooking(key, result);
    } else {
      const { prompt, maxTokens } = planned;
      const { model } = target;
      collector.addCompletion(
        await caller.complete({ apiKey, model, prompt, maxTokens }),
      );
    }
    options.onAnswer?.(++answered);
  };
  const calls: Promise<void>[] = [];
  const workload = { ...options, callers: target.apiKeys.length };
  for (const planned of generateWorkload(workload)) {
    const waitMs = startMs + planned.atMs - performance.now();
    if (waitMs > 0) await waitFor(waitMs, options.signal);
    if (options.signal?.aborted) break;
    calls.push(send(planned));
  }
  await Promise.all(calls);
  stop.abort();
  await caller.close();
  return collector.summarize();
}
