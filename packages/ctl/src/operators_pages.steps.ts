/** Steps of `operators_pages.feature`. */
import assert from "node:assert/strict";
import { readdirSync, readFileSync, rmSync } from "node:fs";
import { resolve } from "node:path";
import { pathToFileURL } from "node:url";
import { After, Given, Then } from "@cucumber/cucumber";
import { type EventType, formatBundle, Severity } from "@trefoildoor/core";
import { appendFleetRecords, appendHalt } from "./testing/fleet_records.ts";
import {
  appendBundle,
  copyBundle,
  createOperator,
  formatSettings,
  getPath,
  type Operator,
  removeOperator,
  runLine,
  writeFiles,
} from "./testing/operator_world.ts";

/** State of one scenario. */
interface PageWorld {
  page: string;
  reader: Operator;
  /** Epoch of the pool's lease. */
  epoch: number;
}

After(function (this: PageWorld): void {
  if (this.reader) removeOperator(this.reader);
});

Given(
  "a fleet as the page {string} expects it",
  async function (this: PageWorld, name: string): Promise<void> {
    this.page = readFileSync(`docs/operators/${name}`, "utf8");
    this.reader = createOperator();
    if (name === "first_day.md") return removeKey(this.reader);
    this.epoch = await openFleet(this.reader);
  },
);

Then(
  "every command of the page ends as the page says",
  async function (this: PageWorld): Promise<void> {
    const lines = listCommands(this.page);
    assert.ok(lines.length > 0);
    for (const line of lines) {
      const [command = "", expected] = line.split(" # ends with ");
      if (command.startsWith("rollout resume")) {
        // By then the page has published its second version.
        await appendHalt(this.reader.log, { epoch: this.epoch, version: 2 });
      }
      const code = await runLine(this.reader, command, {
        confirm: () => Promise.resolve(true),
      });
      const seen = this.reader.session.join("\n");
      assert.equal(code, Number(expected ?? 0), seen);
      if (command.startsWith("keys signing")) replaceKeys(this.reader);
    }
  },
);

Then(
  "the page of events explains each warning and error of the catalogues and no other",
  async function (): Promise<void> {
    const page = readFileSync("docs/operators/events.md", "utf8");
    const rows = [...page.matchAll(/^\| ([0-9]{3}) /gm)].map(([, number]) =>
      Number(number)
    );
    assert.deepEqual(rows, await listSevereEvents());
  },
);

Then(
  "the page of waiting engines explains each reason that the orders show",
  async function (this: PageWorld): Promise<void> {
    await runLine(this.reader, "orders --json");
    const orders = JSON.parse(this.reader.printed.at(-1) ?? "") as {
      readonly reason: string;
    }[];
    assert.ok(orders.length >= 3);
    for (const { reason } of orders) {
      const words = reason.replace(/entry-.*$/, "");
      assert.ok(this.page.includes(words), reason);
    }
  },
);

/** A fleet with a bundle in force, orders, and files that are being edited. */
async function openFleet(operator: Operator): Promise<number> {
  await appendBundle(operator, operator.first);
  const epoch = await appendFleetRecords(operator.log);
  const late = copyBundle(operator.first, {
    author: "aiko",
    edit: (draft) => {
      draft.callers[1]!.share = 2;
    },
  });
  const edited = copyBundle(operator.first, {
    author: "aiko",
    edit: (draft) => {
      draft.callers[0]!.share = 3;
    },
  });
  const settings = formatSettings([operator.key.publicKey]);
  writeFiles(operator, {
    "late.yaml": formatBundle(late),
    "edited.yaml": formatBundle(edited),
    "unreachable.yaml": settings.replaceAll("127.0.0.1:9", "127.0.0.1:1"),
  });
  return epoch;
}

/** The first day begins without a key. */
function removeKey(operator: Operator): void {
  rmSync(getPath(operator, "ops.key"));
}

/** Puts the printed public key into the settings, as the page asks for. */
function replaceKeys(operator: Operator): void {
  const publicKey = operator.printed.at(-1) ?? "";
  writeFiles(operator, { "trefoildoorctl.yaml": formatSettings([publicKey]) });
}

function listCommands(page: string): readonly string[] {
  const blocks = [...page.matchAll(/^```sh\n([\s\S]*?)^```/gm)];
  return blocks.flatMap(([, block = ""]) =>
    block.trim().split("\n").map((line) => line.replace(/^trefoildoorctl /, ""))
  );
}

async function listSevereEvents(): Promise<readonly number[]> {
  const paths = readdirSync("packages").flatMap((name) =>
    readdirSync(`packages/${name}/dist`, { recursive: true, encoding: "utf8" })
      .map((path) => `packages/${name}/dist/${path}`)
  ).filter((path) => /\/[a-z_]*events\.js$/.test(path));
  const modules = await Promise.all(
    paths.map((path) => import(pathToFileURL(resolve(path)).href)),
  );
  const events = modules.flatMap((module) =>
    Object.values(module).flatMap((catalogue) =>
      Object.values(catalogue as Record<string, EventType>)
    )
  );
  const severe = events.filter(({ severity }) =>
    severity === Severity.Warning || severity === Severity.Error
  );
  const numbers = severe.map(({ number }) => number);
  return numbers.sort((left, right) => left - right);
}
