/** Starts entries as separate processes, with the command and the settings template of the deploy file. */
import { spawn } from "node:child_process";
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import process from "node:process";
import { get } from "node:http";

/** Root of the repository, in which the deploy file's commands run. */
export const root = resolve(import.meta.dirname, "../..");
const deploy = readFileSync(join(root, "deploy/system.toml"), "utf8");
const command = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
const template = readFileSync(
  join(root, /^template = "(.*)"$/m.exec(deploy)[1]),
  "utf8",
);

/** Bounds of the small deployments, as their pages name them. */
export const bounds = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2_000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 54,
  leaseMs: 3_000,
  thawMs: 300,
};

const ports = { front: 8_149, ready: 8_141, internal: 7_380, metrics: 9_464 };

function canListen(host, port) {
  return new Promise((done) => {
    const server = createServer();
    server.once("error", () => done(false));
    server.listen(port, host, () => server.close(() => done(true)));
  });
}

/** Finds a loopback address of its own at which all ports of an entry are free. */
async function findHost(number) {
  for (let tries = 0; tries < 50; tries++) {
    const random = () => 1 + Math.floor(Math.random() * 250);
    const host = `127.${random()}.${random()}.${number + 1}`;
    const free = await Promise.all(
      Object.values(ports).map((port) => canListen(host, port)),
    );
    if (free.every(Boolean)) return host;
  }
  throw new Error("no free loopback address");
}

function find(path, fields) {
  return path.split(".").reduce((at, name) => at?.[name], fields);
}

/** Fills the template in: sections where their value is there, then values. */
function render(fields, text = template) {
  return text
    .replace(
      /\{\{#([\w.]+)\}\}\n?([^]*?)\{\{\/\1\}\}\n?/g,
      (_, path, inner) => find(path, fields) ? render(fields, inner) : "",
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
      const value = find(path, fields);
      if (json) return JSON.stringify(value ?? null);
      return value === undefined ? "" : String(value);
    });
}

/** Opens entries, one for each name of a zone in `zones`; `getStore` names the store's address for one of them. */
export async function openEntries(zones, { getStore, record }) {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const entries = [];
  for (const [index, zone] of zones.entries()) {
    const ip = await findHost(index);
    const name = `front-${zone}-${index + 1}`;
    const settings = join(folder, `${name}.yaml`);
    writeFileSync(
      settings,
      render({
        nodeName: name,
        zone,
        ip,
        listen: {
          front: `${ip}:${ports.front}`,
          ready: `${ip}:${ports.ready}`,
        },
        internalPortRange: [ports.internal],
        platform: { address: getStore(name) },
        bounds,
      }),
    );
    entries.push(createEntry({ name, zone, ip, settings, folder, record }));
  }
  return {
    entries,
    folder,
    async close() {
      await Promise.all(entries.map((entry) => entry.kill()));
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

function createEntry({ name, zone, ip, settings, folder, record }) {
  let child;
  let exited = Promise.resolve();
  let expected = true;
  const exits = [];
  return {
    name,
    zone,
    ip,
    front: { host: ip, port: ports.front },
    /** Ends of the process that the test did not cause. */
    exits,
    log: join(folder, `${name}.log`),
    get pid() {
      return child?.pid;
    },
    start() {
      const log = createWriteStream(join(folder, `${name}.log`), {
        flags: "a",
      });
      expected = false;
      child = spawn(process.execPath, command.slice(1), {
        cwd: root,
        stdio: ["ignore", "pipe", "pipe"],
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          TREFOILDOOR_SETTINGS: settings,
        },
      });
      child.stdout.pipe(log, { end: false });
      child.stderr.pipe(log, { end: false });
      const started = child;
      exited = new Promise((done) =>
        started.once("exit", (code, signal) => {
          record?.add(`${name} ended: code ${code}, signal ${signal}`);
          if (!expected) exits.push({ code, signal });
          done();
        })
      );
    },
    signal(signal) {
      if (["SIGTERM", "SIGKILL"].includes(signal)) expected = true;
      record?.add(`${signal} to ${name}`);
      child?.kill(signal);
    },
    async kill() {
      expected = true;
      child?.kill("SIGCONT");
      child?.kill("SIGKILL");
      await exited;
    },
    exited: () => exited,
    isReady: () =>
      new Promise((done) => {
        const request = get({
          host: ip,
          port: ports.ready,
          path: "/api/readyz",
          timeout: 500,
        }, (response) => {
          response.resume();
          done(response.statusCode === 200);
        });
        request.once("error", () => done(false));
        request.once("timeout", () => request.destroy());
      }),
  };
}

/** Resolves once all entries are ready; throws after 20 s. */
export async function waitReady(entries) {
  const endMs = performance.now() + 20_000;
  for (const entry of entries) {
    while (!await entry.isReady()) {
      if (performance.now() > endMs) throw new Error(`${entry.name} not ready`);
      await wait(50);
    }
  }
}

/** Waits some ms. */
export function wait(ms) {
  return new Promise((done) => setTimeout(done, ms));
}
