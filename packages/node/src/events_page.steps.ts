/** Steps of `events_page.feature`. */
import assert from "node:assert/strict";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import process from "node:process";
import { pathToFileURL } from "node:url";
import { Then } from "@cucumber/cucumber";
import type { EventType } from "@trefoildoor/core";

const page = "docs/EVENTS.md";
const head = `# Events

Log lines are JSON objects. Each carries the number of its event in
\`context.event\` and the event's values beside it; no line carries keys, bodies,
prompts or secrets. What to do about warnings and errors is in
[operators/events.md](operators/events.md).

| event | severity | message |
| ----- | -------- | ------- |
`;

Then(
  "docs\\/EVENTS.md lists every event of the catalogues",
  async function (): Promise<void> {
    const events = await listEvents();
    const numbers = events.map(({ number }) => number);
    assert.deepEqual(numbers, [...new Set(numbers)], "duplicate event number");
    const rows = events.map((event) =>
      `| ${event.number} | ${event.severity} | ${event.message} |`
    );
    const text = `${head}${rows.join("\n")}\n`;
    if (process.env.UPDATE_SNAPSHOTS) writeFileSync(page, text);
    assert.equal(
      removePadding(readFileSync(page, "utf8")),
      removePadding(text),
    );
  },
);

/** Events of every `events.js` below the packages' build folders, by number. */
async function listEvents(): Promise<readonly EventType[]> {
  const paths = readdirSync("packages").flatMap((name) =>
    listCatalogues(join("packages", name, "dist"))
  );
  const modules = await Promise.all(
    paths.map((path) => import(pathToFileURL(resolve(path)).href)),
  );
  const catalogues = modules.flatMap((module) =>
    Object.values(module).filter(isCatalogue)
  );
  return catalogues.flatMap((catalogue) => Object.values(catalogue))
    .toSorted((left, right) => left.number - right.number);
}

function listCatalogues(folder: string): readonly string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((path) => /(^|\/)events\.js$/.test(path))
    .map((path) => join(folder, path));
}

function isCatalogue(value: unknown): value is Record<string, EventType> {
  return typeof value === "object" && value !== null &&
    Object.values(value).every((event) => typeof event?.number === "number");
}

/** The formatter pads tables and breaks lines. */
function removePadding(text: string): string {
  return text.replace(/\|\s*-+\s*/g, "|-").replace(/\s+/g, " ").trim();
}
