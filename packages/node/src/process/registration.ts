/** Keeps this process on the control stream's list of instances. */
import { RecordKind, waitFor } from "@trefoildoor/core";
import type { Instance } from "./instance.ts";

const checkIntervalMs = 500;

/**
 * Records the start, which tells every reader that the address has a new
 * process, and records it again when others took the process for gone.
 */
export async function keepRegistered(instance: Instance): Promise<void> {
  const { control } = instance.streams;
  const { signal } = instance.ending;
  await control.waitUntilStarted();
  while (!signal.aborted) {
    if (!isRegistered(instance)) await registerStart(instance);
    await waitFor(checkIntervalMs, signal);
  }
}

/** Whether every reader counts this process among the instances. */
export function isRegistered(
  instance: Pick<Instance, "name" | "streams">,
): boolean {
  const { instances } = instance.streams.control.getState();
  return Object.hasOwn(instances, instance.name);
}

async function registerStart(instance: Instance): Promise<void> {
  const record = {
    kind: RecordKind.InstanceStarted,
    instance: instance.name,
    failureDomain: instance.settings.failure_domain,
    peerAddress: instance.peerAddress,
  } as const;
  // A failed append is tried again by the next check.
  await instance.streams.control.append([record]).catch(() => undefined);
}
