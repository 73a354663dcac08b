/** One real `trefoildoord` process under the control of a test or a tool. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { stringify } from "yaml";
import { z } from "zod";

/** One line of an instance's structured log. */
export interface InstanceLogLine {
  /** Number of the event. */
  readonly event: number;
  readonly fields: Readonly<Record<string, unknown>>;
  readonly message: string;
}

/** A running process. */
export interface InstanceProcess {
  readonly name: string;
  readonly failureDomain: string;
  /** Address for callers. */
  readonly callerAddress: string;
  /** Address for other instances. */
  readonly peerAddress: string;
  readonly pid: number;
  readonly listLogLines: () => readonly InstanceLogLine[];
  /** What the process wrote outside its structured log. */
  readonly getErrorOutput: () => string;
  /** Suspends the process, as a paused machine is. */
  readonly pause: () => void;
  readonly resume: () => void;
  /** Ends the process at once. */
  readonly kill: () => Promise<void>;
  /** Asks for a planned stop; resolves to the exit code. */
  readonly terminate: () => Promise<number | undefined>;
  /** Resolves to the exit code once the process is over. */
  readonly waitForExit: () => Promise<number | undefined>;
  readonly isRunning: () => boolean;
}

/** What an instance is started with. */
export interface InstanceStart {
  readonly name: string;
  readonly failureDomain: string;
  /** Settings document, as the daemon reads it from YAML. */
  readonly settings: unknown;
}

const startedEvent = 100;
const startTimeoutMs = 30_000;
const maxLogLines = 20_000;

const logLineSchema = z.object({
  context: z.looseObject({ event: z.number() }),
  message: z.string(),
});

/** Starts a process and resolves once it listens; rejects when it ends before. */
export async function startInstanceProcess(
  start: InstanceStart,
): Promise<InstanceProcess> {
  const folder = mkdtempSync(join(tmpdir(), "trefoildoor-"));
  const settingsPath = join(folder, "settings.yaml");
  writeFileSync(settingsPath, stringify(start.settings));
  const child = spawn(
    process.execPath,
    [findDaemon(), "run", "--settings", settingsPath],
    {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, "ROARR_LOG": "true", "UV_USE_IO_URING": "0" },
    },
  );
  const lines: InstanceLogLine[] = [];
  const errors: string[] = [];
  const exited = new Promise<number | undefined>((resolve) =>
    child.once("exit", (code) => resolve(code ?? undefined))
  );
  const listening = followOutput(child, { lines, errors });
  const addresses = await Promise.race([
    listening,
    exited.then(() => undefined),
    new Promise<undefined>((resolve) =>
      setTimeout(() => resolve(undefined), startTimeoutMs).unref()
    ),
  ]);
  rmSync(folder, { recursive: true });
  if (!addresses) {
    child.kill("SIGKILL");
    throw new Error(`${start.name} did not start: ${errors.join("\n")}`);
  }
  return {
    name: start.name,
    failureDomain: start.failureDomain,
    ...addresses,
    pid: child.pid ?? 0,
    listLogLines: () => lines,
    getErrorOutput: () => errors.join("\n"),
    pause: () => child.kill("SIGSTOP"),
    resume: () => child.kill("SIGCONT"),
    kill: async () => {
      child.kill("SIGKILL");
      await exited;
    },
    terminate: () => {
      child.kill("SIGTERM");
      return exited;
    },
    waitForExit: () => exited,
    isRunning: () => child.exitCode === null && child.signalCode === null,
  };
}

/** Path of the daemon's program in its package. */
function findDaemon(): string {
  const require = createRequire(import.meta.url);
  const main = require.resolve("@trefoildoor/node");
  return join(dirname(dirname(main)), "bin", "trefoildoord.js");
}

/** Addresses that an instance logs when it listens. */
interface Addresses {
  readonly callerAddress: string;
  readonly peerAddress: string;
}

function followOutput(
  child: ChildProcess,
  output: { readonly lines: InstanceLogLine[]; readonly errors: string[] },
): Promise<Addresses> {
  return new Promise((resolve) => {
    if (!child.stdout || !child.stderr) return;
    createInterface({ input: child.stderr }).on(
      "line",
      (line) => output.errors.push(line),
    );
    createInterface({ input: child.stdout }).on("line", (text) => {
      const line = parseLogLine(text);
      if (!line) {
        output.errors.push(text);
        return;
      }
      output.lines.push(line);
      if (output.lines.length > maxLogLines) output.lines.shift();
      if (line.event !== startedEvent) return;
      resolve({
        callerAddress: String(line.fields.callers),
        peerAddress: String(line.fields.peers),
      });
    });
  });
}

function parseLogLine(text: string): InstanceLogLine | undefined {
  try {
    const { context, message } = logLineSchema.parse(JSON.parse(text));
    const { event, ...fields } = context;
    return { event, fields, message };
  } catch {
    return undefined;
  }
}
