/**
 * Sends an admitted order. Engines that check fencing numbers get it again
 * after a lost answer; engines that ignore them do not.
 */
import { waitFor } from "../../shared/index.ts";
import {
  Effect,
  type EngineClient,
  FenceCheck,
  RemoteError,
  RemoteFailure,
} from "../../types/index.ts";
import { findOpenOrder } from "../../version/control/index.ts";
import { orderEvents } from "./events.ts";
import {
  deriveOrderPhase,
  OrderPhase,
  pollOrderEnd,
  tryFetchState,
} from "./poll_order.ts";
import type { AdmittedOrder, OrderContext, OrderEnd } from "./order_types.ts";

const resendDelayMs = 500;
const maxUnsentAttempts = 5;

/** Outcome of one attempt to send an order. */
enum SendOutcome {
  Accepted = "accepted",
  Unsent = "unsent",
  Fenced = "fenced",
  Unknown = "unknown",
}

/**
 * Sends an order and waits for its end. Undefined when this instance cannot
 * observe the end: the instance stops, another lease holder closes or replaces
 * the order, or the lease is lost after an attempt without an answer.
 */
export async function sendOrder(
  order: AdmittedOrder,
  context: OrderContext,
): Promise<OrderEnd | undefined> {
  const client = context.openEngine(order.engine);
  let mayHaveArrived = false;
  for (
    let attempt = 0;
    mayHaveArrived || attempt < maxUnsentAttempts;
    attempt++
  ) {
    if (mayHaveArrived && await hasEngineReceived(order, client, context)) {
      return await pollAccepted(order, client, context);
    }
    if (!maySend(order, context)) {
      return mayHaveArrived ? undefined : buildNotReached("the lease was lost");
    }
    const end = await sendOnce(order, client, context);
    if (end === SendOutcome.Fenced) {
      return buildNotReached("the engine has a newer number");
    }
    if (end === SendOutcome.Accepted) {
      return await pollAccepted(order, client, context);
    }
    if (end === SendOutcome.Unknown) {
      mayHaveArrived = true;
      logUnanswered(order, context);
      if (order.pool.fence_check === FenceCheck.Ignored) {
        // No second attempt: its copy could arrive after a later order.
        return await pollOrderEnd(order, client, {
          connectionEndMs: performance.now(),
          isOpen: () => isOpen(order, context),
          signal: context.signal,
        });
      }
    }
    await waitFor(resendDelayMs, context.signal);
  }
  return buildNotReached("the engine could not be reached");
}

function buildNotReached(detail: string): OrderEnd {
  return { reached: false, detail };
}

function logUnanswered(order: AdmittedOrder, context: OrderContext): void {
  context.logEvent?.(orderEvents.orderUnanswered, {
    engine: order.engine.name,
    order: order.order,
  });
}

function maySend(order: AdmittedOrder, context: OrderContext): boolean {
  return !context.signal.aborted && isOpen(order, context) &&
    context.lease.getEpoch() === order.epoch;
}

function isOpen(order: AdmittedOrder, context: OrderContext): boolean {
  const open = findOpenOrder(context.stream.getState(), order.engine.name);
  return open?.order === order.order;
}

async function sendOnce(
  order: AdmittedOrder,
  client: EngineClient,
  options: { readonly signal: AbortSignal },
): Promise<SendOutcome> {
  const { target, fenceOnly } = order;
  const request = { fence: order.order, target, fenceOnly };
  try {
    await client.order(request, options.signal);
    return SendOutcome.Accepted;
  } catch (error) {
    if (!(error instanceof RemoteError)) return SendOutcome.Unknown;
    if (error.failure === RemoteFailure.Fenced) return SendOutcome.Fenced;
    return error.effect === Effect.None
      ? SendOutcome.Unsent
      : SendOutcome.Unknown;
  }
}

/** Whether the engine's state shows that it received the order. */
async function hasEngineReceived(
  order: AdmittedOrder,
  client: EngineClient,
  options: { readonly signal: AbortSignal },
): Promise<boolean> {
  const state = await tryFetchState(client, options);
  if (!state) return false;
  if (order.fenceOnly) return state.fence === order.order;
  return deriveOrderPhase(state, order.order) !== OrderPhase.Absent;
}

async function pollAccepted(
  order: AdmittedOrder,
  client: EngineClient,
  options: OrderContext,
): Promise<OrderEnd | undefined> {
  if (order.fenceOnly) return { reached: true, detail: "number raised" };
  return await pollOrderEnd(order, client, {
    connectionEndMs: undefined,
    isOpen: () => isOpen(order, options),
    signal: options.signal,
  });
}
