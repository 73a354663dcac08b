/** Processor time of another process. */
import { readFileSync } from "node:fs";

const ticksPerSecond = 100;
/** Fields of /proc/PID/stat after the command name: user and system time. */
const userTimeField = 11;
const systemTimeField = 12;

/** Reads the user and system time that a process has used, in seconds. */
export function readCpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
  return ticks / ticksPerSecond;
}
