/**
 * Case: a machine is stopped and started again, and a packet of it is lost while
 * it reads the list of servers, which has two pages. Between the two a server of
 * the first page leaves: its entry is removed, and it serves on for some seconds.
 * Once the machine is in touch, no request may reach that server.
 */
import process from "node:process";
import { randomBytes } from "node:crypto";
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
/** Entries in a page of the list, as the site files name it. */
const pageSize = 50;
/** Time after which a lost packet is sent again, in ms: the shortest of TCP. */
const againMs = 200;
/** Time from the first page until the server's entry is removed, in ms. */
const removalMs = 100;
/** Time for which the server serves after that, in ms: the drain time and some seconds. */
const serveMs = bounds.drainMs + 8_000;
const marginMs = 200;

const watch = { leaving: undefined, ackMs: Infinity };
const store = await openStore(host, {
  pageSize,
  onPage({ topic, after }) {
    if (topic !== "keyed.servers" || after !== "" || !watch.leaving) return;
    const { leaving } = watch;
    watch.leaving = undefined;
    setTimeout(() => {
      watch.ackMs = leaving.vanish(serveMs);
    }, removalMs);
  },
});
const proxy = await openProxy(host, store.address);
const servers = [];
for (let index = 0; index < 60; index++) {
  const isDesk = index < 6;
  const random = randomBytes(4).toString("hex");
  servers.push(
    await openServer({
      host,
      store,
      id: `i-${isDesk ? "0" : "f"}${random}`,
      service: isDesk ? "desk" : "drafts",
      zone: zones[index % zones.length],
      record,
    }),
  );
}
const fleet = await openEntries(zones, {
  getStore: (name) => name.includes("zone-a") ? proxy.address : store.address,
  record,
});

async function run() {
  store.write(
    "keyed.op",
    "config",
    buildManifest(3, [
      { name: "book", path: "/book/", service: "desk", kind: "non_idempotent" },
      { name: "draft", path: "/draft/", service: "drafts", kind: "idempotent" },
    ]),
  );
  for (const entry of fleet.entries) entry.start();
  await waitReady(fleet.entries);
  await wait(2_000);
  const [entry] = fleet.entries;
  entry.signal("SIGTERM");
  await entry.exited();
  const [server] = servers;
  watch.leaving = server;
  if (trouble) {
    proxy.losePacket("log-newest?topic=keyed.servers&part=0&after=", againMs);
  }
  const startMs = performance.now();
  entry.start();
  record.add(`${entry.name} starts`);
  await waitReady([entry]);
  const answers = [];
  while (performance.now() < startMs + 9_000) {
    answers.push(send(entry, { path: "/book/1" }));
    await wait(25);
  }
  const all = await Promise.all(answers);
  const boundMs = marginMs + Math.max(
    watch.ackMs + bounds.drainMs,
    startMs + againMs + bounds.contactMs,
  );
  const late = server.runs.filter(({ attempt, atMs }) =>
    atMs > boundMs &&
    all.some(({ id, sentMs }) => id === attempt && sentMs > boundMs)
  );
  const lastMs = Math.max(0, ...late.map(({ atMs }) => atMs - watch.ackMs));
  record.add(
    `${late.length} requests reached ${server.id} later than ${
      Math.round(boundMs - watch.ackMs)
    } ms after the ack of its removal, the last ${
      Math.round(lastMs)
    } ms after it`,
  );
  const served = all.filter(({ status }) => status === 200).length;
  record.add(`${served} of ${all.length} requests were served`);
  if (served < all.length / 2) throw new Error("too few were served");
  if (watch.ackMs === Infinity) throw new Error("no server left");
  return late.length > 0 ? 1 : 0;
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
