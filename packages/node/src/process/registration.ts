/** Keeps this process on the control stream's list of instances. */
import { RecordKind, waitFor } from "@trefoildoor/core";
import type { Instance } from "./instance.ts";

const checkIntervalMs = 500;

/**
 * Records the start, which tells every reader that the address has a new
 * process, and records it again if another instance recorded this one as
 * stopped.
 */
export async function maintainRegistration(instance: Instance): Promise<void> {
  const { control } = instance.streams;
  const { signal } = instance.abortController;
  await control.waitUntilStarted();
  while (!signal.aborted) {
    if (!isRegistered(instance)) await registerStart(instance);
    await waitFor(checkIntervalMs, signal);
  }
}

/** Whether the control stream lists this process as a running instance. */
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
  // The next check retries a failed append.
  await instance.streams.control.append([record]).catch(() => undefined);
}
