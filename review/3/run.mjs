/**
 * Case: the store answers nobody for some seconds. Right after it is back, the
 * operator moves a route to another service. Requests sent more than
 * `configApplyMs` after the ack, and after the store counts as stable, must not
 * be run by the old service.
 */
import process from "node:process";
import { send } from "../common/client.mjs";
import { bounds, openEntries, wait, waitReady } from "../common/entries.mjs";
import { openProxy } from "../common/proxy.mjs";
import { createRecord } from "../common/record.mjs";
import { buildManifest, openServer } from "../common/servers.mjs";
import { openStore } from "../common/store.mjs";

const host = "127.0.0.1";
const zones = ["zone-a", "zone-b", "zone-c"];
const trouble = process.env.TROUBLE !== "0";
const record = createRecord(`${import.meta.dirname}/record.txt`);
/** Time for which the store is silent, in ms. */
const silentMs = 4_700;
/** Time in which requests are judged, from the bound on, in ms. */
const watchMs = 7_000;
/** Tolerance of the test's own timing, in ms. */
const marginMs = 200;

const store = await openStore(host);
const proxy = await openProxy(host, store.address);
const servers = [];
for (const service of ["old-desk", "new-desk"]) {
  for (const zone of zones.slice(0, 2)) {
    servers.push(await openServer({ host, store, service, zone, record }));
  }
}
const fleet = await openEntries(zones, {
  getStore: () => proxy.address,
  record,
});

function writeManifest(version, service) {
  store.write(
    "keyed.op",
    "config",
    buildManifest(version, [
      { name: "book", path: "/book/", service, kind: "non_idempotent" },
      {
        name: "other",
        path: "/other/",
        service: "new-desk",
        kind: "idempotent",
      },
      {
        name: "third",
        path: "/third/",
        service: "old-desk",
        kind: "idempotent",
      },
    ]),
  );
  record.add(`manifest ${version} acked: /book/ goes to ${service}`);
  return performance.now();
}

/** Runs one round, which moves bookings to `service`; resolves to the number of requests that another one ran. */
async function runRound(version, service) {
  await wait(4_000);
  if (trouble) {
    proxy.setMute(true);
    record.add("the store is silent");
    await wait(silentMs);
    proxy.setMute(false);
    record.add("the store answers again");
  }
  const backMs = performance.now();
  await wait(100);
  const ackMs = writeManifest(version, service);
  const boundMs = Math.max(
    ackMs + bounds.configApplyMs,
    backMs + bounds.contactMs,
  ) + marginMs;
  const answers = [];
  while (performance.now() < boundMs + watchMs) {
    for (const entry of fleet.entries) {
      answers.push(
        send(entry, { path: "/book/1" }).then((answer) => {
          record.add(
            `${answer.id} sent to ${answer.entry} ${
              Math.round(answer.sentMs - ackMs)
            } ms after the ack: ${answer.status ?? answer.error} ${
              answer.body ?? ""
            }`,
          );
          return answer;
        }),
      );
    }
    await wait(200);
  }
  const all = await Promise.all(answers);
  const due = all.filter(({ sentMs }) => sentMs > boundMs);
  const others = servers.filter((server) => server.service !== service)
    .flatMap(({ runs }) => runs.map(({ attempt }) => attempt));
  const stale = due.filter(({ id }) => others.includes(id));
  const last = Math.max(0, ...stale.map(({ sentMs }) => sentMs - ackMs));
  record.add(
    `${stale.length} of ${due.length} requests sent later than ${
      Math.round(boundMs - ackMs)
    } ms after the ack were run by the old service, the last ${
      Math.round(last)
    } ms after it`,
  );
  const served = due.filter(({ status }) => status === 200).length;
  if (served < due.length / 2) throw new Error(`only ${served} were served`);
  return stale.length;
}

async function run() {
  writeManifest(3, "old-desk");
  for (const entry of fleet.entries) entry.start();
  await waitReady(fleet.entries);
  const counts = [
    await runRound(9, "new-desk"),
    await runRound(14, "old-desk"),
    await runRound(16, "new-desk"),
  ];
  return counts.some((stale) => stale > 0) ? 1 : 0;
}

let code = 2;
try {
  code = await run();
} catch (error) {
  record.add(`the case could not run: ${error.stack}`);
}
await fleet.close();
for (const server of servers) server.close();
proxy.close();
store.close();
record.add(`exit ${code}`);
record.save();
process.exit(code);
