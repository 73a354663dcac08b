/** Sends an admitted order: repeatedly to engines that check numbers, else once. */
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
  compareOrder,
  followOrder,
  OrderSight,
  readState,
} from "./follow_order.ts";
import type { AdmittedOrder, OrderContext, OrderEnd } from "./order_types.ts";

const resendPauseMs = 500;
const maxUnsentTries = 5;

/** How one sending of an order ended. */
enum SendEnd {
  Accepted = "accepted",
  Unsent = "unsent",
  Fenced = "fenced",
  Unknown = "unknown",
}

/**
 * Sends an order and follows it to its end. Undefined when the end is not
 * known and somebody else has to find it: the instance stops, or it lost the
 * lease after an unanswered order to an engine that checks numbers.
 */
export async function sendOrder(
  order: AdmittedOrder,
  context: OrderContext,
): Promise<OrderEnd | undefined> {
  const client = context.openEngine(order.engine);
  let hasUnanswered = false;
  for (let tries = 0; hasUnanswered || tries < maxUnsentTries; tries++) {
    if (hasUnanswered && await hasArrived(order, client, context)) {
      return await followAccepted(order, client, context);
    }
    if (!maySend(order, context)) {
      return hasUnanswered ? undefined : buildUnsent("the lease was lost");
    }
    const end = await sendOnce(order, client, context);
    if (end === SendEnd.Fenced) {
      return buildUnsent("the engine has a newer number");
    }
    if (end === SendEnd.Accepted) {
      return await followAccepted(order, client, context);
    }
    if (end === SendEnd.Unknown) {
      hasUnanswered = true;
      logUnanswered(order, context);
      if (order.pool.fence_check === FenceCheck.Ignored) {
        // A second copy could run after a later order, so there is none.
        return await followOrder(order, client, {
          lastByteMs: performance.now(),
          isOpen: () => isOpen(order, context),
          signal: context.signal,
        });
      }
    }
    await waitFor(resendPauseMs, context.signal);
  }
  return buildUnsent("the engine could not be reached");
}

function buildUnsent(detail: string): OrderEnd {
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
): Promise<SendEnd> {
  const { target, fenceOnly } = order;
  const request = { fence: order.order, target, fenceOnly };
  try {
    await client.order(request, options.signal);
    return SendEnd.Accepted;
  } catch (error) {
    if (!(error instanceof RemoteError)) return SendEnd.Unknown;
    if (error.failure === RemoteFailure.Fenced) return SendEnd.Fenced;
    return error.effect === Effect.None ? SendEnd.Unsent : SendEnd.Unknown;
  }
}

/** Whether the engine shows an order whose answer was lost. */
async function hasArrived(
  order: AdmittedOrder,
  client: EngineClient,
  options: { readonly signal: AbortSignal },
): Promise<boolean> {
  const state = await readState(client, options);
  if (!state) return false;
  if (order.fenceOnly) return state.fence === order.order;
  return compareOrder(state, order.order) !== OrderSight.Absent;
}

async function followAccepted(
  order: AdmittedOrder,
  client: EngineClient,
  options: OrderContext,
): Promise<OrderEnd | undefined> {
  if (order.fenceOnly) return { reached: true, detail: "number raised" };
  return await followOrder(order, client, {
    lastByteMs: undefined,
    isOpen: () => isOpen(order, options),
    signal: options.signal,
  });
}
