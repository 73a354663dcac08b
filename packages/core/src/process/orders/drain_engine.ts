/** Drains of the lease holder: no instance sends work, and the engine runs none. */
import {
  type ControlState,
  type DrainEntry,
  type EndpointName,
  type EngineState,
  type InstanceName,
  RecordKind,
} from "../../types/index.ts";
import { orderEvents } from "./events.ts";
import type { EngineChange, HeldPool, OrderContext } from "./order_types.ts";
import { recordUntilDone, waitForChange } from "./wait_state.ts";

/** Longest time that a silent instance holds a change up, in ms. */
export const silentLimitMs = 60_000;
/** Longest time that a change waits for running requests, in ms. */
export const drainLimitMs = 900_000;
const checkPauseMs = 250;

/** Finds the drain of an engine. */
export function findDrain(
  state: ControlState,
  engine: EndpointName,
): DrainEntry | undefined {
  return Object.hasOwn(state.drains, engine) ? state.drains[engine] : undefined;
}

/** Instances that run and have not confirmed the drain of an engine. */
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
 * Drains an engine. Resolves to the engine's own state with nothing running,
 * read after the last confirmation; to undefined when requests run too long.
 * Throws when the lease is lost.
 */
export async function drainEngine(
  change: EngineChange,
  context: OrderContext,
): Promise<EngineState | undefined> {
  const { engine, epoch } = change;
  await openDrain(change, context);
  const startMs = performance.now();
  while (performance.now() < startMs + drainLimitMs) {
    context.lease.expectHeld(epoch);
    const isSilentOver = performance.now() >= startMs + silentLimitMs;
    const silent = listUnconfirmed(context.stream.getState(), engine.name);
    if (silent.length === 0 || isSilentOver) {
      const state = await readIdleState(change, context);
      context.lease.expectHeld(epoch);
      if (state && silent.length > 0) {
        context.logEvent?.(orderEvents.silentInstances, {
          engine: engine.name,
          instances: silent.join(" "),
        });
      }
      if (state) return state;
    }
    await waitForChange(context.stream, checkPauseMs, context);
  }
  return undefined;
}

/** Ends the drain of an engine, whoever opened it. */
export async function closeDrain(
  change: HeldPool & { readonly engine: EndpointName },
  context: OrderContext,
): Promise<void> {
  const open = findDrain(context.stream.getState(), change.engine);
  if (!open) return;
  context.lease.expectHeld(change.epoch);
  await recordUntilDone({
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

/** Reads the engine's state now; undefined while it runs anything or is silent. */
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
