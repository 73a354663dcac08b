/**
 * Drains an engine on behalf of the lease holder: instances stop sending it
 * requests, and its running requests end.
 */
import {
  type ControlState,
  type DrainEntry,
  type EndpointName,
  type EngineState,
  type InstanceName,
  RecordKind,
} from "../../types/index.ts";
import { orderEvents } from "./events.ts";
import type { EngineChange, LeasedPool, OrderContext } from "./order_types.ts";
import { appendWithRetry, waitForChange } from "./wait_state.ts";

/** Longest time that a drain waits for the confirmations of all instances, in ms. */
export const confirmTimeoutMs = 60_000;
/** Longest time that a change waits for its drain, in ms. */
export const drainTimeoutMs = 900_000;
const pollIntervalMs = 250;

/** Finds the open drain of an engine; undefined when it has none. */
export function findDrain(
  state: ControlState,
  engine: EndpointName,
): DrainEntry | undefined {
  return Object.hasOwn(state.drains, engine) ? state.drains[engine] : undefined;
}

/** Lists registered instances that have not confirmed the drain of an engine. */
export function listUnconfirmed(
  state: ControlState,
  engine: EndpointName,
): readonly InstanceName[] {
  const confirmed = findDrain(state, engine)?.confirmed ?? [];
  return Object.keys(state.instances).filter((instance) =>
    !confirmed.includes(instance)
  );
}

/**
 * Drains an engine. Resolves to the engine's own state with nothing running or
 * queued, read once all instances have confirmed or `confirmTimeoutMs` have
 * passed; to undefined when the engine is not idle after `drainTimeoutMs`.
 * Throws when the lease is lost or the log fails.
 */
export async function drainEngine(
  change: EngineChange,
  context: OrderContext,
): Promise<EngineState | undefined> {
  const { engine, epoch } = change;
  await openDrain(change, context);
  const startMs = performance.now();
  while (performance.now() < startMs + drainTimeoutMs) {
    context.lease.expectHeld(epoch);
    const isConfirmTimeoutOver =
      performance.now() >= startMs + confirmTimeoutMs;
    const unconfirmed = listUnconfirmed(context.stream.getState(), engine.name);
    if (unconfirmed.length === 0 || isConfirmTimeoutOver) {
      const state = await readIdleState(change, context);
      context.lease.expectHeld(epoch);
      if (state && unconfirmed.length > 0) {
        context.logEvent?.(orderEvents.drainUnconfirmed, {
          engine: engine.name,
          instances: unconfirmed.join(" "),
        });
      }
      if (state) return state;
    }
    await waitForChange(context.stream, pollIntervalMs, context);
  }
  return undefined;
}

/**
 * Closes the open drain of an engine, also one that an earlier lease holder
 * opened. Throws when the lease is lost.
 */
export async function closeDrain(
  change: LeasedPool & { readonly engine: EndpointName },
  context: OrderContext,
): Promise<void> {
  const open = findDrain(context.stream.getState(), change.engine);
  if (!open) return;
  context.lease.expectHeld(change.epoch);
  await appendWithRetry({
    kind: RecordKind.DrainClosed,
    pool: change.pool.name,
    epoch: change.epoch,
    engine: change.engine,
    drain: open.drain,
  }, context);
}

async function openDrain(
  change: EngineChange,
  context: OrderContext,
): Promise<void> {
  const { pool, engine, epoch } = change;
  const open = findDrain(context.stream.getState(), engine.name);
  if (open?.epoch === epoch) return;
  context.lease.expectHeld(epoch);
  await context.stream.append([{
    kind: RecordKind.DrainOpened,
    pool: pool.name,
    epoch,
    engine: engine.name,
  }]);
  context.logEvent?.(orderEvents.drainOpened, { engine: engine.name });
}

/** Undefined while the engine has running or queued requests or does not answer. */
async function readIdleState(
  change: EngineChange,
  context: OrderContext,
): Promise<EngineState | undefined> {
  try {
    const state = await context.openEngine(change.engine).fetchState(
      context.signal,
    );
    return state.running === 0 && state.queued === 0 ? state : undefined;
  } catch {
    return undefined;
  }
}
