/** Changes of the fleet: confirmation, append, and what is known when it fails. */
import {
  type ControlState,
  Effect,
  type LogPosition,
  type LogRecord,
  RemoteError,
  type StreamFollower,
} from "@trefoildoor/core";
import type { CommandCall } from "./command.ts";
import { CommandError, ExitCode } from "./exit_codes.ts";

/** Asks the operator to confirm a change unless the call says yes already. */
export async function expectConfirmation(
  call: CommandCall,
  description: string,
): Promise<void> {
  const { terminal } = call.context;
  terminal.report(description);
  if (call.flags.yes) return;
  if (!terminal.confirm) {
    throw new CommandError(
      "this changes the fleet: confirm with --yes; nothing was changed",
      ExitCode.BadInput,
    );
  }
  if (await terminal.confirm("change the fleet?")) return;
  throw new CommandError("nothing was changed", ExitCode.Refused);
}

/**
 * Appends records to the control stream and reads them back. When that fails,
 * the error says whether anything was changed and how to find out.
 */
export async function appendChange(
  call: CommandCall,
  control: StreamFollower<ControlState>,
  { records, lookUp }: {
    readonly records: readonly LogRecord[];
    /** Command that shows whether the change took effect. */
    readonly lookUp: string;
  },
): Promise<readonly LogPosition[]> {
  try {
    return await control.append(records);
  } catch (error) {
    if (!(error instanceof RemoteError)) throw error;
    if (error.effect === Effect.None) {
      throw new CommandError(
        `${error.message}; nothing was changed`,
        ExitCode.Unreachable,
      );
    }
    throw new CommandError(
      `${error.message}; the change may still take effect: see "trefoildoorctl ${lookUp} --settings ${call.flags.settings}" before trying again`,
      ExitCode.Unreachable,
    );
  }
}
