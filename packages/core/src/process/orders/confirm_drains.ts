/** Task of every instance: confirms drains once it has nothing in flight. */
import {
  type ControlState,
  type EndpointName,
  type FollowedStream,
  type InstanceName,
  RecordKind,
} from "../../types/index.ts";
import { waitFor } from "../../shared/index.ts";
import { waitForChange } from "./wait_state.ts";

const checkPauseMs = 200;
const failurePauseMs = 500;

/** What the task needs. */
export interface ConfirmDrainsOptions {
  readonly instance: InstanceName;
  readonly stream: FollowedStream<ControlState>;
  /**
   * Counts this instance's requests at an engine, from the choice of the
   * engine on. No request may choose an engine that the same state drains.
   */
  readonly countInFlight: (engine: EndpointName) => number;
  readonly signal: AbortSignal;
}

/** Confirms drains until the signal aborts. */
export async function confirmDrains(
  options: ConfirmDrainsOptions,
): Promise<void> {
  const { stream, signal } = options;
  while (!signal.aborted) {
    const records = listDueConfirmations(options);
    const isDone = records.length === 0 ||
      await stream.append(records).then(() => true, () => false);
    if (!isDone) await waitFor(failurePauseMs, signal);
    else await waitForChange(stream, checkPauseMs, { signal });
  }
}

/** Whether routing may choose an engine by the control state. */
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
