/** Bounds how many calls to the operator are made in a second, as it takes so many from all instances together. */
import { OperatorAnswer, type OperatorApi } from "../../types/index.ts";

const msPerSecond = 1_000;
/** Part of what the operator takes that is used: calls of a former holder may still be on their way. */
const usedShare = 0.5;

/** Wraps the calls; those beyond the bound are not made and count as limited. */
export function createPacedApi(
  api: OperatorApi,
  options: { readonly callsPerSecond: number },
): OperatorApi {
  const most = Math.max(Math.floor(options.callsPerSecond * usedShare), 1);
  /** When the last calls were made, oldest first, in ms of the monotonic clock. */
  const madeMs: number[] = [];

  function mayCall(): boolean {
    const nowMs = performance.now();
    while ((madeMs[0] ?? nowMs) < nowMs - msPerSecond) madeMs.shift();
    if (madeMs.length >= most) return false;
    madeMs.push(nowMs);
    return true;
  }

  return {
    sendUsage: (report, stamp, call) =>
      mayCall()
        ? api.sendUsage(report, stamp, call)
        : Promise.resolve(OperatorAnswer.RateLimited),
    orderEndpoints: (order, stamp, call) =>
      mayCall()
        ? api.orderEndpoints(order, stamp, call)
        : Promise.resolve(OperatorAnswer.RateLimited),
  };
}
