/** Simulated instances that share one log and one booking service; the test controls every remote step. */
import {
  createReader,
  createStepWorld,
  sendStep,
  type StepWorld,
} from "../../shared/remote_steps.test.ts";
import type {
  BundleService,
  ServiceAnswer,
  ServiceRequest,
} from "../../types/index.ts";
import {
  createCallTracker,
  emptyCallsState,
  foldCalls,
  settleOrphanedCalls,
} from "../../process/calls/index.ts";
import type { CallContext } from "./call_types.ts";
import { createCallLookUp } from "./look_up.ts";

/** A simulated instance, with its own reader of the shared log. */
export interface CallInstance {
  readonly name: string;
  readonly context: CallContext;
  /** Reads and folds up to `limit` records of the log. */
  readonly readLog: (limit?: number) => void;
}

/** One run of a call at the booking service. */
export interface ServiceRun {
  readonly key: string;
  /** Id of the caller's request, from its `request` header. */
  readonly request: string;
}

/** Simulated system of one scenario. */
export interface CallWorldState extends StepWorld {
  readonly runs: ServiceRun[];
  readonly instances: CallInstance[];
  readonly service: BundleService;
  /** Names of the instances that count as running; by default all that did not crash. */
  listInstances: () => readonly string[];
  readonly addInstance: (name: string) => CallInstance;
  readonly stop: () => void;
}

/** Creates a simulated system whose booking service offers a look-up by key if `lookUpByKey`. */
export function createCallWorld(lookUpByKey: boolean): CallWorldState {
  const stop = new AbortController();
  const world: CallWorldState = {
    ...createStepWorld(),
    runs: [],
    instances: [],
    service: {
      name: "desk",
      endpoints: [{ name: "desk-1", failure_domain: "a", address: "" }],
      idempotent_methods: ["GET"],
      allow_missing_key: false,
      look_up_by_key: lookUpByKey,
    },
    listInstances: () =>
      world.instances.map((instance) => instance.name).filter((name) =>
        !world.crashed.has(name)
      ),
    addInstance: (name) => {
      const instance = buildInstance(name, world, { signal: stop.signal });
      world.instances.push(instance);
      return instance;
    },
    stop: () => stop.abort(),
  };
  return world;
}

function buildInstance(
  name: string,
  world: CallWorldState,
  options: { readonly signal: AbortSignal },
): CallInstance {
  const reader = createReader(world, {
    instance: name,
    emptyState: emptyCallsState,
    fold: foldCalls,
  });
  const callTracker = createCallTracker(
    { stream: reader.stream, instance: name },
    options.signal,
  );
  const send = <T>(kind: string, effect: () => T): Promise<T> =>
    sendStep(world, { kind, instance: name, effect });
  const context: CallContext = {
    callTracker,
    rankEndpoints: (service) => service.endpoints,
    openClient: () => ({
      ping: () => send("ping", () => {}),
      call: (request) => send("call", () => runAtService(world, request)),
      lookUp: (key) => send("look up", () => findRun(world, key)),
    }),
  };
  void settleOrphanedCalls({
    callTracker,
    listInstances: () => world.listInstances(),
    lookUp: createCallLookUp(context, () => world.service),
    signal: options.signal,
  });
  return { name, context, readLog: reader.readLog };
}

function runAtService(
  world: CallWorldState,
  request: ServiceRequest,
): ServiceAnswer {
  world.runs.push({
    key: request.key ?? "",
    request: request.headers.request ?? "",
  });
  return { status: 201, headers: {}, body: `booking ${world.runs.length}` };
}

function findRun(
  world: CallWorldState,
  key: string,
): ServiceAnswer | undefined {
  const index = world.runs.findIndex((run) => run.key === key);
  if (index < 0) return undefined;
  return { status: 201, headers: {}, body: `booking ${index + 1}` };
}
