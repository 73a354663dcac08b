/** Digests of busy instances, for tests. */
import { randomBytes } from "node:crypto";
import {
  type CrashWatch,
  createCrashWatch,
  EndSign,
  type ListedEndpoint,
  type PeerAddress,
  type PeerDigest,
  Unsettled,
} from "@trefoildoor/core";

const busyEndpoints = 3;
const allEndpoints = 45;
const maxWaitingTokens = 20_000;
/** Contacts of a digest, and their greatest age, in ms. */
const reportedContacts = 8;
const maxContactAgeMs = 2_000;
const maxConnectionAgeMs = 60_000;

function drawEndpoint(): string {
  return `i-${String(Math.floor(Math.random() * allEndpoints)).repeat(5)}`;
}

/** Builds a digest as an instance with a few open calls sends it. */
export function buildBusyDigest(
  self: PeerAddress,
  { sequence }: { readonly sequence: number },
): PeerDigest {
  const busy = Array.from({ length: busyEndpoints }, drawEndpoint);
  const parts = Object.fromEntries(
    busy.map((name) => [name, [randomBytes(6).toString("hex")]]),
  );
  return {
    ...self,
    start: "0a1b2c3d",
    sequence,
    sentMs: Math.round(performance.now()),
    version: 7,
    listNext: 62,
    listChanged: 62,
    listAgeMs: 310,
    readsStore: false,
    loads: Object.fromEntries(
      busy.map((name) => [name, {
        calls: 1,
        readTokens: Math.round(Math.random() * maxWaitingTokens),
        lateTokens: 0,
      }]),
    ),
    reads: { sent: parts, computed: parts },
    down: {},
    contacts: Object.fromEntries(
      Array.from({ length: reportedContacts }, (_, each) => [
        `10.0.0.${Math.floor(Math.random() * allEndpoints)}:${8_000 + each}`,
        [
          Math.floor(Math.random() * maxContactAgeMs),
          Math.floor(Math.random() * maxConnectionAgeMs),
        ] as const,
      ]),
    ),
    changing: [],
    stopping: false,
  };
}

const crashesOfPart = 5;

/** Creates the crash news of an instance that refuses calls with one prompt part. */
export function createBusyNews(): CrashWatch["collectReports"] {
  const watch = createCrashWatch({
    isAccepting: () => true,
    logEvent: () => undefined,
  });
  for (let each = 0; each < crashesOfPart; each++) {
    const endpoint: ListedEndpoint = {
      name: drawEndpoint(),
      service: "models",
      address: "10.0.0.1:1",
      failureDomain: "sapporo",
      slots: 64,
      leaving: false,
      startedAtMs: Date.now() + each,
    };
    watch.recordUnsettled(
      {
        id: randomBytes(8).toString("hex"),
        method: "POST",
        target: "/",
        host: "host",
        headers: [],
        body: Buffer.alloc(0),
        work: {
          model: "m",
          promptTokens: 1,
          outputTokens: 1,
          parts: ["bad", "own"].map((id) => ({ id, tokens: 1 })),
        },
        receivedMs: 0,
      },
      endpoint,
      { why: Unsettled.Broken },
    );
    watch.recordEnd(endpoint, EndSign.List);
  }
  return watch.collectReports;
}
