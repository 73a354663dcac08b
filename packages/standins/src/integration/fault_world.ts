/** Real instances for tests of faults, and what their platform and endpoints saw. */
import { strict as assert } from "node:assert";
import {
  type Bundle,
  ExampleFleet,
  type FenceCheck,
  type LogRecord,
  outcomeHeader,
  recordGroupSchema,
  type RecordKind,
  StreamName,
} from "@trefoildoor/core";
import { request } from "undici";
import {
  type Fleet,
  type FleetInstance,
  type FleetOptions,
  startFleet,
} from "../fleet/index.ts";

/** State of one scenario. */
export interface FaultWorld {
  faultFleet?: Fleet;
  /** Names of the scenario's instances, as steps call them. */
  faultInstances: Map<string, FleetInstance>;
  /** What callers were told, in order. */
  told: ToldOutcome[];
}

/** What a caller was told about a booking. */
export interface ToldOutcome {
  readonly key: string;
  /** `done`, `not_run` or `unknown`; `none` when no answer came. */
  readonly outcome: string;
  readonly status: number;
  readonly body: string;
  /** Runs of the key at the desks when the caller was told. */
  readonly runs: number;
}

/** A record with its writer, as the log holds it. */
export interface WrittenRecord {
  readonly writer: string;
  readonly record: LogRecord;
}

/** Time that a step with real processes may take, in ms. */
export const faultStepTimeoutMs = 120_000;

/** Starts a fleet with instances of the given names. */
export async function startFaultFleet(
  world: FaultWorld,
  options: Partial<FleetOptions> & { readonly names: readonly string[] },
): Promise<Fleet> {
  const { names, ...rest } = options;
  const fleet = await startFleet({
    fleet: ExampleFleet.Association,
    instances: 0,
    ...rest,
  });
  world.faultFleet = fleet;
  world.faultInstances = new Map();
  world.told = [];
  for (const name of names) {
    world.faultInstances.set(name, await fleet.startInstance(name));
  }
  return fleet;
}

/** Leaves the first engines of each pool, all of which may be away. */
export function buildSmallPools(
  bundle: Bundle,
  options: { readonly fenceCheck: FenceCheck; readonly engines: number },
): Bundle {
  const pools = bundle.pools.map((pool) => ({
    ...pool,
    engines: pool.engines.slice(0, options.engines),
    fence_check: options.fenceCheck,
    prefill_floor: 0,
    decode_floor: 0,
  }));
  return { ...bundle, pools };
}

/** The bundle that follows another one, with all models at a version. */
export function buildNextBundle(bundle: Bundle, version: string): Bundle {
  const pools = bundle.pools.map((pool) => ({
    ...pool,
    models: pool.models.map((model) => ({ ...model, version })),
  }));
  const parent = bundle.version;
  return { ...bundle, pools, version: parent + 1, parent };
}

/** The fleet of a scenario. */
export function getFleet(world: FaultWorld): Fleet {
  assert(world.faultFleet, "no fleet runs");
  return world.faultFleet;
}

/** An instance by the name that steps give it. */
export function getInstance(world: FaultWorld, name: string): FleetInstance {
  const instance = world.faultInstances.get(name);
  assert(instance, `no instance "${name}"`);
  return instance;
}

/** Whether a writer in the log is a start of the named instance. */
export function isWriter(writer: string, instance: FleetInstance): boolean {
  return writer.startsWith(`${instance.name}~`);
}

/** Decodes the records of one log entry. */
export function parseRecords(payload: string): readonly WrittenRecord[] {
  const group = recordGroupSchema.safeParse(JSON.parse(payload)).data;
  if (!group) return [];
  return group.records.map((record) => ({ writer: group.writer, record }));
}

/** All records of a kind that a stream holds. */
export function listRecordsOf(
  fleet: Fleet,
  stream: StreamName,
  options: { readonly kind: RecordKind },
): readonly WrittenRecord[] {
  return fleet.log.listEntries(stream).flatMap(({ payload }) =>
    parseRecords(payload)
  ).filter(({ record }) => record.kind === options.kind);
}

/** Calls back once when an instance's record of a kind is in the log, before its append is answered. */
export function onRecord(
  fleet: Fleet,
  instance: FleetInstance,
  options: {
    readonly kind: RecordKind;
    readonly stream: StreamName;
    readonly run: () => void;
  },
): void {
  const stop = fleet.log.onAppend((stream, entry) => {
    if (stream !== options.stream) return;
    const isSeen = parseRecords(entry.payload).some(({ writer, record }) =>
      record.kind === options.kind && isWriter(writer, instance)
    );
    if (!isSeen) return;
    stop();
    options.run();
  });
}

/** Sends a booking to one instance and notes what its caller was told. */
export async function sendBooking(
  world: FaultWorld,
  instance: FleetInstance,
  options: { readonly key: string },
): Promise<ToldOutcome> {
  const fleet = getFleet(world);
  const service = fleet.bundle.services[0]?.name ?? "";
  const caller = fleet.bundle.callers.find(({ services }) =>
    services.includes(service)
  );
  const { key } = options;
  const told = await request(
    `http://${instance.callerAddress}/services/${service}/bookings`,
    {
      method: "POST",
      headers: {
        "content-type": "application/json",
        "authorization": `Bearer ${fleet.getKey(caller?.name ?? "")}`,
        "idempotency-key": key,
      },
      body: JSON.stringify({ item: key }),
    },
  ).then(async (answer) => ({
    outcome: String(answer.headers[outcomeHeader]),
    status: answer.statusCode,
    body: await answer.body.text(),
  })).catch(() => ({ outcome: "none", status: 0, body: "" }));
  const noted = { key, ...told, runs: countDeskRuns(fleet, key) };
  world.told.push(noted);
  return noted;
}

/** Runs of a key over all desks; desks see keys made unique to the caller. */
export function countDeskRuns(fleet: Fleet, key: string): number {
  const runs = fleet.services.flatMap(({ standin }) => standin.listRuns());
  return runs.filter((run) => run.key?.endsWith(`/${key}`)).length;
}

/** Checks what callers were told against what the desks ran. */
export function checkBookings(world: FaultWorld): void {
  const fleet = getFleet(world);
  for (const { key, outcome, body } of world.told) {
    const runs = countDeskRuns(fleet, key);
    assert(runs <= 1, `${key} ran ${runs} times`);
    const all = world.told.filter((one) => one.key === key);
    if (all.every((one) => one.outcome === "not_run")) {
      assert.equal(runs, 0, `${key} ran and was only called not run`);
    }
    if (outcome === "done") {
      assert.equal(runs, 1, `${key} was called done and did not run`);
      assert.equal(JSON.parse(body).item, key, "answer of another booking");
    }
  }
}
