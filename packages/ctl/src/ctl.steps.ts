/** Steps of `ctl.feature`. */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import {
  mkdtempSync,
  readFileSync,
  rmSync,
  statSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  type Bundle,
  createExampleBundle,
  createSigningKey,
  ExampleFleet,
  formatBundle,
  type LogRecord,
  MemberKind,
  MemberState,
  RecordKind,
  signBundle,
  type SigningKey,
  StreamName,
} from "@trefoildoor/core";
import { runCommandLine } from "./index.ts";
import {
  appendFleetRecords,
  listBurnRecords,
} from "./testing/fleet_records.ts";
import { createMemoryLog, type MemoryLog } from "./testing/memory_log.ts";

/** State of one scenario. */
interface OperatorWorld {
  directory: string;
  key: SigningKey;
  log: MemoryLog;
  /** All that the operator typed and saw. */
  session: string[];
  printed: string[];
  first: Bundle;
  matchSnapshot: (received: unknown) => void;
}

const program = fileURLToPath(
  new URL("../bin/trefoildoorctl.js", import.meta.url),
);
const logAddress = "http://127.0.0.1:9";

Given(
  "an operator's directory with settings, keys and a fleet's log",
  function (this: OperatorWorld): void {
    this.directory = mkdtempSync(join(tmpdir(), "trefoildoorctl-"));
    this.key = createSigningKey();
    this.log = createMemoryLog();
    this.session = [];
    this.printed = [];
    this.first = createExampleBundle(ExampleFleet.Association);
    writeFiles(this, {
      "ops.key": this.key.privateKey,
      "broken.yaml": "version: 1\nparnet: 0\n",
      "trefoildoorctl.yaml": [
        "author: aiko",
        `log: ${logAddress}`,
        `members: ${logAddress}`,
        `signing_keys: { ops: ${this.key.publicKey} }`,
        "timeout_ms: 300",
      ].join("\n"),
    });
  },
);

After(function (this: OperatorWorld): void {
  if (this.directory) rmSync(this.directory, { recursive: true });
});

Given(
  "version 1 was published",
  async function (this: OperatorWorld): Promise<void> {
    await appendBundle(this, this.first);
  },
);

Given("a signed change of it", function (this: OperatorWorld): void {
  const bundle = copyBundle(this.first, {
    author: "aiko",
    edit: (draft) => {
      draft.pools[0]!.models[0]!.version = "1.1";
    },
  });
  writeFiles(this, {
    "change.yaml": formatBundle(bundle),
    "change.signed": JSON.stringify(sign(this, bundle)),
  });
});

Given(
  "another operator publishes a different change first",
  async function (this: OperatorWorld): Promise<void> {
    await appendBundle(this, buildOtherChange(this.first));
  },
);

Given(
  "another operator publishes a different change just before the next append",
  function (this: OperatorWorld): void {
    this.log.onNextAppend(() =>
      appendBundle(this, buildOtherChange(this.first))
    );
  },
);

Given("the log refuses reads", function (this: OperatorWorld): void {
  this.log.refuseReads();
});

Given(
  "the log loses the next answer to an append",
  function (this: OperatorWorld): void {
    this.log.loseNextAnswer();
  },
);

Given(
  "the log goes silent at the next append",
  function (this: OperatorWorld): void {
    this.log.onNextAppend(() => {
      this.log.refuseReads();
      return Promise.resolve();
    });
    this.log.loseNextAnswer();
  },
);

Given(
  "a fleet with leases, a drain and orders of every stage",
  async function (this: OperatorWorld): Promise<void> {
    await appendFleetRecords(this.log);
  },
);

Given(
  "service-level summaries of the last hour",
  async function (this: OperatorWorld): Promise<void> {
    for (const record of listBurnRecords(Date.now())) {
      await this.log.appendRecords(StreamName.Burn, [record]);
    }
  },
);

When(
  "the operator runs",
  async function (this: OperatorWorld, lines: string): Promise<void> {
    await runLines(this, lines);
  },
);

When(
  "the operator declines and runs",
  async function (this: OperatorWorld, lines: string): Promise<void> {
    await runLines(this, lines, { confirm: () => Promise.resolve(false) });
  },
);

When(
  "the operator agrees and runs",
  async function (this: OperatorWorld, lines: string): Promise<void> {
    await runLines(this, lines, { confirm: () => Promise.resolve(true) });
  },
);

Then(
  "the operator's session matches the snapshot",
  function (this: OperatorWorld): void {
    this.matchSnapshot(this.session.join("\n"));
  },
);

Then("every printed result is JSON", function (this: OperatorWorld): void {
  assert.equal(this.printed.length, 9);
  for (const text of this.printed) JSON.parse(text);
});

Then(
  "the service-level tables name the causes, callers and gaps",
  function (this: OperatorWorld): void {
    const text = this.printed.join("\n");
    for (
      const part of [
        /counters +contract-reader +useful +99.0% +540 +600 +-900.0%/,
        /refused.overloaded +counters +contract-reader +60/,
        /shop-otaru +counters +contract-reader +45/,
        /gap: entry-2, a summary is missing/,
        /gap: entry-3, ended without a last summary/,
      ]
    ) assert.match(text, part);
  },
);

Then(
  "the page holds a plot of the objectives",
  function (this: OperatorWorld): void {
    const page = readText(this, "burn.html");
    assert.match(page, /<svg/);
    assert.match(page, /counters\/contract-reader/);
    assert.doesNotMatch(page, /<script/);
  },
);

Then(
  "the key files are their owner's alone and nothing printed holds a key",
  function (this: OperatorWorld): void {
    const seen = this.session.join("\n");
    for (const name of ["new.key", "shop.key"]) {
      assert.equal(statSync(join(this.directory, name)).mode & 0o777, 0o600);
      assert.ok(!seen.includes(readText(this, name).trim()));
    }
    assert.match(seen, /exit 2/);
  },
);

Then(
  "the program ends with 2 on unknown commands and flags",
  function (this: OperatorWorld): void {
    for (const args of [["bundel"], ["orders", "--al"], ["bundle", "check"]]) {
      assert.equal(runProgram(this, args), 2, args.join(" "));
    }
    assert.equal(runProgram(this, ["--help"]), 0);
  },
);

Then(
  "the program ends with 1 when the log service cannot be reached",
  function (this: OperatorWorld): void {
    assert.equal(runProgram(this, ["bundle", "status"]), 1);
  },
);

async function runLines(
  world: OperatorWorld,
  lines: string,
  options: { readonly confirm?: () => Promise<boolean> } = {},
): Promise<void> {
  const files = /([a-z]+\.(?:yaml|signed|key|html))/g;
  for (const line of lines.split("\n")) {
    const words = line.replace(files, `${world.directory}/$1`).split(" ");
    const isSet = words.includes("--settings");
    const settings = [
      "--settings",
      join(world.directory, "trefoildoorctl.yaml"),
    ];
    world.session.push(`$ trefoildoorctl ${line}`);
    const code = await runCommandLine(
      ["node", "trefoildoorctl", ...words, ...(isSet ? [] : settings)],
      {
        environment: {},
        platform: {
          openLog: () => ({ ...world.log, close: () => Promise.resolve() }),
          openMembers: () => ({ listMembers, close: () => Promise.resolve() }),
        },
        terminal: {
          print: (text) => note(world, text, { isResult: true }),
          report: (text) => note(world, text, { isResult: false }),
          ...options,
        },
      },
    );
    world.session.push(`(exit ${code})`);
  }
}

function note(
  world: OperatorWorld,
  text: string,
  { isResult }: { readonly isResult: boolean },
): void {
  if (isResult) world.printed.push(text);
  world.session.push(text.replaceAll(`${world.directory}/`, ""));
}

function listMembers(): ReturnType<
  import("@trefoildoor/core").ListMembers
> {
  return Promise.resolve([{
    name: "engine-1",
    kind: MemberKind.Engine,
    state: MemberState.Leaving,
    failureDomain: "sapporo",
    address: "192.0.2.1:7000",
  }]);
}

function runProgram(world: OperatorWorld, args: readonly string[]): number {
  const settings = ["--settings", join(world.directory, "trefoildoorctl.yaml")];
  const { status } = spawnSync(process.execPath, [
    program,
    ...args,
    ...settings,
  ]);
  return status ?? -1;
}

function appendBundle(world: OperatorWorld, bundle: Bundle): Promise<void> {
  const record: LogRecord = {
    kind: RecordKind.BundlePublished,
    signed: sign(world, bundle),
  };
  return world.log.appendRecords(StreamName.Control, [record]);
}

function sign(world: OperatorWorld, bundle: Bundle): ReturnType<
  typeof signBundle
> {
  const { privateKey } = world.key;
  return signBundle(bundle, { keyName: "ops", privateKey });
}

function buildOtherChange(bundle: Bundle): Bundle {
  return copyBundle(bundle, {
    author: "benjiro",
    edit: (draft) => {
      draft.callers[0]!.share = 3;
    },
  });
}

function copyBundle(
  bundle: Bundle,
  { author, edit }: {
    readonly author: string;
    readonly edit: (draft: Bundle) => void;
  },
): Bundle {
  const draft = structuredClone(bundle);
  edit(draft);
  const { version } = bundle;
  return { ...draft, version: version + 1, parent: version, author };
}

function writeFiles(
  world: OperatorWorld,
  files: Readonly<Record<string, string>>,
): void {
  for (const [name, text] of Object.entries(files)) {
    writeFileSync(join(world.directory, name), text);
  }
}

function readText(world: OperatorWorld, name: string): string {
  return readFileSync(join(world.directory, name), "utf8");
}
