/** Histories of the control stream for tests, and a fold that applies them. */
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

/** Folds records in order and assigns their positions, one record per log entry. */
export interface ControlFolder {
  readonly getState: () => ControlState;
  /** Folds a record and returns its position. */
  readonly add: (writer: string, record: LogRecord) => LogPosition;
}

/** Name of the only signing key that the tests trust. */
export const trustedKey = "operators";

/** Creates a fold of an empty stream. */
export function createControlFolder(): ControlFolder {
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

/** Replaces the signature check; only the key's name is compared. */
export function verifySignature(signed: { readonly key: string }): boolean {
  return signed.key === trustedKey;
}

/**
 * Builds a bundle with one pool that checks fencing numbers and one that
 * ignores them.
 */
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

/** Builds the record that publishes a bundle. */
export function buildPublication(
  bundle: Bundle,
  key: string = trustedKey,
): LogRecord {
  const signed = { bundle, key, signature: "" };
  return { kind: RecordKind.BundlePublished, signed };
}

/** Builds the record of an instance's start; by default its name is its address. */
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

/**
 * Builds a claim of a pool's lease; `replaces` is the claim or renewal that
 * the claimant read last.
 */
export function buildClaim(
  pool: string,
  holder: string,
  options: { readonly replaces: LogPosition },
): LogRecord {
  return { kind: RecordKind.LeaseClaimed, pool, holder, ...options };
}

/** Builds the record that marks an engine as draining. */
export function buildDrain(engine: string, epoch: LogPosition): LogRecord {
  const pool = getPoolOfEngine(engine);
  return { kind: RecordKind.DrainOpened, pool, epoch, engine };
}

/** Builds the record that opens an order, by default under version 1. */
export function buildOrder(
  engine: string,
  epoch: LogPosition,
  options: { readonly fenceOnly?: boolean; readonly version?: number } = {},
): LogRecord {
  return {
    kind: RecordKind.OrderOpened,
    pool: getPoolOfEngine(engine),
    epoch,
    engine,
    target: { role: EngineRole.Prefill, models: [] },
    version: options.version ?? 1,
    fenceOnly: options.fenceOnly ?? false,
  };
}

/** Builds the record that closes an order, by default with the sender's own result. */
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
    pool: getPoolOfEngine(engine),
    epoch: options.epoch,
    engine,
    order,
    closing: options.closing ?? OrderClosing.Result,
    reached: options.reached ?? true,
    detail: "",
  };
}

/** Pool of an engine of the test bundle. */
export function getPoolOfEngine(engine: string): string {
  return engine.startsWith("c") ? "checked" : "ignored";
}

/**
 * Histories by name; in each, the order of the log decides between concurrent
 * writers.
 */
export const histories: Readonly<
  Record<string, (folder: ControlFolder) => void>
> = {
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
    const epoch = addLeaseHolder(add, "c1");
    add("a", buildDrain("c1", epoch));
    add("a", buildOrder("c1", epoch));
    const next = add("b", buildClaim("checked", "b", { replaces: epoch }));
    add("b", buildDrain("c1", next));
    // Invalid: another order is open.
    add("b", buildOrder("c1", next));
    const fence = add("b", buildOrder("c1", next, { fenceOnly: true }));
    // Invalid: the deposed holder's order and renewal.
    add("a", buildOrder("c1", epoch));
    add("a", { kind: RecordKind.LeaseRenewed, pool: "checked", epoch });
    // Invalid: the engine does not have the fencing number.
    add("b", buildClosing("c1", fence, { epoch: next, reached: false }));
    add("b", buildOrder("c1", next));
    add("b", buildClosing("c1", fence, { epoch: next }));
    add("b", buildOrder("c1", next));
  },
  "a takeover on an engine that ignores numbers": ({ add }) => {
    const epoch = addLeaseHolder(add, "i1");
    add("a", buildDrain("i1", epoch));
    const order = add("a", buildOrder("i1", epoch));
    const next = add("b", buildClaim("ignored", "b", { replaces: epoch }));
    add("b", buildDrain("i1", next));
    const closing = OrderClosing.SenderGone;
    // Invalid: an order is open, the engine ignores fencing numbers, and the
    // sender may still run.
    add("b", buildOrder("i1", next));
    add("b", buildOrder("i1", next, { fenceOnly: true }));
    add("b", buildClosing("i1", order, { epoch: next, closing }));
    // A new instance at the sender's address proves that the sender has ended.
    add("a2", buildStart("a2", "a"));
    add("b", buildClosing("i1", order, { epoch: next, closing }));
    add("b", buildOrder("i1", next));
  },
  "a renewal that lands before a claim": ({ add }) => {
    const epoch = addLeaseHolder(add, "c1");
    const renewal = { kind: RecordKind.LeaseRenewed, pool: "checked", epoch };
    const renewed = add("a", renewal as LogRecord);
    // Invalid: the claimant had not read the renewal.
    add("b", buildClaim("checked", "b", { replaces: epoch }));
    add("b", buildClaim("checked", "b", { replaces: renewed }));
    add("a", renewal as LogRecord);
  },
  "a deposed holder that reports its own result": ({ add }) => {
    const epoch = addLeaseHolder(add, "i1");
    add("a", buildDrain("i1", epoch));
    const order = add("a", buildOrder("i1", epoch));
    add("b", buildClaim("ignored", "b", { replaces: epoch }));
    // Invalid: only the sender's own result is valid after its epoch.
    const closing = OrderClosing.Observed;
    add("a", buildClosing("i1", order, { epoch, closing }));
    add("b", buildClosing("i1", order, { epoch }));
    add("a", buildClosing("i1", order, { epoch }));
  },
};

/** Starts two instances under a first bundle; the first claims the engine's pool. */
function addLeaseHolder(
  add: ControlFolder["add"],
  engine: string,
): LogPosition {
  add("a", buildStart("a"));
  add("b", buildStart("b"));
  add("ctl", buildPublication(buildTestBundle(1)));
  return add("a", buildClaim(getPoolOfEngine(engine), "a", { replaces: 0 }));
}
