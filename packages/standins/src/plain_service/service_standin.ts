/** Stand-in for a plain service: a booking desk that counts runs per key. */
import { Effect } from "@trefoildoor/core";
import { z } from "zod";
import {
  createFaults,
  createGate,
  type Faults,
  type StandinAnswer,
  type StandinCall,
  StandinError,
  startStandinServer,
} from "../shared/index.ts";

/** Settings of the service stand-in. */
export interface ServiceStandinOptions {
  /** Whether calls can be looked up by key. */
  readonly lookUpByKey?: boolean;
  /** Time that a call runs, in ms. */
  readonly runMs?: number;
}

/** One run of a call, as the service recorded it. */
export interface RecordedRun {
  readonly key: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly body: unknown;
  readonly atMs: number;
}

/** A running service stand-in with its records and faults. */
export interface ServiceStandin {
  readonly address: string;
  readonly faults: Faults;
  readonly listRuns: () => readonly RecordedRun[];
  readonly countRuns: (key: string) => number;
  /** Refuses new calls as leaving while true. */
  readonly setLeaving: (leaving: boolean) => void;
  /** Names a limit of requests a second in its answers from now on; none if undefined. */
  readonly setLimit: (perSecond: number | undefined) => void;
  /** Stops answering, as a suspended process does. */
  readonly pause: () => void;
  /** Goes on after a pause. */
  readonly resume: () => void;
  /** Cuts all connections and stops listening. */
  readonly crash: () => Promise<void>;
  readonly restart: () => Promise<void>;
  /** Calls the listener with each run before it is answered; returns its removal. */
  readonly onRun: (listener: (run: RecordedRun) => void) => () => void;
  readonly close: () => Promise<void>;
}

const bookingSchema = z.looseObject({ item: z.string().min(1).max(256) });

/** Starts the service stand-in. */
export async function startServiceStandin(
  options: ServiceStandinOptions = {},
): Promise<ServiceStandin> {
  const faults = createFaults();
  const gate = createGate();
  const runs: RecordedRun[] = [];
  const listeners = new Set<(run: RecordedRun) => void>();
  let leaving = false;
  let limit: number | undefined;
  let starts = 1;

  const run = async (
    call: StandinCall,
    build: (count: number) => StandinAnswer,
  ): Promise<StandinAnswer> => {
    await gate.wait();
    if (leaving) {
      throw new StandinError(503, "leaving", {
        message: "service is leaving",
        effect: Effect.None,
      });
    }
    const record = buildRun(call);
    runs.push(record);
    const count = runs.length;
    for (const listener of listeners) listener(record);
    if (options.runMs) {
      await new Promise((resolve) => setTimeout(resolve, options.runMs));
    }
    await gate.wait();
    const answer = build(count);
    return limit === undefined
      ? answer
      : { ...answer, headers: { "trefoildoor-limit": String(limit) } };
  };
  const handleBooking = (call: StandinCall): Promise<StandinAnswer> => {
    const { item } = bookingSchema.parse(call.body);
    return run(
      call,
      (count) => ({ status: 201, body: { booking: `b-${count}`, item } }),
    );
  };
  const handleStock = (call: StandinCall): Promise<StandinAnswer> =>
    run(call, () => ({
      status: 200,
      body: { item: call.params.item, free: 12 },
    }));
  const handleLookUp = async (call: StandinCall): Promise<StandinAnswer> => {
    await gate.wait();
    const index = runs.findIndex(({ key }) => key === call.params.key);
    const found = runs[index];
    if (!found) {
      throw new StandinError(404, "not_run", {
        message: "no call with this key has run",
        effect: Effect.None,
      });
    }
    const { item } = bookingSchema.parse(found.body);
    return { status: 201, body: { booking: `b-${index + 1}`, item } };
  };
  const server = await startStandinServer({
    faults,
    routes: {
      "GET /ping": async () => {
        await gate.wait();
        return { status: 200, body: { leaving, startId: `start-${starts}` } };
      },
      "POST /bookings": handleBooking,
      "POST /charges": handleBooking,
      "GET /stock/:item": handleStock,
      ...(options.lookUpByKey ? { "GET /calls/:key": handleLookUp } : {}),
    },
  });
  return {
    address: server.address,
    faults,
    listRuns: () => runs,
    countRuns: (key) => runs.filter((run) => run.key === key).length,
    setLeaving: (value) => {
      leaving = value;
    },
    setLimit: (perSecond) => {
      limit = perSecond;
    },
    pause: gate.close,
    resume: gate.open,
    crash: server.cut,
    restart: () => {
      starts += 1;
      return server.restore();
    },
    onRun: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    close: server.close,
  };
}

function buildRun(call: StandinCall): RecordedRun {
  const key = call.headers["idempotency-key"];
  return {
    key: typeof key === "string" ? key : undefined,
    method: call.method,
    path: call.path,
    body: call.body,
    atMs: performance.now(),
  };
}
