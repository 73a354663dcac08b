/** Steps of `ctl.feature`. */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { statSync } from "node:fs";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { type Bundle, formatBundle, StreamName } from "@trefoildoor/core";
import {
  appendFleetRecords,
  expireRecords,
  listBurnRecords,
} from "./testing/fleet_records.ts";
import {
  appendBundle,
  copyBundle,
  createOperator,
  getPath,
  type Operator,
  readText,
  removeOperator,
  runLine,
  signAs,
  writeFiles,
} from "./testing/operator_world.ts";

/** State of one scenario. */
interface OperatorWorld {
  operator: Operator;
  matchSnapshot: (received: unknown) => void;
}

const program = fileURLToPath(
  new URL("../bin/trefoildoorctl.js", import.meta.url),
);

Given(
  "an operator's directory with settings, keys and a fleet's log",
  function (this: OperatorWorld): void {
    this.operator = createOperator();
    writeFiles(this.operator, {
      "broken.yaml": "version: 1\nparnet: 0\n",
    });
  },
);

After(function (this: OperatorWorld): void {
  if (this.operator) removeOperator(this.operator);
});

Given(
  "version 1 was published",
  async function (this: OperatorWorld): Promise<void> {
    await appendBundle(this.operator, this.operator.first);
  },
);

Given("a signed change of it", function (this: OperatorWorld): void {
  const bundle = copyBundle(this.operator.first, {
    author: "aiko",
    edit: (draft) => {
      draft.pools[0]!.models[0]!.version = "1.1";
    },
  });
  writeFiles(this.operator, {
    "change.yaml": formatBundle(bundle),
    "change.signed": JSON.stringify(signAs(this.operator, bundle)),
  });
});

Given(
  "another operator publishes a different change first",
  async function (this: OperatorWorld): Promise<void> {
    await appendBundle(this.operator, buildOtherChange(this.operator.first));
  },
);

Given(
  "another operator publishes a different change just before the next append",
  function (this: OperatorWorld): void {
    this.operator.log.onNextAppend(() =>
      appendBundle(this.operator, buildOtherChange(this.operator.first))
    );
  },
);

Given("the log refuses reads", function (this: OperatorWorld): void {
  this.operator.log.refuseReads();
});

Given(
  "the log loses the next answer to an append",
  function (this: OperatorWorld): void {
    this.operator.log.loseNextAnswer();
  },
);

Given(
  "the log goes silent at the next append",
  function (this: OperatorWorld): void {
    this.operator.log.onNextAppend(() => {
      this.operator.log.refuseReads();
      return Promise.resolve();
    });
    this.operator.log.loseNextAnswer();
  },
);

Given(
  "a fleet with leases, a drain and orders of every stage",
  async function (this: OperatorWorld): Promise<void> {
    await appendFleetRecords(this.operator.log);
  },
);

Given(
  "service-level summaries of the last hour",
  async function (this: OperatorWorld): Promise<void> {
    for (const record of listBurnRecords(Date.now())) {
      await this.operator.log.appendRecords(StreamName.Burn, [record]);
    }
  },
);

Given(
  "both streams were checkpointed and the records before it have expired",
  async function (this: OperatorWorld): Promise<void> {
    const { log, first } = this.operator;
    writeFiles(this.operator, { "first.yaml": formatBundle(first) });
    await expireRecords(log);
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
    this.matchSnapshot(this.operator.session.join("\n"));
  },
);

Then("every printed result is JSON", function (this: OperatorWorld): void {
  assert.equal(this.operator.printed.length, 9);
  for (const text of this.operator.printed) JSON.parse(text);
});

Then(
  "the service-level tables name the causes, callers and gaps",
  function (this: OperatorWorld): void {
    const text = this.operator.printed.join("\n");
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
    const page = readText(this.operator, "burn.html");
    assert.match(page, /<svg/);
    assert.match(page, /counters\/contract-reader/);
    assert.doesNotMatch(page, /<script/);
  },
);

Then(
  "the key files are their owner's alone and nothing printed holds a key",
  function (this: OperatorWorld): void {
    const seen = this.operator.session.join("\n");
    for (const name of ["new.key", "shop.key"]) {
      assert.equal(statSync(getPath(this.operator, name)).mode & 0o777, 0o600);
      assert.ok(!seen.includes(readText(this.operator, name).trim()));
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
  for (const line of lines.split("\n")) {
    await runLine(world.operator, line, options);
  }
}

function runProgram(world: OperatorWorld, args: readonly string[]): number {
  const path = getPath(world.operator, "trefoildoorctl.yaml");
  const { status } = spawnSync(process.execPath, [
    program,
    ...args,
    "--settings",
    path,
  ]);
  return status ?? -1;
}

function buildOtherChange(bundle: Bundle): Bundle {
  return copyBundle(bundle, {
    author: "benjiro",
    edit: (draft) => {
      draft.callers[0]!.share = 3;
    },
  });
}
