/** Digests of busy instances, for tests. */
import { randomBytes } from "node:crypto";
import type { PeerAddress, PeerDigest } from "@trefoildoor/core";

const busyEndpoints = 3;
const allEndpoints = 45;
const maxWaitingTokens = 20_000;

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
    changing: [],
    stopping: false,
  };
}
