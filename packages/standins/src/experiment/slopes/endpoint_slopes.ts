/** What polling endpoints costs a node. */
import { type EngineClient, openEndpointClients } from "@trefoildoor/core";
import { formatEngine } from "./fleet_sizes.ts";
import { measureProcessor, measureWire } from "./measure.ts";
import { openStandinHost } from "./open_host.ts";
import { Quantity, type SlopePoint, type SlopeSeries } from "./slope.ts";

const warmUpRounds = 50;
const engineCounts = [16, 48, 96];

/** Measures one poll of every engine's load over HTTP. */
export async function measureEndpoints(): Promise<readonly SlopeSeries[]> {
  const host = await openStandinHost(Math.max(...engineCounts));
  const clients = openEndpointClients();
  const engines = host.engines.map((address, index) =>
    clients.openEngine(formatEngine(index), address)
  );
  for (let round = 0; round < warmUpRounds; round++) await fetchLoads(engines);
  const processor: SlopePoint[] = [];
  const wire: SlopePoint[] = [];
  for (const size of engineCounts) {
    const some = engines.slice(0, size);
    const poll = (): Promise<unknown> => fetchLoads(some);
    wire.push({ size, value: await measureWire(poll) });
    processor.push({ size, value: await measureProcessor(poll) });
  }
  await clients.close();
  await host.close();
  const shared = { of: "round of polls", per: "engine" };
  return [
    {
      name: "poll",
      quantity: Quantity.Processor,
      ...shared,
      points: processor,
    },
    { name: "poll-wire", quantity: Quantity.Wire, ...shared, points: wire },
  ];
}

function fetchLoads(engines: readonly EngineClient[]): Promise<unknown> {
  return Promise.all(engines.map((engine) => engine.fetchLoad()));
}
