/** The command that lets a halted rollout go on. */
import { RecordKind } from "@trefoildoor/core";
import { appendChange, expectConfirmation } from "../changes.ts";
import type { Command } from "../command.ts";
import { CommandError, ExitCode } from "../exit_codes.ts";
import { withFleet } from "../fleet.ts";
import { printResult } from "../output.ts";

/** Resumes the rollout of a pool that was halted. */
export const resumeRollout: Command = {
  usage: "rollout resume <pool>",
  description: "Let a rollout go on that was stopped by itself",
  run: (call) =>
    withFleet(call, async (fleet) => {
      const control = await fleet.followControl();
      const pool = call.args[0] ?? "";
      const halt = control.getState().halts[pool];
      if (!halt) {
        throw new CommandError(
          `the rollout of pool "${pool}" is not halted; nothing was changed`,
          ExitCode.BadInput,
        );
      }
      const { version, reason } = halt;
      await expectConfirmation(
        call,
        `version ${version} on pool ${pool} was halted: ${reason}`,
      );
      const author = call.flags.author ?? fleet.settings.author;
      await appendChange(call, control, {
        records: [{ kind: RecordKind.RolloutResumed, pool, version, author }],
        lookUp: "rollout",
      });
      const text = `the rollout of version ${version} on pool ${pool} goes on`;
      printResult(call, { data: { pool, version }, text });
      return ExitCode.Done;
    }),
};
