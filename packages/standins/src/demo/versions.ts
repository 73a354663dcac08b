/** Waiting for a bundle version on every instance. */
import { waitFor } from "@trefoildoor/core";
import { request } from "undici";
import { z } from "zod";
import type { Fleet } from "../fleet/index.ts";

/** Time from the publication until an instance answered under the version. */
export interface VersionTime {
  readonly instance: string;
  readonly failureDomain: string;
  readonly afterMs: number;
}

const pollMs = 20;
const timeoutMs = 30_000;
const healthSchema = z.object({ ready: z.boolean(), version: z.number() });

/** Resolves once every instance is ready under the version or a later one. */
export async function waitForVersion(
  fleet: Fleet,
  version: number,
): Promise<readonly VersionTime[]> {
  const startMs = performance.now();
  return await Promise.all(
    fleet.listInstances().map(async (instance) => {
      while (!await isInForce(instance.callerAddress, version)) {
        if (performance.now() - startMs > timeoutMs) {
          throw new Error(
            `Version ${version} did not come into force on ${instance.name}`,
          );
        }
        await waitFor(pollMs);
      }
      const { name, failureDomain } = instance;
      return {
        instance: name,
        failureDomain,
        afterMs: performance.now() - startMs,
      };
    }),
  );
}

async function isInForce(address: string, version: number): Promise<boolean> {
  try {
    const { body } = await request(`http://${address}/readyz`);
    const health = healthSchema.parse(await body.json());
    return health.ready && health.version >= version;
  } catch {
    return false;
  }
}
