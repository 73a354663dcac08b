/** Example bundles for two sizes of fleet. */
import {
  type Bundle,
  type BundleCaller,
  bundleSchema,
  EngineRole,
  FenceCheck,
  Priority,
} from "../../types/index.ts";
import { disabledKeyDigest } from "./check_bundle.ts";

/** Fleets for which there is an example. */
export enum ExampleFleet {
  /** Six model engines and three booking servers in three failure domains. */
  Calderas = "calderas",
  /** Eight model engines and three booking-desk servers in three failure domains. */
  Association = "association",
}

/** Options of `createExampleBundle`. */
export interface ExampleBundleOptions {
  readonly author?: string;
  /** Address of an endpoint; by default one of 192.0.2.0/24 each. */
  readonly getAddress?: (endpoint: string) => string;
  /** SHA-256 of a caller's API key; by default one that no key has. */
  readonly getKeyDigest?: (caller: string) => string;
}

/** What an example states about a fleet. */
interface ExampleShape {
  readonly domains: readonly string[];
  /** One-way delay between failure domains, in ms. */
  readonly delayMs: number;
  readonly region: string;
  readonly pool: string;
  readonly engines: number;
  readonly model: string;
  readonly adapters: readonly string[];
  readonly service: string;
  readonly endpoints: number;
  readonly roleChangeWeight: number;
  readonly callers: readonly ExampleCaller[];
}

/** A caller before its rights and key are filled in. */
type ExampleCaller = Pick<
  BundleCaller,
  "name" | "group" | "priority" | "deadline_ms"
>;

const shapes: Readonly<Record<ExampleFleet, ExampleShape>> = {
  [ExampleFleet.Calderas]: {
    domains: ["santiago-a", "santiago-b", "santiago-c"],
    delayMs: 3,
    region: "santiago",
    pool: "drafting",
    engines: 6,
    model: "drafter",
    adapters: ["reminders", "visit-summaries", "reply-classes"],
    service: "booking",
    endpoints: 3,
    roleChangeWeight: 2,
    callers: [
      createCaller("branch-valparaiso", {
        group: "branches",
        priority: Priority.Normal,
      }),
      createCaller("call-centre", {
        group: "agents",
        priority: Priority.Interactive,
      }),
      createCaller("reminder-batch", {
        group: "batches",
        priority: Priority.Batch,
      }),
    ],
  },
  [ExampleFleet.Association]: {
    domains: ["sapporo", "asahikawa", "hakodate"],
    delayMs: 6,
    region: "hokkaido",
    pool: "drafting",
    engines: 8,
    model: "contract-reader",
    adapters: ["venue-rules", "quotes"],
    service: "booking-desk",
    endpoints: 3,
    roleChangeWeight: 20,
    callers: [
      createCaller("shop-otaru", {
        group: "counters",
        priority: Priority.Interactive,
      }),
      createCaller("van-furano", {
        group: "vans",
        priority: Priority.Interactive,
      }),
      createCaller("shop-kushiro", {
        group: "counters",
        priority: Priority.Normal,
      }),
    ],
  },
};

/** Creates a valid first bundle for a fleet. */
export function createExampleBundle(
  fleet: ExampleFleet,
  options: ExampleBundleOptions = {},
): Bundle {
  const shape = shapes[fleet];
  const engines = createEndpoints("engine", { ...shape, count: shape.engines });
  const endpoints = createEndpoints(shape.service, {
    ...shape,
    count: shape.endpoints,
  });
  const names = [...engines, ...endpoints].map(({ name }) => name);
  const getAddress = options.getAddress ??
    ((name: string): string => `192.0.2.${names.indexOf(name) + 1}:7000`);
  const getKeyDigest = options.getKeyDigest ??
    ((): string => disabledKeyDigest);
  return bundleSchema.parse({
    version: 1,
    parent: 0,
    author: options.author ?? "operator",
    note: `first bundle of ${fleet}`,
    failure_domains: createDomains(shape),
    pools: [{
      name: shape.pool,
      fence_check: FenceCheck.Checked,
      engines: engines.map((engine) => ({
        ...engine,
        address: getAddress(engine.name),
        role: EngineRole.Mixed,
      })),
      models: [{
        model: shape.model,
        version: "1.0",
        adapters: shape.adapters,
      }],
      role_change_weight: shape.roleChangeWeight,
    }],
    services: [{
      name: shape.service,
      endpoints: endpoints.map((endpoint) => ({
        ...endpoint,
        address: getAddress(endpoint.name),
      })),
      look_up_by_key: true,
    }],
    callers: shape.callers.map((caller) => ({
      ...caller,
      key_sha256: getKeyDigest(caller.name),
      models: [shape.model],
      services: [shape.service],
    })),
    objectives: [...new Set(shape.callers.map(({ group }) => group))].map(
      (group) => ({ group, model: shape.model }),
    ),
  });
}

function createCaller(
  name: string,
  { group, priority }: { readonly group: string; readonly priority: Priority },
): ExampleCaller {
  const deadlineMs = priority === Priority.Batch ? 600_000 : 30_000;
  return { name, group, priority, "deadline_ms": deadlineMs };
}

function createDomains(shape: ExampleShape): Bundle["failure_domains"] {
  return shape.domains.map((name) => ({
    name,
    region: shape.region,
    delay_ms: Object.fromEntries(
      shape.domains.filter((other) => other !== name).map((
        other,
      ) => [other, shape.delayMs]),
    ),
  }));
}

function createEndpoints(
  prefix: string,
  { count, domains }: {
    readonly count: number;
    readonly domains: readonly string[];
  },
): readonly { readonly name: string; readonly failure_domain: string }[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `${prefix}-${index + 1}`,
    failure_domain: domains[index % domains.length] ?? "",
  }));
}
