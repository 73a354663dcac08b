/** The command that shows service levels. */
import {
  type BurnReport,
  type BurnSummary,
  checkEntry,
  computeBurn,
  listRecords,
  type LogService,
  RecordKind,
  StreamName,
} from "@trefoildoor/core";
import type { Command } from "../command.ts";
import { parseDuration } from "../durations.ts";
import { ExitCode } from "../exit_codes.ts";
import { writeOutput } from "../files.ts";
import { withFleet } from "../fleet.ts";
import { printResult } from "../output.ts";
import { formatBurn } from "../views/format_burn.ts";
import { renderBurnPage } from "../views/render_burn_page.ts";

const defaultWindow = "28d";
const readLimit = 1_000;

/** Shows burn rates, what is left of the budgets, and who lost answers why. */
export const showBurn: Command = {
  usage: "burn",
  description: "Report service-level burn from the instances' summaries",
  options: {
    "--window": `Time that the report covers (default ${defaultWindow})`,
    "--html": "Also write a page with a plot to this file",
  },
  example: "burn --window 7d --html burn.html",
  run: (call) =>
    withFleet(call, async (fleet) => {
      const windowMs = parseDuration(call.flags.window ?? defaultWindow);
      const control = (await fleet.followControl()).getState();
      const objectives = control.bundle?.signed.bundle.objectives ?? [];
      const summaries = await readSummaries(fleet.log);
      const toMs = Date.now();
      const report: BurnReport = computeBurn(summaries, {
        objectives,
        window: { fromMs: toMs - windowMs, toMs },
      });
      if (call.flags.html !== undefined) {
        const page = await renderBurnPage(report, {
          summaries,
          objectives,
        });
        writeOutput(call.flags.html, page);
      }
      printResult(call, { data: report, text: formatBurn(report) });
      return ExitCode.Done;
    }),
};

/** Reads all summaries that the log still keeps. */
async function readSummaries(
  log: LogService,
): Promise<readonly BurnSummary[]> {
  const summaries: BurnSummary[] = [];
  const stream = StreamName.Burn;
  let { earliest: from, end } = await log.read(stream, {
    from: Number.MAX_SAFE_INTEGER,
    limit: 1,
  });
  while (from < end) {
    const page = await log.read(stream, { from, limit: readLimit });
    for (const entry of page.entries) {
      const records = listRecords(checkEntry({ next: 0 }, entry));
      for (const { record } of records) {
        if (record.kind === RecordKind.BurnSummary) summaries.push(record);
      }
    }
    const last = page.entries.at(-1);
    if (!last) break;
    from = last.offset + 1;
    end = page.end;
  }
  return summaries;
}
