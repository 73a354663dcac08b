/** Makes the routing configuration recent enough before a call is routed. */
import type { ForwardCall } from "@trefoildoor/core";
import type { Running } from "./running.ts";

/** Largest share of a call's time for which it waits until the configuration is read. */
const maxConfirmShare = 0.5;

/** Reads the configuration if it is too old for a call, as far as the call's time allows. */
export async function confirmConfiguration(
  { fleet }: Pick<Running, "fleet">,
  call: ForwardCall,
): Promise<void> {
  const { configuring } = fleet;
  if (configuring.isCurrent()) return;
  const endsMs = call.receivedMs + (call.waitMs ?? Infinity);
  await configuring.confirm((endsMs - performance.now()) * maxConfirmShare);
}
