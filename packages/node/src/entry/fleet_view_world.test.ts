/** An instance's view of the fleet on a paused clock, beside a simulated reader of the store. */
import type {
  ListedEndpoint,
  ListUpdate,
  PeerDigest,
  ReadableTopic,
  TopicPage,
  TopicRecord,
  WritableTopic,
} from "@trefoildoor/core";
import { waitFor } from "@trefoildoor/core";
import type { PausedClock } from "@trefoildoor/testing";
import type { FleetView } from "./fleet_view_types.ts";
import type { FleetState } from "./peer_link.ts";

/** State of one scenario. */
export interface ViewWorld {
  viewClock?: PausedClock;
  stopView?: AbortController;
  view: FleetView;
  /** Records of the list's topic. */
  listRecords: TopicRecord<ListedEndpoint>[];
  /** When the instance last read the list itself, in ms of the paused clock. */
  listReadMs: number;
  simulatedReader: SimulatedReader;
  /** Era that the store states, and how long it takes to answer, in ms. */
  storeEra?: number;
  storeDelayMs?: number;
  /** Times that the store has counted as restored. */
  restored?: number;
  storeFails?: boolean;
  /** Changes that the instance has passed on last, and when. */
  passedOn?: ListUpdate;
  passedOnMs?: number;
  regainedMs?: number;
  /** States fetched from another failure domain since it told of a change last. */
  fetchedFar?: number;
  /** Called once while the instance takes in its next digest. */
  onNextDigest?: () => void;
}

/** Another instance that reads the store every second and sends a digest after each read. */
export interface SimulatedReader {
  readonly name: string;
  /** Offset of its clock from the instance's, in ms. */
  readonly clockOffsetMs: number;
  delayMs: number;
  delayGrowthMs: number;
  maxDelayMs: number;
  sequence: number;
  /** Whether its digests are lost. */
  silent: boolean;
  /** Whether another instance can fetch its state. */
  handsOverState: boolean;
  /** Offset from which on its digests contain the changes; undefined if they contain none. */
  updateFrom: number | undefined;
  /** Era of the store in its digests; undefined if they state none. */
  era?: number;
}

const readIntervalMs = 1_000;
/** Service of all endpoints. */
export const service = "drafting";

/** Builds an entry of the list. */
export function buildEndpoint(name: string, leaving: boolean): ListedEndpoint {
  return {
    name,
    service,
    address: "10.0.0.9:80",
    failureDomain: "sapporo",
    slots: 4,
    leaving,
    startedAtMs: 1,
  };
}

/** Creates a topic without records. */
export function createEmptyTopic<Value>(
  world: ViewWorld,
): WritableTopic<Value> {
  return {
    async fetchNewest(): Promise<TopicPage<Value>> {
      await waitFor(world.storeDelayMs ?? 0);
      return { records: [], next: 0, era: world.storeEra };
    },
    async read(from, { waitMs, signal }): Promise<TopicPage<Value>> {
      await waitFor(waitMs, signal);
      return { records: [], next: from, era: world.storeEra };
    },
    append: () => Promise.resolve(0),
  };
}

/** Opens the list's topic, which fails while the store does. */
export function openList(world: ViewWorld): ReadableTopic<ListedEndpoint> {
  return {
    async fetchNewest(): Promise<TopicPage<ListedEndpoint>> {
      await waitFor(world.storeDelayMs ?? 0);
      return {
        records: world.listRecords,
        next: world.listRecords.length,
        era: world.storeEra,
      };
    },
    read(from): Promise<TopicPage<ListedEndpoint>> {
      if (world.storeFails) return Promise.reject(new Error("store is down"));
      world.listReadMs = performance.now();
      return Promise.resolve({
        records: world.listRecords.slice(from),
        next: world.listRecords.length,
        era: world.storeEra,
      });
    },
  };
}

/** Builds the digest that the simulated reader sends now. */
export function buildReaderDigest(world: ViewWorld): PeerDigest {
  const { simulatedReader: reader, listRecords } = world;
  return {
    name: reader.name,
    address: "10.0.0.1:1",
    failureDomain: "sapporo",
    start: "first",
    sequence: reader.sequence += 1,
    sentMs: performance.now() + reader.clockOffsetMs,
    version: 0,
    listNext: listRecords.length,
    listChanged: listRecords.length,
    listAgeMs: 0,
    readsStore: true,
    storeEra: reader.era,
    loads: {},
    reads: { sent: {}, computed: {} },
    down: {},
    changing: [],
    stopping: false,
    update: reader.updateFrom === undefined ? undefined : {
      from: reader.updateFrom,
      records: listRecords.slice(reader.updateFrom),
    },
  };
}

/** Sends a digest each second, which arrives after the reader's current delay. */
export async function runReader(
  world: ViewWorld,
  signal: AbortSignal,
): Promise<void> {
  const { simulatedReader: reader } = world;
  while (!signal.aborted) {
    const digest = buildReaderDigest(world);
    const endpoints = world.listRecords.flatMap(({ value }) => value ?? []);
    const fetchState = (): Promise<FleetState> =>
      reader.handsOverState
        ? Promise.resolve({
          endpoints: {
            next: digest.listNext,
            changed: digest.listChanged,
            endpoints,
            lapsed: [],
          },
        })
        : Promise.reject(new Error("state is not handed over"));
    if (!reader.silent) {
      setTimeout(
        () => world.view.acceptDigest(digest, fetchState),
        reader.delayMs,
      );
    }
    reader.delayMs = Math.min(
      reader.delayMs + reader.delayGrowthMs,
      reader.maxDelayMs,
    );
    await waitFor(readIntervalMs, signal);
  }
}
