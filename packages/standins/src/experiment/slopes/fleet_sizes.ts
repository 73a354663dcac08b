/** Bundles, reports and records of a chosen size. */
import {
  type Bundle,
  bundleSchema,
  createSigningKey,
  digestText,
  EngineRole,
  type LoadReport,
  type LogRecord,
  OrderClosing,
  Priority,
  RecordKind,
  signBundle,
  type SignedBundle,
} from "@trefoildoor/core";

const enginesPerPool = 100;
const domainCount = 17;
const endpointsPerRack = 250;

/** Sizes of a fleet. */
export interface FleetSize {
  readonly engines: number;
  readonly callers: number;
}

const key = createSigningKey();

/** Public keys under which `signSized` signs. */
export const sizedKeys: ReadonlyMap<string, string> = new Map([
  ["ops", key.publicKey],
]);

/** Signs a bundle of a chosen size. */
export function signSized(bundle: Bundle): SignedBundle {
  return signBundle(bundle, { keyName: "ops", privateKey: key.privateKey });
}

/** Builds a valid bundle of a chosen size. */
export function buildSizedBundle(
  size: FleetSize,
  version = 1,
): Bundle {
  const pools = Math.ceil(size.engines / enginesPerPool);
  return bundleSchema.parse({
    version,
    parent: version - 1,
    author: "operator",
    failure_domains: listNames("domain", domainCount).map((name) => ({ name })),
    pools: Array.from({ length: pools }, (_, pool) => {
      const first = pool * enginesPerPool;
      const count = Math.min(enginesPerPool, size.engines - first);
      return {
        name: `pool-${pool}`,
        fence_check: "checked",
        engines: Array.from(
          { length: count },
          (_, index) => buildEngine(first + index),
        ),
        models: [{ model: `model-${pool % 5}`, version: "1.0" }],
      };
    }),
    callers: listNames("caller", size.callers).map((name) => ({
      name,
      key_sha256: digestText(name),
      models: ["model-0"],
      priority: Priority.Normal,
      group: `group-${name.length}`,
    })),
  });
}

/** Name of the engine at an index. */
export function formatEngine(index: number): string {
  return `engine-${index}`;
}

/** Builds a report of a busy engine with a full list of cached prefixes. */
export function buildReport(sequence: number, prefixes = 64): LoadReport {
  return {
    sequence,
    startId: "11111111-2222-4333-8444-555555555555",
    ageMs: 200,
    role: EngineRole.Mixed,
    changing: false,
    running: 24,
    queued: 3,
    queuedPromptTokens: 9_000,
    kvBlocksUsed: 180,
    kvBlocksTotal: 256,
    prefillTokensPerSecond: 20_000,
    decodeTokensPerSecond: 2_000,
    cachedPrefixes: Array.from(
      { length: prefixes },
      (_, index) => digestText(`${sequence} ${index}`).slice(0, 16),
    ),
  };
}

/** Records of one engine's change, as the lease holder and `instances` write them. */
export function listChangeRecords(
  engine: string,
  options: {
    readonly pool: string;
    readonly epoch: number;
    readonly instances: readonly string[];
  },
): readonly LogRecord[] {
  const { pool, epoch, instances } = options;
  const at = { pool, epoch, engine };
  const target = {
    role: EngineRole.Mixed,
    models: [{ model: "model-0", version: "1.0", adapters: [] }],
  };
  return [
    { kind: RecordKind.DrainOpened, ...at },
    ...instances.map((instance) => ({
      kind: RecordKind.DrainConfirmed as const,
      engine,
      drain: epoch,
      instance,
    })),
    {
      kind: RecordKind.OrderOpened,
      ...at,
      target,
      version: 1,
      fenceOnly: false,
    },
    {
      kind: RecordKind.OrderClosed,
      ...at,
      order: epoch,
      closing: OrderClosing.Result,
      reached: true,
      detail: "",
    },
    { kind: RecordKind.DrainClosed, ...at, drain: epoch },
  ];
}

function buildEngine(index: number): Record<string, unknown> {
  const rack = Math.floor(index / endpointsPerRack);
  return {
    name: formatEngine(index),
    failure_domain: `domain-${index % domainCount}`,
    address: `10.${rack}.0.${index % endpointsPerRack + 1}:7000`,
    role: EngineRole.Mixed,
  };
}

/** Names with an index, for instance `entry-7`. */
export function listNames(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
}
