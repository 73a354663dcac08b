/** Background task that records instances as stopped that the platform no longer lists. */
import { type LogEvent, waitFor } from "../../shared/index.ts";
import {
  type ControlState,
  type FollowedStream,
  type InstanceName,
  RecordKind,
} from "../../types/index.ts";
import { orderEvents } from "./events.ts";

const checkIntervalMs = 1_000;
/** Time for which the list must lack an instance before it counts as stopped, in ms. */
export const missingTimeoutMs = 15_000;

/** Dependencies of `recordStoppedInstances`. */
export interface RecordStoppedInstancesOptions {
  readonly instance: InstanceName;
  readonly stream: FollowedStream<ControlState>;
  /** Instances on the platform's current list; undefined while it cannot be read. */
  readonly listInstances: () => readonly InstanceName[] | undefined;
  /** Whether this instance writes the records, for example as a lease holder. */
  readonly isResponsible: () => boolean;
  readonly logEvent?: LogEvent;
  readonly signal: AbortSignal;
}

/**
 * Records an instance as stopped once the list has lacked it for
 * `missingTimeoutMs`. This is safe because the platform lists a process for as
 * long as it can run. Runs until the signal aborts.
 */
export async function recordStoppedInstances(
  options: RecordStoppedInstancesOptions,
): Promise<void> {
  const missingSince = new Map<InstanceName, number>();
  while (!options.signal.aborted) {
    const gone = trackMissing(options, missingSince);
    if (options.isResponsible()) {
      for (const instance of gone) await recordStop(instance, options);
    }
    await waitFor(checkIntervalMs, options.signal);
  }
}

/**
 * Updates the time since which each instance has been missing; returns those
 * missing for `missingTimeoutMs` or longer.
 */
function trackMissing(
  options: RecordStoppedInstancesOptions,
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
    nowMs - (missingSince.get(instance) ?? nowMs) >= missingTimeoutMs
  );
}

async function recordStop(
  instance: InstanceName,
  options: RecordStoppedInstancesOptions,
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
