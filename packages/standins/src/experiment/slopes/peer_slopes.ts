/** What the exchange with peers costs a node, both ways. */
import { emptyControlState } from "@trefoildoor/core";
import {
  openPeerClient,
  openPeerServer,
  type PeerClient,
  type PeerDigest,
  type PeerServer,
} from "@trefoildoor/node";
import { listNames } from "./fleet_sizes.ts";
import { measureProcessor, measureWire } from "./measure.ts";
import { Quantity, type SlopePoint, type SlopeSeries } from "./slope.ts";

const warmUpRounds = 100;
const peerCounts = [1, 2, 4, 8];
const poolCounts = [1, 8, 24];
const settings = {
  host: "127.0.0.1",
  port: 0,
  key: "slopes-of-the-exchange",
  "exchange_interval_ms": 500,
};

/**
 * Measures exchanges. Client and server run in this process: a node answers
 * as many exchanges as it starts, on average.
 */
export async function measurePeers(): Promise<readonly SlopeSeries[]> {
  const names = listNames("entry", Math.max(...peerCounts));
  const servers = await Promise.all(names.map(openServer));
  const clients = servers.map(({ address }) =>
    openPeerClient(address, { settings, environment: {} })
  );
  for (let round = 0; round < warmUpRounds; round++) {
    await exchangeAll(clients, 1);
  }
  const processor: SlopePoint[] = [];
  const wire: SlopePoint[] = [];
  for (const size of peerCounts) {
    const exchange = (): Promise<unknown> =>
      exchangeAll(clients.slice(0, size), 1);
    wire.push({ size, value: await measureWire(exchange) });
    processor.push({ size, value: await measureProcessor(exchange) });
  }
  const pools: SlopePoint[] = [];
  for (const size of poolCounts) {
    const exchange = (): Promise<unknown> =>
      exchangeAll(clients.slice(0, 1), size);
    pools.push({ size, value: await measureWire(exchange) });
  }
  await Promise.all(clients.map((client) => client.close()));
  await Promise.all(servers.map((server) => server.close()));
  const shared = { of: "round of exchanges, one pool", per: "peer" };
  return [
    {
      name: "exchange",
      quantity: Quantity.Processor,
      ...shared,
      points: processor,
    },
    { name: "exchange-wire", quantity: Quantity.Wire, ...shared, points: wire },
    {
      name: "exchange-wire/pool",
      quantity: Quantity.Wire,
      of: "exchange",
      per: "pool with demand, at either end",
      points: pools,
    },
  ];
}

/** Answers with a digest as large as the one that it is sent. */
function openServer(instance: string): Promise<PeerServer> {
  return openPeerServer(settings, {
    dependencies: {
      exchange: ({ demand }) => ({ ...buildDigest(0), instance, demand }),
      getControlState: () => emptyControlState,
    },
    environment: {},
    onRefused: () => undefined,
  });
}

function exchangeAll(
  clients: readonly PeerClient[],
  pools: number,
): Promise<unknown> {
  return Promise.all(
    clients.map((client) => client.exchange(buildDigest(pools))),
  );
}

/** Digest of an instance with three intervals of demand on each pool. */
function buildDigest(pools: number): PeerDigest {
  const demand = listNames("pool", pools).flatMap((pool) =>
    [1, 2, 3].map((second) => ({
      instance: "entry-1",
      pool,
      fromMs: 1_767_225_600_000 + second * 1_000,
      toMs: 1_767_225_601_000 + second * 1_000,
      requests: 31,
      promptTokens: 93_000,
      outputTokens: 11_000,
      refused: 0,
    }))
  );
  return {
    instance: "entry-1",
    failureDomain: "domain-1",
    controlNext: 4_096_000,
    version: 9_300,
    stopping: false,
    demand,
    evidence: { instance: "entry-1", digests: [], trials: [] },
    leaving: [],
  };
}
