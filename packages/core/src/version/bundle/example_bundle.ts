/** Example bundles for two fleets of different size. */
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
  /** Address of an endpoint; by default a different one of 192.0.2.0/24 for each. */
  readonly getAddress?: (endpoint: string) => string;
  /** SHA-256 of a caller's API key; by default one that matches no key. */
  readonly getKeyDigest?: (caller: string) => string;
}

/** Values by which the example bundles differ. */
interface FleetParameters {
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

/** A caller without its permitted models and services and its key digest. */
type ExampleCaller = Pick<
  BundleCaller,
  "name" | "group" | "priority" | "deadline_ms"
>;

const fleetParameters: Readonly<Record<ExampleFleet, FleetParameters>> = {
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
  const parameters = fleetParameters[fleet];
  const engines = createEndpoints("engine", {
    ...parameters,
    count: parameters.engines,
  });
  const endpoints = createEndpoints(parameters.service, {
    ...parameters,
    count: parameters.endpoints,
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
    failure_domains: createDomains(parameters),
    pools: [{
      name: parameters.pool,
      fence_check: FenceCheck.Checked,
      engines: engines.map((engine) => ({
        ...engine,
        address: getAddress(engine.name),
        role: EngineRole.Mixed,
      })),
      models: [{
        model: parameters.model,
        version: "1.0",
        adapters: parameters.adapters,
      }],
      role_change_weight: parameters.roleChangeWeight,
    }],
    services: [{
      name: parameters.service,
      endpoints: endpoints.map((endpoint) => ({
        ...endpoint,
        address: getAddress(endpoint.name),
      })),
      look_up_by_key: true,
    }],
    callers: parameters.callers.map((caller) => ({
      ...caller,
      key_sha256: getKeyDigest(caller.name),
      models: [parameters.model],
      services: [parameters.service],
    })),
    objectives: [...new Set(parameters.callers.map(({ group }) => group))].map(
      (group) => ({ group, model: parameters.model }),
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

function createDomains(parameters: FleetParameters): Bundle["failure_domains"] {
  return parameters.domains.map((name) => ({
    name,
    region: parameters.region,
    delay_ms: Object.fromEntries(
      parameters.domains.filter((other) => other !== name).map((
        other,
      ) => [other, parameters.delayMs]),
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
