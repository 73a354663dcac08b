/**
 * Changes one engine: settles an earlier order, reserves the load of weights,
 * drains the engine and sends the order.
 */
import { waitFor } from "../../shared/index.ts";
import type { EngineState } from "../../types/index.ts";
import { admitOrder, recordEnd } from "./admit_order.ts";
import { closeDrain, drainEngine } from "./drain_engine.ts";
import {
  type AdmittedOrder,
  type ChangeEnd,
  ChangeStatus,
  type EngineChange,
  isSameTarget,
  listModels,
  type OrderContext,
} from "./order_types.ts";
import { tryFetchState } from "./poll_order.ts";
import { sendOrder } from "./send_order.ts";
import { settleOpenOrder } from "./settle_order.ts";

/** Longest time that a change waits for the end of the order it sent, in ms. */
const orderTimeoutMs = 300_000;
const weightRetryDelayMs = 1_000;

/**
 * Brings one engine to its target. Throws when the lease is lost or the log
 * fails; the next lease holder then continues from the log and the state of
 * the engine.
 */
export async function changeEngine(
  change: EngineChange,
  context: OrderContext,
): Promise<ChangeEnd> {
  const reason = await settleOpenOrder(change, context);
  if (reason !== undefined) {
    await stopDraining(change, context);
    return buildWaiting(reason);
  }
  const present = await tryFetchState(
    context.openEngine(change.engine),
    context,
  );
  context.lease.expectHeld(change.epoch);
  if (!present) return buildWaiting("the engine does not answer");
  if (isSameTarget(present.target, change.target)) {
    await stopDraining(change, context);
    return { status: ChangeStatus.Reached, detail: "already in its target" };
  }
  await reserveWeights(change, context, { present });
  const idle = await drainEngine(change, context);
  if (!idle) {
    await stopDraining(change, context);
    return buildWaiting("requests run too long");
  }
  const order = await admitOrder(change, context, { fenceOnly: false });
  if (!order) return buildWaiting("the log did not admit the order");
  return await runOrder(order, context);
}

/** Sends an admitted order. Its end is recorded also when it comes after the timeout. */
async function runOrder(
  order: AdmittedOrder,
  context: OrderContext,
): Promise<ChangeEnd> {
  const stopWaiting = new AbortController();
  const ended = sendAndRecord(order, context);
  const late = waitFor(
    orderTimeoutMs,
    AbortSignal.any([stopWaiting.signal, context.signal]),
  ).then(() => undefined);
  const end = await Promise.race([ended, late]);
  stopWaiting.abort();
  if (!end) return buildWaiting("the end of the order is not known");
  context.lease.expectHeld(order.epoch);
  await stopDraining(order, context);
  return {
    status: end.reached ? ChangeStatus.Reached : ChangeStatus.Failed,
    detail: end.detail,
  };
}

async function sendAndRecord(
  order: AdmittedOrder,
  context: OrderContext,
): Promise<Awaited<ReturnType<typeof sendOrder>>> {
  const end = await sendOrder(order, context);
  if (end) await recordEnd(order, context, end);
  return end;
}

/** Waits until the load of each set of weights that the engine lacks is granted. */
async function reserveWeights(
  change: EngineChange,
  context: OrderContext,
  options: { readonly present: EngineState },
): Promise<void> {
  const held = new Set(listModels(options.present.target));
  const loads = listModels(change.target).filter((name) => !held.has(name));
  for (const weights of loads) {
    while (!context.signal.aborted) {
      context.lease.expectHeld(change.epoch);
      const grant = await context.reserveWeightLoad(weights, context.signal)
        .catch(() => ({ granted: false, retryAfterMs: weightRetryDelayMs }));
      if (grant.granted) break;
      await waitFor(Math.max(grant.retryAfterMs, 1), context.signal);
    }
  }
}

async function stopDraining(
  change: EngineChange,
  context: OrderContext,
): Promise<void> {
  const { pool, epoch, engine } = change;
  await closeDrain({ pool, epoch, engine: engine.name }, context);
}

function buildWaiting(detail: string): ChangeEnd {
  return { status: ChangeStatus.Waiting, detail };
}
