/** Compares one instance with a bare pipe to the same engine. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { Fleet } from "../fleet/index.ts";
import { readCpuSeconds } from "./cpu_time.ts";
import type { LoadReportSummary } from "./load_report.ts";
import { type LoadOptions, runLoad } from "./run_load.ts";

/** One side of the comparison. */
export interface ComparedSide {
  readonly report: LoadReportSummary;
  /** Processor time of the relaying process, in seconds. */
  readonly cpuSeconds: number;
  /** What one fully used core relays. */
  readonly tokensPerCoreSecond: number;
  readonly requestsPerCoreSecond: number;
}

/** Runs the same workload through the pipe and then through the instance. */
export async function compareWithPipe(
  fleet: Fleet,
  options: Omit<LoadOptions, "target"> & {
    readonly target: Omit<LoadOptions["target"], "listEntries">;
  },
): Promise<{ readonly pipe: ComparedSide; readonly instance: ComparedSide }> {
  const engine = fleet.engines[0];
  const instance = fleet.listInstances()[0];
  if (!engine || !instance) throw new Error("fleet has no engine or instance");
  const pipe = await startPipeProcess(engine.relay.address);
  try {
    const run = (side: RelayProcess): Promise<ComparedSide> =>
      measureSide(side, options);
    return {
      pipe: await run(pipe),
      instance: await run({
        address: instance.callerAddress,
        pid: instance.pid,
      }),
    };
  } finally {
    process.kill(pipe.pid, "SIGTERM");
  }
}

/** A process that relays from callers to an engine. */
interface RelayProcess {
  readonly address: string;
  readonly pid: number;
}

async function measureSide(
  side: RelayProcess,
  options: Parameters<typeof compareWithPipe>[1],
): Promise<ComparedSide> {
  const listEntries = (): readonly string[] => [side.address];
  const before = readCpuSeconds(side.pid);
  const report = await runLoad({
    ...options,
    target: { ...options.target, listEntries },
  });
  const cpuSeconds = readCpuSeconds(side.pid) - before;
  const tokens = report.tokensPerSecond * report.durationMs / 1_000;
  return {
    report,
    cpuSeconds,
    tokensPerCoreSecond: tokens / cpuSeconds,
    requestsPerCoreSecond: report.requests / cpuSeconds,
  };
}

async function startPipeProcess(engineAddress: string): Promise<RelayProcess> {
  const program = fileURLToPath(new URL("./pipe_main.js", import.meta.url));
  const child = spawn(process.execPath, [program, engineAddress], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const [address] = await once(createInterface(child.stdout), "line");
  return { address: String(address), pid: child.pid ?? 0 };
}
