/** The command line: parsing by sade, running, exit codes. */
import { RemoteError } from "@trefoildoor/core";
import sade from "sade";
import type { Command, CommandContext, CommandFlags } from "./command.ts";
import { commands } from "./commands/index.ts";
import { CommandError, ExitCode } from "./exit_codes.ts";

const defaultSettings = "trefoildoorctl.yaml";
const booleanFlags = ["json", "yes", "all"];

/** A parsed command, ready to run. */
type RunCommand = (context: CommandContext) => Promise<ExitCode>;

/**
 * Runs one command line, as `process.argv` has it. Where the arguments have
 * faults, sade prints them and ends the process.
 */
export async function runCommandLine(
  argv: readonly string[],
  context: CommandContext,
): Promise<ExitCode> {
  const run = parseCommandLine(argv);
  if (!run) return ExitCode.Done;
  try {
    return await run(context);
  } catch (error) {
    if (error instanceof CommandError) {
      context.terminal.report(error.message);
      return error.exitCode;
    }
    if (!(error instanceof RemoteError)) throw error;
    context.terminal.report(`${error.message}; nothing was changed`);
    return ExitCode.Unreachable;
  }
}

function parseCommandLine(argv: readonly string[]): RunCommand | undefined {
  const program = sade("trefoildoorctl");
  program.option("--settings", "Settings file", defaultSettings);
  program.option("--json", "Print the result as JSON");
  program.option("--yes", "Change the fleet without asking");
  program.option(
    "--author",
    "Name beside the change, in place of the settings'",
  );
  for (const command of commands) registerCommand(program, command);
  const parsed = program.parse([...argv], {
    lazy: true,
    boolean: booleanFlags,
    string: ["window", "note", "out", "html", "base", "key-file", "settings"],
    unknown: (flag: string) => `Unknown flag ${flag}`,
  });
  // Help and version print and return nothing.
  return parsed?.handler(...parsed.args) as RunCommand | undefined;
}

function registerCommand(program: sade.Sade, command: Command): void {
  program.command(command.usage, command.description);
  for (const [flag, text] of Object.entries(command.options ?? {})) {
    program.option(flag, text);
  }
  if (command.example !== undefined) program.example(command.example);
  program.action((...given: unknown[]): RunCommand => {
    const flags = parseFlags(given.at(-1) as Record<string, unknown>);
    const args = given.slice(0, -1).filter((arg) => arg !== undefined);
    return (context) => command.run({ context, flags, args: args.map(String) });
  });
}

function parseFlags(given: Record<string, unknown>): CommandFlags {
  const { settings, out, author, note, base, window, html } = given;
  return {
    settings: String(settings),
    json: given["json"] === true,
    yes: given["yes"] === true,
    all: given["all"] === true,
    ...pickTexts({
      out,
      author,
      note,
      base,
      window,
      html,
      keyFile: given["key-file"],
    }),
  };
}

function pickTexts(
  given: Readonly<Record<string, unknown>>,
): Readonly<Record<string, string>> {
  const texts = Object.entries(given)
    .filter(([, value]) => value !== undefined && value !== "")
    .map(([name, value]) => [name, String(value)] as const);
  return Object.fromEntries(texts);
}
