/** Simulated instances over one log and its engines; the test runs each remote step. */
import {
  type Bundle,
  bundleSchema,
  type ControlState,
  Effect,
  type EngineOrder,
  EngineRole,
  type EngineState,
  type EngineTarget,
  FenceCheck,
  type LogPosition,
  OrderProgress,
  type PositionedRecord,
  RecordKind,
  RemoteError,
  RemoteFailure,
} from "../../types/index.ts";
import {
  addRecord,
  createReader,
  createStepWorld,
  sendStep,
  type StepReader,
  type StepWorld,
} from "../../shared/remote_steps.test.ts";
import {
  emptyControlState,
  findOpenOrder,
  foldControl,
} from "../../version/control/index.ts";
import { confirmDrains } from "./confirm_drains.ts";
import {
  createOwnOrders,
  type EngineChange,
  type OrderContext,
} from "./order_types.ts";
import { settleOwnOrders } from "./settle_own_orders.ts";

/** A simulated engine that records the orders it received and conflicts between them. */
export interface TestEngine {
  readonly received: string[];
  /** Orders that conflict with another order, with requests or with the log. */
  readonly violations: string[];
  readonly receive: (order: EngineOrder) => EngineState;
  readonly readState: () => EngineState;
  /** Ends the running change. */
  readonly advance: () => void;
  /** Restarts the engine; a running change is lost. */
  readonly crash: () => void;
  /** Number of running requests. */
  running: number;
  /** Whether changes end as failed. */
  fails: boolean;
}

/** One simulated instance. */
export interface OrderInstance extends StepReader<ControlState> {
  readonly name: string;
  readonly context: OrderContext;
  /** Epoch under which the instance believes to hold the lease, perhaps wrongly. */
  epoch: LogPosition | undefined;
  /** Number of the instance's requests at the engine. */
  inFlight: number;
}

/** Simulated instances, engines and log of one scenario. */
export interface OrderWorldState extends StepWorld {
  readonly bundle: Bundle;
  /** The engine `e1`. */
  readonly engine: TestEngine;
  readonly engines: ReadonlyMap<string, TestEngine>;
  readonly instances: OrderInstance[];
  /** Answers of the weight store; granted when empty. */
  readonly grants: boolean[];
  readonly addInstance: (name: string) => OrderInstance;
  readonly foldLog: () => ControlState;
  readonly stop: () => void;
}

/** Engines of a simulation. */
export interface OrderWorldOptions {
  /** Engine names, placed in two failure domains by turns; `e1` is required. */
  readonly engines: readonly string[];
  /** Time after which a change ends by itself, in ms; never when absent. */
  readonly changeMs?: number;
}

const singleEngineOptions: OrderWorldOptions = { engines: ["e1"] };

/** Creates a simulation without instances and publishes a bundle of its engines. */
export function createOrderWorld(
  fenceCheck: FenceCheck,
  options: OrderWorldOptions = singleEngineOptions,
): OrderWorldState {
  const stop = new AbortController();
  const steps = createStepWorld();
  const bundle = buildBundle(fenceCheck, options);
  let folded = emptyControlState;
  const foldLog = (): ControlState => {
    folded = steps.log.slice(folded.next).reduce(foldEntry, folded);
    return folded;
  };
  const engines = new Map(options.engines.map((name) => [
    name,
    createEngine(fenceCheck, { ...options, name, foldLog }),
  ]));
  const engine = engines.get("e1");
  if (!engine) throw new Error("no engine e1");
  const world: OrderWorldState = {
    ...steps,
    bundle,
    engine,
    engines,
    instances: [],
    grants: [],
    addInstance: (name) => {
      const instance = buildInstance(name, world, { signal: stop.signal });
      world.instances.push(instance);
      return instance;
    },
    foldLog,
    stop: () => stop.abort(),
  };
  // Position 0 is not a valid epoch, so a bundle takes it.
  addRecord(world, "operator", {
    record: {
      kind: RecordKind.BundlePublished,
      signed: { bundle, key: "test", signature: "" },
    },
  });
  return world;
}

/** Builds a change of the first engine to a version of its model. */
export function buildChange(
  world: OrderWorldState,
  epoch: LogPosition,
  options: { readonly version: string },
): EngineChange {
  const [pool] = world.bundle.pools;
  const engine = pool?.engines[0];
  if (!pool || !engine) throw new Error("no engine in the bundle");
  const target = buildTarget(options.version);
  return { pool, engine, epoch, target, version: world.bundle.version };
}

function foldEntry(state: ControlState, entry: PositionedRecord): ControlState {
  return foldControl(state, entry, { verifySignature: () => true });
}

function buildTarget(version: string): EngineTarget {
  const models = [{ model: "drafter", version, adapters: [] }];
  return { role: EngineRole.Mixed, models };
}

function buildBundle(
  fenceCheck: FenceCheck,
  options: OrderWorldOptions,
): Bundle {
  return bundleSchema.parse({
    version: 1,
    parent: 0,
    author: "test",
    failure_domains: [{ name: "sapporo" }, { name: "hakodate" }],
    pools: [{
      name: "drafts",
      fence_check: fenceCheck,
      engines: options.engines.map((name, index) => ({
        name,
        failure_domain: index % 2 === 0 ? "sapporo" : "hakodate",
        address: "",
      })),
      models: [{ model: "drafter", version: "2" }],
    }],
  });
}

function buildInstance(
  name: string,
  world: OrderWorldState,
  options: { readonly signal: AbortSignal },
): OrderInstance {
  const reader = createReader(world, {
    instance: name,
    emptyState: emptyControlState,
    fold: foldEntry,
  });
  const send = <T>(kind: string, effect: () => T): Promise<T> =>
    sendStep(world, { kind, instance: name, effect });
  const instance: OrderInstance = {
    name,
    ...reader,
    epoch: undefined,
    inFlight: 0,
    context: {
      instance: name,
      stream: reader.stream,
      lease: {
        getEpoch: () => instance.epoch,
        expectHeld: (epoch) => {
          if (instance.epoch !== epoch) throw new Error("lease is lost");
        },
      },
      openEngine: ({ name: engine }) => ({
        ...unusedEngine,
        fetchState: () =>
          send("state", () => findEngine(world, engine).readState()),
        order: (order) =>
          send("order", () => findEngine(world, engine).receive(order)),
      }),
      reserveWeightLoad: () =>
        Promise.resolve({
          granted: world.grants.shift() ?? true,
          retryAfterMs: 1_000,
        }),
      own: createOwnOrders(),
      signal: options.signal,
    },
  };
  void settleOwnOrders(instance.context);
  void confirmDrains({
    instance: name,
    stream: reader.stream,
    countInFlight: () => instance.inFlight,
    signal: options.signal,
  });
  addRecord(world, name, {
    record: {
      kind: RecordKind.InstanceStarted,
      instance: name,
      failureDomain: "sapporo",
      peerAddress: name,
    },
  });
  return instance;
}

function findEngine(world: OrderWorldState, name: string): TestEngine {
  const engine = world.engines.get(name);
  if (!engine) throw new Error(`no engine "${name}"`);
  return engine;
}

const unusedEngine = {
  generate: refuseUse,
  resume: refuseUse,
  cancel: refuseUse,
  fetchLoad: refuseUse,
  exportKv: refuseUse,
};

function refuseUse(): never {
  throw new Error("unused in this test");
}

function createEngine(
  fenceCheck: FenceCheck,
  options: {
    readonly name: string;
    readonly changeMs?: number;
    readonly foldLog: () => ControlState;
  },
): TestEngine {
  let target = buildTarget("1");
  let fence = 0;
  let newest: EngineOrder | undefined;
  let progress = OrderProgress.None;
  let starts = 1;
  let sequence = 0;
  const running = new Set<EngineOrder>();

  function receive(order: EngineOrder): EngineState {
    if (fenceCheck === FenceCheck.Checked) checkFence(order);
    const kind = order.fenceOnly ? "number" : "change";
    engine.received.push(`${kind} ${order.fence}`);
    const isRepeat = fenceCheck === FenceCheck.Checked &&
      newest?.fence === order.fence;
    if (order.fenceOnly || isRepeat) return readState();
    if (running.size > 0) engine.violations.push("two changes at once");
    if (engine.running > 0) engine.violations.push("requests were cut");
    const open = findOpenOrder(options.foldLog(), options.name);
    const isClosed = open?.order !== order.fence;
    if (fenceCheck === FenceCheck.Ignored && isClosed) {
      engine.violations.push(`closed order ${order.fence} arrived`);
    }
    running.add(order);
    newest = order;
    progress = OrderProgress.Running;
    if (options.changeMs !== undefined) setTimeout(advance, options.changeMs);
    return readState();
  }

  function checkFence(order: EngineOrder): void {
    if (order.fence < fence) {
      engine.received.push(`refused ${order.fence}`);
      throw new RemoteError("old number", {
        failure: RemoteFailure.Fenced,
        effect: Effect.None,
      });
    }
    fence = order.fence;
  }

  function readState(): EngineState {
    const order = newest?.fence ?? 0;
    const startId = `start ${starts}`;
    const { running } = engine;
    sequence++;
    return {
      startId,
      target,
      fence,
      order,
      progress,
      running,
      queued: 0,
      sequence,
    };
  }

  function advance(): void {
    const order = [...running].at(-1);
    running.clear();
    if (!order) return;
    if (engine.fails) {
      progress = OrderProgress.Failed;
      return;
    }
    target = order.target;
    progress = OrderProgress.Finished;
  }

  function crash(): void {
    running.clear();
    newest = undefined;
    progress = OrderProgress.None;
    starts++;
  }

  const engine: TestEngine = {
    received: [],
    violations: [],
    receive,
    readState,
    advance,
    crash,
    running: 0,
    fails: false,
  };
  return engine;
}
