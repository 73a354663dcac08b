/** Task that records the end of instances that the platform no longer lists. */
import { type LogEvent, waitFor } from "../../shared/index.ts";
import {
  type ControlState,
  type FollowedStream,
  type InstanceName,
  RecordKind,
} from "../../types/index.ts";
import { orderEvents } from "./events.ts";

const checkPauseMs = 1_000;
/** Time for which an instance must be missing from the list, in ms. */
export const missingLimitMs = 15_000;

/** What the task needs. */
export interface StopGoneInstancesOptions {
  readonly instance: InstanceName;
  readonly stream: FollowedStream<ControlState>;
  /** Instances on the platform's list now; undefined while it cannot be read. */
  readonly listInstances: () => readonly InstanceName[] | undefined;
  /** Whether this instance is the one that records, for instance by a lease. */
  readonly isResponsible: () => boolean;
  readonly logEvent?: LogEvent;
  readonly signal: AbortSignal;
}

/**
 * Records that instances have stopped which the list has not shown for
 * `missingLimitMs`. The platform lists a process for as long as it can run.
 */
export async function stopGoneInstances(
  options: StopGoneInstancesOptions,
): Promise<void> {
  const missingSince = new Map<InstanceName, number>();
  while (!options.signal.aborted) {
    const gone = observeMissing(options, missingSince);
    if (options.isResponsible()) {
      for (const instance of gone) await recordStop(instance, options);
    }
    await waitFor(checkPauseMs, options.signal);
  }
}

function observeMissing(
  options: StopGoneInstancesOptions,
  missingSince: Map<InstanceName, number>,
): readonly InstanceName[] {
  const listed = options.listInstances();
  const nowMs = performance.now();
  const registered = Object.keys(options.stream.getState().instances);
  const missing = registered.filter((instance) =>
    listed && !listed.includes(instance) && instance !== options.instance
  );
  for (const instance of missingSince.keys()) {
    if (!missing.includes(instance)) missingSince.delete(instance);
  }
  for (const instance of missing) {
    if (!missingSince.has(instance)) missingSince.set(instance, nowMs);
  }
  return missing.filter((instance) =>
    nowMs - (missingSince.get(instance) ?? nowMs) >= missingLimitMs
  );
}

async function recordStop(
  instance: InstanceName,
  options: StopGoneInstancesOptions,
): Promise<void> {
  try {
    await options.stream.append([{
      kind: RecordKind.InstanceStopped,
      instance,
    }]);
    options.logEvent?.(orderEvents.instanceGone, { instance });
  } catch {
    // The next check tries again.
  }
}
