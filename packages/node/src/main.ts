/** Command line of the daemon. */
import { readFileSync } from "node:fs";
import process from "node:process";
import { formatFinding, logEvent } from "@trefoildoor/core";
import sade from "sade";
import { daemonEvents } from "./events.ts";
import { startDaemon } from "./process/daemon.ts";
import { readSettings, type Settings } from "./settings/index.ts";

const usageExitCode = 2;
const failureExitCode = 1;

/** Options of the commands. */
interface CommandOptions {
  readonly settings?: string;
}

function main(): void {
  const { version } = JSON.parse(
    readFileSync(new URL("../package.json", import.meta.url), "utf8"),
  );
  const program = sade("trefoildoord").version(version);
  program
    .command("run", "Run the instance that the settings describe")
    .option("-s, --settings", "Settings file in YAML")
    .action((options: CommandOptions) => runInstance(options));
  program
    .command("check", "Check a settings file and start nothing")
    .option("-s, --settings", "Settings file in YAML")
    .action((options: CommandOptions) => checkSettings(options));
  program.parse(process.argv, {
    unknown: (option: string) => `Unknown option: ${option}`,
  });
}

function checkSettings(options: CommandOptions): void {
  const settings = openSettings(options);
  if (settings) console.log(`${options.settings}: settings are valid`);
}

async function runInstance(options: CommandOptions): Promise<void> {
  const settings = openSettings(options);
  if (!settings) return;
  const uringFinding = findUringFault();
  if (uringFinding) return reportFault(uringFinding, usageExitCode);
  try {
    const daemon = await startDaemon(settings, process.env);
    process.on("SIGTERM", createStopHandler(daemon.stop));
    process.on("SIGINT", createStopHandler(daemon.stop));
  } catch (error) {
    logEvent(daemonEvents.startFailed, { error: String(error) });
    reportFault(
      `Instance could not start: ${
        error instanceof Error ? error.message : error
      }`,
      failureExitCode,
    );
  }
}

/** Stops once; a repeated signal doesn't cut calls in flight. */
function createStopHandler(stop: () => Promise<void>): () => void {
  let stopping = false;
  return () => {
    if (stopping) return logEvent(daemonEvents.stopRepeated);
    stopping = true;
    stop().then(
      () => process.exit(0),
      (error: unknown) =>
        reportFault(`Planned stop failed: ${error}`, failureExitCode),
    );
  };
}

function openSettings(options: CommandOptions): Settings | undefined {
  if (!options.settings) {
    reportFault("Option --settings is required", usageExitCode);
    return undefined;
  }
  return readSettings(options.settings, process.env).caseOf({
    Left: (findings) => {
      for (const finding of findings) console.error(formatFinding(finding));
      process.exitCode = usageExitCode;
      return undefined;
    },
    Right: (settings): Settings | undefined => settings,
  });
}

/** Instances must not use io_uring, which this variable enables in some builds of Node.js. */
function findUringFault(): string | undefined {
  if (
    process.env.UV_USE_IO_URING === "0" ||
    process.env.UV_USE_IO_URING === undefined
  ) return undefined;
  return 'Environment variable "UV_USE_IO_URING" turns io_uring on; set it to 0';
}

function reportFault(message: string, exitCode: number): void {
  console.error(message);
  process.exitCode = exitCode;
}

main();
