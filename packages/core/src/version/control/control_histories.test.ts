/** Histories of the control stream for tests, and the fold that runs them. */
import {
  type Bundle,
  bundleSchema,
  type ControlState,
  EngineRole,
  type LogPosition,
  type LogRecord,
  maxGroupRecords,
  OrderClosing,
  RecordKind,
} from "../../types/index.ts";
import { emptyControlState, foldControl } from "./fold_control.ts";

/** A fold that assigns positions; one record per entry. */
export interface Folder {
  readonly getState: () => ControlState;
  /** Folds a record and returns its position. */
  readonly add: (writer: string, record: LogRecord) => LogPosition;
}

/** Key whose signature the tests trust. */
export const trustedKey = "operators";

/** Creates a fold of an empty stream. */
export function createFolder(): Folder {
  let state = emptyControlState;
  let offset = 0;
  return {
    getState: () => state,
    add: (writer, record) => {
      const position = offset++ * maxGroupRecords;
      const entry = { position, writer, timeMs: offset, record };
      state = foldControl(state, entry, { verifySignature });
      return position;
    },
  };
}

/** Stands in for the signature check. */
export function verifySignature(signed: { readonly key: string }): boolean {
  return signed.key === trustedKey;
}

/** Builds a bundle with one pool that checks fencing numbers and one that ignores them. */
export function buildTestBundle(version: number, parent = version - 1): Bundle {
  const models = [{ model: "draft", version: `v${version}` }];
  return bundleSchema.parse({
    version,
    parent,
    author: "operator",
    failure_domains: [{ name: "sapporo" }],
    pools: [
      {
        name: "checked",
        fence_check: "checked",
        engines: listEngines(["c1", "c2"]),
        models,
      },
      {
        name: "ignored",
        fence_check: "ignored",
        engines: listEngines(["i1"]),
        models,
      },
    ],
  });
}

function listEngines(names: readonly string[]): readonly unknown[] {
  const place = { "failure_domain": "sapporo", address: "127.0.0.1:1" };
  return names.map((name) => ({ ...place, name }));
}

/** Publishes a bundle. */
export function buildPublication(
  bundle: Bundle,
  key: string = trustedKey,
): LogRecord {
  const signed = { bundle, key, signature: "" };
  return { kind: RecordKind.BundlePublished, signed };
}

/** Starts an instance at an address. */
export function buildStart(
  instance: string,
  peerAddress: string = instance,
): LogRecord {
  return {
    kind: RecordKind.InstanceStarted,
    instance,
    failureDomain: "sapporo",
    peerAddress,
  };
}

/** Claims a pool's lease. */
export function buildClaim(
  pool: string,
  holder: string,
  options: { readonly replaces: LogPosition },
): LogRecord {
  return { kind: RecordKind.LeaseClaimed, pool, holder, ...options };
}

/** Marks an engine as draining. */
export function buildDrain(engine: string, epoch: LogPosition): LogRecord {
  const pool = getPoolName(engine);
  return { kind: RecordKind.DrainOpened, pool, epoch, engine };
}

/** Opens an order. */
export function buildOrder(
  engine: string,
  epoch: LogPosition,
  options: { readonly fenceOnly?: boolean; readonly version?: number } = {},
): LogRecord {
  return {
    kind: RecordKind.OrderOpened,
    pool: getPoolName(engine),
    epoch,
    engine,
    target: { role: EngineRole.Prefill, models: [] },
    version: options.version ?? 1,
    fenceOnly: options.fenceOnly ?? false,
  };
}

/** Closes an order. */
export function buildClosing(
  engine: string,
  order: LogPosition,
  options: {
    readonly epoch: LogPosition;
    readonly closing?: OrderClosing;
    readonly reached?: boolean;
  },
): LogRecord {
  return {
    kind: RecordKind.OrderClosed,
    pool: getPoolName(engine),
    epoch: options.epoch,
    engine,
    order,
    closing: options.closing ?? OrderClosing.Result,
    reached: options.reached ?? true,
    detail: "",
  };
}

/** Pool of an engine of the test bundle. */
export function getPoolName(engine: string): string {
  return engine.startsWith("c") ? "checked" : "ignored";
}

/** Histories by name, each of them a race that log order decides. */
export const histories: Readonly<Record<string, (folder: Folder) => void>> = {
  "two operators at once": ({ add }) => {
    add("ctl", buildPublication(buildTestBundle(1)));
    add("ctl", buildPublication({ ...buildTestBundle(2), author: "ann" }));
    add("ctl", buildPublication({ ...buildTestBundle(2), author: "ben" }));
    add("ctl", buildPublication(buildTestBundle(4, 2)));
    add("ctl", buildPublication(buildTestBundle(3), "stranger"));
  },
  "a rollback": ({ add }) => {
    add("ctl", buildPublication(buildTestBundle(1)));
    add("ctl", buildPublication(buildTestBundle(2)));
    add("ctl", buildPublication(buildTestBundle(1)));
    const { pools } = buildTestBundle(1);
    add("ctl", buildPublication({ ...buildTestBundle(3), pools }));
  },
  "a takeover on an engine that checks numbers": ({ add }) => {
    const epoch = addHolder(add, "c1");
    add("a", buildDrain("c1", epoch));
    add("a", buildOrder("c1", epoch));
    const next = add("b", buildClaim("checked", "b", { replaces: epoch }));
    add("b", buildDrain("c1", next));
    // Void: another order is open.
    add("b", buildOrder("c1", next));
    const fence = add("b", buildOrder("c1", next, { fenceOnly: true }));
    // Void: the deposed holder's order and renewal.
    add("a", buildOrder("c1", epoch));
    add("a", { kind: RecordKind.LeaseRenewed, pool: "checked", epoch });
    // Void: the engine does not have the number.
    add("b", buildClosing("c1", fence, { epoch: next, reached: false }));
    add("b", buildOrder("c1", next));
    add("b", buildClosing("c1", fence, { epoch: next }));
    add("b", buildOrder("c1", next));
  },
  "a takeover on an engine that ignores numbers": ({ add }) => {
    const epoch = addHolder(add, "i1");
    add("a", buildDrain("i1", epoch));
    const order = add("a", buildOrder("i1", epoch));
    const next = add("b", buildClaim("ignored", "b", { replaces: epoch }));
    add("b", buildDrain("i1", next));
    const closing = OrderClosing.SenderGone;
    // Void: an order is open, no number can be raised, the sender may live.
    add("b", buildOrder("i1", next));
    add("b", buildOrder("i1", next, { fenceOnly: true }));
    add("b", buildClosing("i1", order, { epoch: next, closing }));
    // A process at the address of the sender proves that the sender ended.
    add("a2", buildStart("a2", "a"));
    add("b", buildClosing("i1", order, { epoch: next, closing }));
    add("b", buildOrder("i1", next));
  },
  "a renewal that lands before a claim": ({ add }) => {
    const epoch = addHolder(add, "c1");
    const renewal = { kind: RecordKind.LeaseRenewed, pool: "checked", epoch };
    const renewed = add("a", renewal as LogRecord);
    // Void: the claimant had not read the renewal.
    add("b", buildClaim("checked", "b", { replaces: epoch }));
    add("b", buildClaim("checked", "b", { replaces: renewed }));
    add("a", renewal as LogRecord);
  },
  "a deposed holder that reports its own result": ({ add }) => {
    const epoch = addHolder(add, "i1");
    add("a", buildDrain("i1", epoch));
    const order = add("a", buildOrder("i1", epoch));
    add("b", buildClaim("ignored", "b", { replaces: epoch }));
    // Void: only the sender's result counts after its epoch.
    const closing = OrderClosing.Observed;
    add("a", buildClosing("i1", order, { epoch, closing }));
    add("b", buildClosing("i1", order, { epoch }));
    add("a", buildClosing("i1", order, { epoch }));
  },
};

/** Starts two instances under a first bundle; the first claims the engine's pool. */
function addHolder(add: Folder["add"], engine: string): LogPosition {
  add("a", buildStart("a"));
  add("b", buildStart("b"));
  add("ctl", buildPublication(buildTestBundle(1)));
  return add("a", buildClaim(getPoolName(engine), "a", { replaces: 0 }));
}
