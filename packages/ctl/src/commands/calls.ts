/** The command that lists calls whose result is not known. */
import {
  emptyCallsState,
  foldCalls,
  listOpenCalls,
  readCallsCheckpoint,
  StreamName,
} from "@trefoildoor/core";
import type { Command } from "../command.ts";
import { ExitCode } from "../exit_codes.ts";
import { withFleet } from "../fleet.ts";
import { formatTime, printResult, renderTable } from "../output.ts";

/** Lists calls that are undecided or whose result cannot be learnt. */
export const showCalls: Command = {
  usage: "calls",
  description: "List calls that run at most once and have no known result",
  run: (call) =>
    withFleet(call, async (fleet) => {
      const calls = await fleet.follow({
        stream: StreamName.Calls,
        emptyState: emptyCallsState,
        fold: foldCalls,
        readCheckpoint: readCallsCheckpoint,
      });
      const data = listOpenCalls(calls.getState()).map((entry) => ({
        caller: entry.caller,
        key: entry.key,
        service: entry.service,
        instance: entry.instance,
        time: formatTime(entry.timeMs),
        result: entry.result ?? "undecided",
      }));
      const text = renderTable({
        columns: ["since (UTC)", "caller", "service", "instance", "result"],
        rows: data.map((row) => [
          row.time,
          row.caller,
          row.service,
          row.instance,
          row.result,
        ]),
        empty: "every call has a known result",
      });
      printResult(call, { data, text });
      return ExitCode.Done;
    }),
};
