/** Steps of `check_settings.feature`. */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { After, Given, Then, When } from "@cucumber/cucumber";

/** State of one scenario. */
interface CheckWorld {
  settingsFolder?: string;
  checked: { readonly status: number | null; readonly stderr: string };
  matchSnapshot: (received: unknown) => void;
}

const program = "packages/node/bin/trefoildoord.js";
const peerKey = { TREFOILDOOR_PEER_KEY: "a key that all instances share" };
const badSettings = `instance: entry-1
failure_domain: sapporo
callers:
  host: 127.0.0.1
  prot: 8080
  port: 70000
peers:
  host: 127.0.0.1
  port: 0
  key: { env: TREFOILDOOR_PEER_KEY }
platform:
  log: 127.0.0.1:1
  members: nowhere
  weights: 127.0.0.1:3
signing_keys: {}
`;

After(function (this: CheckWorld): void {
  if (this.settingsFolder) rmSync(this.settingsFolder, { recursive: true });
});

Given(
  "daemon settings with a misspelt key, a port out of range and no signing key",
  function (this: CheckWorld): void {
    this.settingsFolder = mkdtempSync(join(tmpdir(), "trefoildoor-"));
    writeFileSync(join(this.settingsFolder, "settings.yaml"), badSettings);
  },
);

When(
  "the daemon checks them with a peer key in its environment",
  function (this: CheckWorld): void {
    const path = join(this.settingsFolder ?? "", "settings.yaml");
    this.checked = runDaemon("check", path, { environment: peerKey });
  },
);

When(
  "the daemon checks {string} with a peer key in its environment",
  function (this: CheckWorld, path: string): void {
    this.checked = runDaemon("check", path, { environment: peerKey });
  },
);

When(
  "the daemon checks {string} without a peer key",
  function (this: CheckWorld, path: string): void {
    this.checked = runDaemon("check", path, { environment: {} });
  },
);

When(
  "the daemon is asked to run {string} with io_uring turned on",
  function (this: CheckWorld, path: string): void {
    const environment = { ...peerKey, UV_USE_IO_URING: "1" };
    this.checked = runDaemon("run", path, { environment });
  },
);

Then(
  "the daemon's check ends with {int}",
  function (this: CheckWorld, status: number): void {
    assert.equal(this.checked.status, status, this.checked.stderr);
  },
);

Then(
  "the findings of the check match the snapshot",
  function (this: CheckWorld): void {
    const folder = this.settingsFolder ?? "none";
    this.matchSnapshot(this.checked.stderr.replaceAll(folder, "FOLDER"));
  },
);

function runDaemon(
  command: string,
  path: string,
  options: { readonly environment: Readonly<Record<string, string>> },
): CheckWorld["checked"] {
  const { status, stderr } = spawnSync(
    process.execPath,
    [program, command, "--settings", path],
    {
      env: { PATH: process.env.PATH, ...options.environment },
      encoding: "utf8",
    },
  );
  return { status, stderr };
}
