/** Command line of an entry: `run`, `check` and `check-configuration`. */
import process from "node:process";
import { formatFinding, logEvent } from "@trefoildoor/core";
import sade from "sade";
import {
  type CheckOptions,
  runConfigurationCheck,
} from "./check_configuration.ts";
import { entryEvents } from "./events.ts";
import { createLogWriter, type LogWriter } from "./log_writer.ts";
import type { EntryPlatform } from "./platform.ts";
import { type EntrySettings, readEntrySettings } from "./settings.ts";
import { startEntry } from "./start_entry.ts";

/** A program that runs an entry on one platform. */
export interface EntryCommand {
  readonly name: string;
  readonly version: string;
  readonly platform: EntryPlatform;
  /** Environment variable with the path of the settings file, used without `--settings`. */
  readonly settingsVariable: string;
}

interface CommandOptions {
  readonly settings?: string;
}

const usageExitCode = 2;
const failureExitCode = 1;
const standardOutput = 1;
const dropCheckIntervalMs = 5_000;

/** Parses the command line and runs its command; invalid settings set exit code 2. */
export function runEntry(command: EntryCommand): void {
  const program = sade(command.name).version(command.version);
  program
    .command("run", "Run the entry that the settings describe")
    .option("-s, --settings", "Settings file in YAML")
    .action((options: CommandOptions) => runInstance(command, options));
  program
    .command("check", "Check a settings file and start nothing")
    .option("-s, --settings", "Settings file in YAML")
    .action((options: CommandOptions) => {
      const path = findPath(command, options);
      if (openSettings(path)) console.log(`${path}: settings are valid`);
    });
  program
    .command(
      "check-configuration [file]",
      "Check a routing configuration before it is written to the store",
    )
    .option("--against", "File with the configuration in force")
    .option("--json", "Print findings and changes as JSON", false)
    .action((file: string | undefined, options: CheckOptions) => {
      process.exitCode = runConfigurationCheck(
        file,
        { ...options, platform: command.platform },
      );
    });
  program.parse(process.argv, { unknown: rejectOption });
}

function rejectOption(option: string): never {
  console.error(`Unknown option: ${option}`);
  process.exit(usageExitCode);
}

function findPath(command: EntryCommand, options: CommandOptions): string {
  return options.settings ?? process.env[command.settingsVariable] ?? "";
}

async function runInstance(
  command: EntryCommand,
  options: CommandOptions,
): Promise<void> {
  const path = findPath(command, options);
  const settings = openSettings(path);
  if (!settings) return;
  const writer = startLogWriter();
  // Before the start: without a handler a hangup ends the process.
  process.on("SIGHUP", () => checkChangedSettings(path));
  try {
    const entry = await startEntry(settings, {
      platform: command.platform,
      logEvent,
      countDroppedLines: writer.countDropped,
    });
    let stopping = false;
    process.on("SIGTERM", () => {
      if (stopping) return;
      stopping = true;
      void entry.stop().then(() => writer.flush())
        .finally(() => process.exit(0));
    });
    process.on("uncaughtException", (error) => {
      logEvent(entryEvents.crashed, { error: error.stack ?? String(error) });
      entry.abortAnswers();
      void writer.flush().finally(() => process.exit(failureExitCode));
    });
  } catch (error) {
    console.error(`Entry could not start: ${error}`);
    await writer.flush();
    process.exit(failureExitCode);
  }
}

/** Redirects log lines to a non-blocking writer and logs how many lines it drops. */
function startLogWriter(): LogWriter {
  const writer = createLogWriter(standardOutput);
  const { ROARR } = globalThis as unknown as {
    readonly ROARR: { write: (line: string) => void };
  };
  ROARR.write = writer.write;
  let reported = 0;
  setInterval(() => {
    const dropped = writer.countDropped();
    if (dropped === reported) return;
    logEvent(entryEvents.linesDropped, { lines: dropped - reported });
    reported = dropped;
  }, dropCheckIntervalMs).unref();
  return writer;
}

/** Validates changed settings and logs the result; they apply from the next start only. */
function checkChangedSettings(path: string): void {
  readEntrySettings(path).caseOf({
    Left: (findings) =>
      logEvent(entryEvents.settingsRejected, {
        findings: findings.map(formatFinding).join("; "),
      }),
    Right: () => logEvent(entryEvents.settingsReloaded, { path }),
  });
}

function openSettings(path: string): EntrySettings | undefined {
  return readEntrySettings(path).caseOf({
    Left: (findings): EntrySettings | undefined => {
      for (const finding of findings) console.error(formatFinding(finding));
      process.exitCode = usageExitCode;
      return undefined;
    },
    Right: (settings): EntrySettings | undefined => settings,
  });
}
