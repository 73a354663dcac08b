/** What reading the platform's list of processes costs a node. */
import { openMemberList } from "@trefoildoor/core";
import { measureProcessor, measureWire } from "./measure.ts";
import { openStandinHost } from "./open_host.ts";
import { Quantity, type SlopePoint, type SlopeSeries } from "./slope.ts";

/** Measures one read of the list by its length. */
export async function measureList(): Promise<readonly SlopeSeries[]> {
  const host = await openStandinHost(0);
  const processor: SlopePoint[] = [];
  const wire: SlopePoint[] = [];
  for (const { size, address } of host.lists) {
    const { listMembers, close } = openMemberList({ address });
    const read = (): Promise<unknown> => listMembers();
    await read();
    wire.push({ size, value: await measureWire(read) });
    processor.push({ size, value: await measureProcessor(read) });
    await close();
  }
  await host.close();
  const shared = { of: "read of the list", per: "listed process" };
  return [
    {
      name: "list",
      quantity: Quantity.Processor,
      ...shared,
      points: processor,
    },
    { name: "list-wire", quantity: Quantity.Wire, ...shared, points: wire },
  ];
}
