/** End of a fleet whose whole history must keep the model's rules. */
import { strict as assert } from "node:assert";
import { formatFinding, StreamName } from "@trefoildoor/core";
import type { Fleet } from "../fleet/index.ts";
import { checkHistory } from "../history/index.ts";

/** Closes a fleet, then checks what its log and its endpoints recorded. */
export async function closeChecked(fleet: Fleet): Promise<void> {
  await fleet.close();
  const engines = fleet.engines.map(({ name, standin }) => ({
    name,
    orders: standin.listOrders(),
    conflicts: standin.listConflicts(),
  }));
  const runs = fleet.services.flatMap(({ standin }) =>
    standin.listRuns().flatMap(({ key }) => key ? [key] : [])
  );
  const entries = {
    control: fleet.log.listEntries(StreamName.Control),
    calls: fleet.log.listEntries(StreamName.Calls),
  };
  const findings = checkHistory(entries, { engines, runs });
  assert.deepEqual(findings.map(formatFinding), []);
}
