/** Steps of `slopes.feature`. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { Given, Then } from "@cucumber/cucumber";
import { fitSlope, Quantity, type Slope, slopeNames } from "./index.ts";

/** State of one scenario. */
interface SlopeWorld {
  slope: Slope;
}

const pagePath = "docs/CAPACITY.md";
const sizes = [10, 20, 30, 40];
const offsets = [1, -1, -1, 1];

Given(
  "measurements around the line 3 x + 10 at sizes 10, 20, 30 and 40 that are off by 1, -1, -1 and 1",
  function (this: SlopeWorld): void {
    this.slope = fitSlope({
      name: "example",
      quantity: Quantity.Wire,
      of: "test",
      per: "unit",
      points: sizes.map((size, index) => ({
        size,
        value: 3 * size + 10 + (offsets[index] ?? 0),
      })),
    });
  },
);

Then(
  "the fitted slope is {int} with an error of {float} and an R² above {float}",
  function (
    this: SlopeWorld,
    slope: number,
    error: number,
    least: number,
  ): void {
    assert.ok(Math.abs(this.slope.slope - slope) < 1e-9);
    // Residuals 1, 1, 1, 1: sqrt(4 / 2 / 500).
    assert.ok(Math.abs(this.slope.slopeError - error) < 1e-4);
    assert.ok(this.slope.rSquared > least);
  },
);

Then("fitting two sizes is refused", function (): void {
  const points = [{ size: 1, value: 1 }, { size: 2, value: 2 }];
  const series = {
    name: "example",
    quantity: Quantity.Wire,
    of: "test",
    per: "unit",
    points,
  };
  assert.throws(() => fitSlope(series), RangeError);
});

Then(
  "each row of the capacity page names measured slopes or says that it is an estimate",
  function (): void {
    const tables = readTables().filter(({ columns }) =>
      columns.at(-1) === "from"
    );
    assert.ok(tables.length >= 4);
    for (const row of tables.flatMap(({ rows }) => rows)) {
      const from = (row.at(-1) ?? "").split(", ");
      const unknown = from.filter((name) =>
        name !== "estimate" && !slopeNames.includes(name)
      );
      assert.deepEqual(unknown, [], `sources of "${row[0]}"`);
    }
  },
);

Then("the capacity page lists every slope with its fit", function (): void {
  const table = readTables().find(({ columns }) => columns.includes("R²"));
  const names = table?.rows.map(([name]) => name);
  assert.deepEqual(names, [...slopeNames]);
});

/** A Markdown table. */
interface PageTable {
  readonly columns: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

function readTables(): readonly PageTable[] {
  const blocks = readFileSync(pagePath, "utf8").split(/\n\n/);
  return blocks.filter((block) => block.startsWith("|")).map((block) => {
    const [columns = [], _, ...rows] = block.trim().split("\n").map((line) =>
      line.split("|").slice(1, -1).map((cell) => cell.trim())
    );
    return { columns, rows };
  });
}
