/** Steps of `entry_settings_page.feature`. */
import { strict as assert } from "node:assert";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Then } from "@cucumber/cucumber";
import { formatFinding } from "@trefoildoor/core";
import { expectSchemaPage, type PageSchema } from "@trefoildoor/testing";
import { z } from "zod";
import { entrySettingsSchema, readEntrySettings } from "./settings.ts";

/** State of one scenario. */
interface SettingsWorld {
  matchSnapshot: (received: unknown) => void;
}

const pageHead = `# Settings of the entry

\`trefoildoor-entry run --settings FILE\` reads one YAML file, and
\`trefoildoor-entry check --settings FILE\` lists every fault as
\`file:line:column: message\` and starts nothing. Where no file is given, the
environment variable \`TREFOILDOOR_SETTINGS\` names it. On the users' platform the
file is filled in from [deploy/settings.yaml](../deploy/settings.yaml) at each
start.

This table is written from the schema by \`UPDATE_SNAPSHOTS=1 npm test\`.`;

const faulty = `instance: front-1
failure_domain: sapporo
callers: "10.0.0.1"
readiness: "10.0.0.1:81"
peers: "10.0.0.1:82"
store: "10.0.0.2:83"
repeats:
  ratio: 2
rolls:
  lease_ms: 3000
`;

Then(
  "docs\\/ENTRY_SETTINGS.md is written from the entry's schema",
  function (): void {
    expectSchemaPage("docs/ENTRY_SETTINGS.md", {
      head: pageHead,
      schema: z.toJSONSchema(entrySettingsSchema, {
        io: "input",
      }) as PageSchema,
    });
  },
);

Then(
  "entry settings with faults are refused with findings that match the snapshot",
  function (this: SettingsWorld): void {
    const folder = mkdtempSync(join(tmpdir(), "trefoildoor-"));
    const path = join(folder, "settings.yaml");
    writeFileSync(path, faulty);
    const findings = readEntrySettings(path).swap().toMaybe().orDefault([]);
    rmSync(folder, { recursive: true });
    assert.ok(findings.length > 0);
    this.matchSnapshot(
      findings.map((finding) =>
        formatFinding(finding).replace(path, "settings.yaml")
      ),
    );
  },
);
