/** Stand-in for the platform's rate-limited weight store. */
import { z } from "zod";
import {
  createFaults,
  type Faults,
  type StandinAnswer,
  type StandinCall,
  startStandinServer,
} from "../shared/index.ts";

/** Settings of the weight store stand-in. */
export interface WeightStoreOptions {
  /** Loads that the store grants in each window. */
  readonly loadsPerWindow?: number;
  /** Length of a window, in ms. */
  readonly windowMs?: number;
}

/** A grant as the store recorded it. */
export interface RecordedGrant {
  readonly weights: string;
  readonly atMs: number;
}

/** A running weight store stand-in. */
export interface WeightStoreStandin {
  readonly address: string;
  readonly faults: Faults;
  readonly listGrants: () => readonly RecordedGrant[];
  readonly countRefusals: () => number;
  readonly close: () => Promise<void>;
}

const reserveSchema = z.object({ weights: z.string().min(1).max(512) });
const defaultWindowMs = 1_000;

/** Starts the weight store stand-in. */
export async function startWeightStoreStandin(
  options: WeightStoreOptions = {},
): Promise<WeightStoreStandin> {
  const faults = createFaults();
  const grants: RecordedGrant[] = [];
  const windowMs = options.windowMs ?? defaultWindowMs;
  const limit = options.loadsPerWindow ?? Infinity;
  let refusals = 0;

  const handleReserve = (call: StandinCall): StandinAnswer => {
    const { weights } = reserveSchema.parse(call.body);
    const nowMs = performance.now();
    const recent = grants.filter(({ atMs }) => atMs > nowMs - windowMs);
    if (recent.length < limit) {
      grants.push({ weights, atMs: nowMs });
      return { status: 200, body: { granted: true, retry_after_ms: 0 } };
    }
    refusals++;
    const oldestMs = recent[0]?.atMs ?? nowMs;
    return {
      status: 200,
      body: {
        granted: false,
        retry_after_ms: Math.ceil(oldestMs + windowMs - nowMs),
      },
    };
  };
  const server = await startStandinServer({
    faults,
    routes: { "POST /loads": handleReserve },
  });
  return {
    address: server.address,
    faults,
    listGrants: () => grants,
    countRefusals: () => refusals,
    close: server.close,
  };
}
