/** A whole fleet on loopback: stand-ins, relays and real instances. */
import { randomUUID } from "node:crypto";
import {
  buildGroup,
  type Bundle,
  createExampleBundle,
  createSigningKey,
  digestText,
  encodeGroup,
  type ExampleFleet,
  MemberKind,
  MemberState,
  RecordKind,
  signBundle,
  StreamName,
} from "@trefoildoor/core";
import {
  type LogStandin,
  type LogStandinOptions,
  startLogStandin,
} from "../log_service/index.ts";
import {
  type MemberListStandin,
  startMemberListStandin,
} from "../member_list/index.ts";
import {
  type EngineStandin,
  type EngineStandinOptions,
  startEngineStandin,
} from "../model_engine/index.ts";
import {
  type ServiceStandin,
  type ServiceStandinOptions,
  startServiceStandin,
} from "../plain_service/index.ts";
import { type Relay, startRelay } from "../relay/index.ts";
import {
  startWeightStoreStandin,
  type WeightStoreStandin,
} from "../weight_store/index.ts";
import {
  type InstanceProcess,
  startInstanceProcess,
} from "./instance_process.ts";
import { fleetPresets } from "./presets.ts";

/** Settings of a fleet. */
export interface FleetOptions {
  readonly fleet: ExampleFleet;
  /** Entry instances; the preset's number when absent. */
  readonly instances?: number;
  readonly engine?: EngineStandinOptions;
  readonly service?: ServiceStandinOptions;
  readonly log?: LogStandinOptions;
  readonly listLagMs?: number;
  /** Changes the example bundle before it is signed. */
  readonly editBundle?: (bundle: Bundle) => Bundle;
  /** Settings that each instance gets beside its own, by their YAML names. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Seed of the relays and engines. */
  readonly seed?: number;
}

/** An endpoint's stand-in behind its relay. */
export interface RelayedEndpoint<T> {
  readonly name: string;
  readonly failureDomain: string;
  readonly standin: T;
  readonly relay: Relay;
}

/** An instance with its own links to the platform. */
export interface FleetInstance extends InstanceProcess {
  readonly logRelay: Relay;
  readonly listRelay: Relay;
}

/** A running fleet. */
export interface Fleet {
  readonly log: LogStandin;
  readonly members: MemberListStandin;
  readonly weights: WeightStoreStandin;
  readonly engines: readonly RelayedEndpoint<EngineStandin>[];
  readonly services: readonly RelayedEndpoint<ServiceStandin>[];
  readonly bundle: Bundle;
  /** Instances that run, in the order of their start. */
  readonly listInstances: () => readonly FleetInstance[];
  /** API key of a caller of the bundle. */
  readonly getKey: (caller: string) => string;
  readonly startInstance: (name: string) => Promise<FleetInstance>;
  /** Marks the instance as leaving in the list and asks for a planned stop; resolves to its exit code. */
  readonly retireInstance: (
    instance: FleetInstance,
  ) => Promise<number | undefined>;
  /** Kills the instance and takes it from the list. */
  readonly killInstance: (instance: FleetInstance) => Promise<void>;
  /** Signs a bundle and appends it to the log as an operator does. */
  readonly publishBundle: (bundle: Bundle) => void;
  readonly close: () => Promise<void>;
}

const keyName = "operators";
const peerKey = "key that all instances of the fleet share";

/** Starts the stand-ins, publishes the first bundle and starts the instances. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const seed = options.seed ?? 1;
  const signingKey = createSigningKey();
  const log = await startLogStandin(options.log);
  const members = await startMemberListStandin({ lagMs: options.listLagMs });
  const weights = await startWeightStoreStandin();
  const shape = createExampleBundle(options.fleet);
  const engines = await startEndpoints(
    shape.pools.flatMap((pool) => pool.engines),
    {
      seed,
      start: (index) =>
        startEngineStandin(buildEngineOptions(shape, options, { index })),
    },
  );
  const services = await startEndpoints(
    shape.services.flatMap((service) => service.endpoints),
    {
      seed: seed + engines.length,
      start: () =>
        startServiceStandin({ lookUpByKey: true, ...options.service }),
    },
  );
  const endpoints = [...engines, ...services];
  const bundle = buildBundle(options, endpoints);
  const instances: FleetInstance[] = [];
  let published = 0;
  let started = 0;

  const publishBundle = (next: Bundle): void => {
    const signed = signBundle(next, {
      keyName,
      privateKey: signingKey.privateKey,
    });
    const group = buildGroup([{ kind: RecordKind.BundlePublished, signed }], {
      id: randomUUID(),
      writer: `operator ${++published}`,
      nextOffset: log.listEntries(StreamName.Control).length,
    });
    log.append(StreamName.Control, encodeGroup(group));
  };
  const startInstance = async (name: string): Promise<FleetInstance> => {
    const domains = bundle.failure_domains;
    const failureDomain = domains[started++ % domains.length]?.name ?? "";
    const links = await openLinks(started, { log, members, seed });
    const instanceProcess = await startInstanceProcess({
      name,
      failureDomain,
      settings: buildSettings(options, {
        name,
        failureDomain,
        log: links.logRelay.address,
        members: links.listRelay.address,
        weights: weights.address,
        publicKey: signingKey.publicKey,
      }),
    });
    const instance = { ...instanceProcess, ...links };
    instances.push(instance);
    members.add({
      name,
      kind: MemberKind.Instance,
      state: MemberState.Live,
      failureDomain,
      address: instance.callerAddress,
      peerAddress: instance.peerAddress,
    });
    return instance;
  };
  const forgetInstance = async (instance: FleetInstance): Promise<void> => {
    members.remove(instance.name);
    const index = instances.indexOf(instance);
    if (index >= 0) instances.splice(index, 1);
    await instance.logRelay.close();
    await instance.listRelay.close();
  };
  const killInstance = async (instance: FleetInstance): Promise<void> => {
    await instance.kill();
    await forgetInstance(instance);
  };
  addEndpoints(members, { engines, services });
  publishBundle(bundle);
  const count = options.instances ?? fleetPresets[options.fleet].instances;
  const names = Array.from(
    { length: count },
    (_, index) => `entry-${index + 1}`,
  );
  await Promise.all(names.map(startInstance));
  return {
    log,
    members,
    weights,
    engines,
    services,
    bundle,
    listInstances: () => instances,
    getKey: buildKey,
    startInstance,
    retireInstance: async (instance) => {
      members.setState(instance.name, MemberState.Leaving);
      const code = await instance.terminate();
      await forgetInstance(instance);
      return code;
    },
    killInstance,
    publishBundle,
    close: async () => {
      await Promise.all([...instances].map(killInstance));
      for (const { standin, relay } of endpoints) {
        await relay.close();
        await standin.close();
      }
      await Promise.all([log.close(), members.close(), weights.close()]);
    },
  };
}

function buildKey(caller: string): string {
  return `key-of-${caller}`;
}

function buildBundle(
  options: FleetOptions,
  endpoints: readonly RelayedEndpoint<unknown>[],
): Bundle {
  const addresses = new Map(
    endpoints.map(({ name, relay }) => [name, relay.address]),
  );
  const bundle = createExampleBundle(options.fleet, {
    getAddress: (name) => addresses.get(name) ?? "",
    getKeyDigest: (caller) => digestText(buildKey(caller)),
  });
  return options.editBundle?.(bundle) ?? bundle;
}

function buildEngineOptions(
  shape: Bundle,
  options: FleetOptions,
  { index }: { readonly index: number },
): EngineStandinOptions {
  const pool = shape.pools[0];
  const role = pool?.engines[index]?.role;
  return {
    fenceCheck: pool?.fence_check,
    target: role && pool ? { role, models: pool.models } : undefined,
    seed: (options.seed ?? 1) + index,
    ...options.engine,
  };
}

async function startEndpoints<T extends { readonly address: string }>(
  endpoints: readonly {
    readonly name: string;
    readonly failure_domain: string;
  }[],
  options: {
    readonly seed: number;
    readonly start: (index: number) => Promise<T>;
  },
): Promise<readonly RelayedEndpoint<T>[]> {
  const started = endpoints.map(async (endpoint, index) => {
    const standin = await options.start(index);
    const relay = await startRelay({
      target: standin.address,
      seed: options.seed + index,
    });
    const { name, failure_domain: failureDomain } = endpoint;
    return { name, failureDomain, standin, relay };
  });
  return await Promise.all(started);
}

async function openLinks(
  count: number,
  options: {
    readonly log: LogStandin;
    readonly members: MemberListStandin;
    readonly seed: number;
  },
): Promise<{ readonly logRelay: Relay; readonly listRelay: Relay }> {
  const seed = options.seed + count;
  const target = options.log.address;
  const listTarget = options.members.address;
  return {
    logRelay: await startRelay({ target, seed }),
    listRelay: await startRelay({ target: listTarget, seed }),
  };
}

function addEndpoints(
  members: MemberListStandin,
  endpoints: {
    readonly engines: readonly RelayedEndpoint<unknown>[];
    readonly services: readonly RelayedEndpoint<unknown>[];
  },
): void {
  const kinds = [
    [MemberKind.Engine, endpoints.engines],
    [MemberKind.Service, endpoints.services],
  ] as const;
  for (const [kind, list] of kinds) {
    for (const { name, failureDomain, relay } of list) {
      const { address } = relay;
      const state = MemberState.Live;
      members.add({ name, kind, state, failureDomain, address });
    }
  }
}

/** What the settings of one instance depend on. */
interface SettingsParts {
  readonly name: string;
  readonly failureDomain: string;
  readonly log: string;
  readonly members: string;
  readonly weights: string;
  readonly publicKey: string;
}

function buildSettings(options: FleetOptions, parts: SettingsParts): unknown {
  return {
    "instance": parts.name,
    "failure_domain": parts.failureDomain,
    "callers": { host: "127.0.0.1", port: 0 },
    "peers": { host: "127.0.0.1", port: 0, key: peerKey },
    "platform": {
      log: parts.log,
      members: parts.members,
      weights: parts.weights,
    },
    "signing_keys": { [keyName]: parts.publicKey },
    ...options.settings,
  };
}
