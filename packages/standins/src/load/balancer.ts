/** The platform's balancer as the load tool plays it. */
import { waitFor } from "@trefoildoor/core";
import { request } from "undici";

/** Chooses an entry instance for each request. */
export interface Balancer {
  /** Ready instances in the order to be tried. */
  readonly rankEntries: () => readonly string[];
  /** Polls readiness until the signal aborts. */
  readonly keep: (signal: AbortSignal) => Promise<void>;
}

/** Settings of the balancer. */
export interface BalancerOptions {
  /** Addresses of the entry instances now. */
  readonly listEntries: () => readonly string[];
  readonly random: () => number;
  readonly intervalMs?: number;
}

const defaultIntervalMs = 250;
const probeTimeoutMs = 1_000;
const readyStatus = 200;

/** Creates a balancer that knows of no ready instance until its first poll. */
export function createBalancer(options: BalancerOptions): Balancer {
  let ready: readonly string[] = [];
  const pollOnce = async (): Promise<void> => {
    const entries = options.listEntries();
    const states = await Promise.all(entries.map(isReady));
    ready = entries.filter((_, index) => states[index]);
  };
  return {
    rankEntries: () => {
      if (ready.length === 0) return [];
      const first = Math.floor(options.random() * ready.length);
      return [...ready.slice(first), ...ready.slice(0, first)];
    },
    keep: async (signal) => {
      while (!signal.aborted) {
        await pollOnce();
        await waitFor(options.intervalMs ?? defaultIntervalMs, signal);
      }
    },
  };
}

async function isReady(address: string): Promise<boolean> {
  try {
    const answer = await request(`http://${address}/readyz`, {
      signal: AbortSignal.timeout(probeTimeoutMs),
    });
    await answer.body.dump();
    return answer.statusCode === readyStatus;
  } catch {
    return false;
  }
}
