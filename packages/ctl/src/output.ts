/** Results as tables for people and as JSON for programs. */
import Table from "cli-table3";
import type { CommandCall } from "./command.ts";

/** A cell; undefined and empty values show as a dash. */
export type Cell = string | number | boolean | undefined;

/** A table with a heading for each column. */
export interface TextTable {
  readonly columns: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
  /** Printed in place of a table without rows. */
  readonly empty: string;
}

const plainChars = {
  "top": "",
  "top-mid": "",
  "top-left": "",
  "top-right": "",
  "bottom": "",
  "bottom-mid": "",
  "bottom-left": "",
  "bottom-right": "",
  "left": "",
  "left-mid": "",
  "mid": "",
  "mid-mid": "",
  "right": "",
  "right-mid": "",
  "middle": "  ",
};

/** Renders a table in plain text without borders or colours. */
export function renderTable(table: TextTable): string {
  if (table.rows.length === 0) return table.empty;
  const rendered = new Table({
    head: [...table.columns],
    chars: plainChars,
    style: { "head": [], "border": [], "padding-left": 0, "padding-right": 0 },
  });
  rendered.push(...table.rows.map((row) => row.map(formatCell)));
  const lines = rendered.toString().split("\n");
  return lines.map((line) => line.trimEnd()).join("\n");
}

/** Prints data as JSON where the call asks for it, else the text. */
export function printResult(
  call: CommandCall,
  result: { readonly data: unknown; readonly text: string },
): void {
  const { terminal } = call.context;
  if (call.flags.json) terminal.print(JSON.stringify(result.data, null, 2));
  else terminal.print(result.text);
}

/** Formats a time as UTC to the second. */
export function formatTime(timeMs: number): string {
  return new Date(timeMs).toISOString().replace("T", " ").slice(0, 19);
}

/** Formats a share as a percentage. */
export function formatShare(share: number, digits = 1): string {
  return `${(share * 100).toFixed(digits)}%`;
}

function formatCell(cell: Cell): string {
  if (cell === undefined || cell === "") return "-";
  if (typeof cell === "boolean") return cell ? "yes" : "no";
  return String(cell);
}
