/**
 * Background task of every instance: confirms the drain of an engine once the
 * instance has no request in flight there.
 */
import {
  type ControlState,
  type EndpointName,
  type FollowedStream,
  type InstanceName,
  RecordKind,
} from "../../types/index.ts";
import { waitFor } from "../../shared/index.ts";
import { waitForChange } from "./wait_state.ts";

const checkIntervalMs = 200;
const appendRetryDelayMs = 500;

/** Dependencies of `confirmDrains`. */
export interface ConfirmDrainsOptions {
  readonly instance: InstanceName;
  readonly stream: FollowedStream<ControlState>;
  /**
   * Counts this instance's requests at an engine; a request counts from the
   * moment it chooses the engine. No request may choose an engine that is
   * draining in the state of `stream`.
   */
  readonly countInFlight: (engine: EndpointName) => number;
  readonly signal: AbortSignal;
}

/** Runs until the signal aborts; a failed append is retried. */
export async function confirmDrains(
  options: ConfirmDrainsOptions,
): Promise<void> {
  const { stream, signal } = options;
  while (!signal.aborted) {
    const records = listDueConfirmations(options);
    const isDone = records.length === 0 ||
      await stream.append(records).then(() => true, () => false);
    if (!isDone) await waitFor(appendRetryDelayMs, signal);
    else await waitForChange(stream, checkIntervalMs, { signal });
  }
}

/** Whether an engine has an open drain, so that routing must not choose it. */
export function isEngineDrained(
  state: ControlState,
  engine: EndpointName,
): boolean {
  return Object.hasOwn(state.drains, engine);
}

function listDueConfirmations(options: ConfirmDrainsOptions): {
  readonly kind: RecordKind.DrainConfirmed;
  readonly engine: EndpointName;
  readonly drain: number;
  readonly instance: InstanceName;
}[] {
  const { instance, stream } = options;
  const { drains, instances } = stream.getState();
  if (!Object.hasOwn(instances, instance)) return [];
  return Object.values(drains).filter((drain) =>
    !drain.confirmed.includes(instance) &&
    options.countInFlight(drain.engine) === 0
  ).map(({ engine, drain }) => ({
    kind: RecordKind.DrainConfirmed,
    engine,
    drain,
    instance,
  }));
}
