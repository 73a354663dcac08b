/** Measurements of this process: processor time, heap, bytes on the wire. */
import diagnostics from "node:diagnostics_channel";
import type { Socket } from "node:net";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { median } from "simple-statistics";

const rounds = 5;
const warmUpRounds = 2;
const heapRounds = 3;
const usPerMs = 1_000;
/** Shortest time of one round, so that the clock's resolution does not show. */
const minRoundMs = 40;

/** Median processor time of one call, in µs, over several rounds. */
export async function measureProcessor(
  action: () => unknown,
): Promise<number> {
  const count = await findCount(action);
  for (let round = 0; round < warmUpRounds; round++) {
    await measureRound(action, count);
  }
  const times: number[] = [];
  for (let round = 0; round < rounds; round++) {
    times.push(await measureRound(action, count) / count);
  }
  return median(times);
}

/** Median of the bytes that a value adds to the heap; `build` returns what is kept. */
export function measureHeap(build: () => unknown): number {
  const sizes: number[] = [];
  for (let round = 0; round < heapRounds; round++) {
    const before = readHeap();
    const kept = [build()];
    sizes.push(readHeap() - before);
    kept.length = 0;
  }
  return median(sizes);
}

/** Bytes that HTTP clients of this process read and wrote during an action. */
export async function measureWire(
  action: () => Promise<unknown>,
): Promise<number> {
  const before = countBytes();
  await action();
  return countBytes() - before;
}

const sockets = new Set<Socket>();

/** Starts to note the sockets of HTTP clients; sockets opened before are unknown. */
export function observeSockets(): void {
  diagnostics.subscribe("undici:client:connected", (message) => {
    const { socket } = message as { readonly socket: Socket };
    sockets.add(socket);
  });
}

function countBytes(): number {
  return [...sockets].reduce(
    (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
    0,
  );
}

async function findCount(action: () => unknown): Promise<number> {
  let count = 1;
  while (await measureRound(action, count) < minRoundMs * usPerMs) count *= 2;
  return count;
}

async function measureRound(
  action: () => unknown,
  count: number,
): Promise<number> {
  const start = process.cpuUsage();
  for (let index = 0; index < count; index++) {
    const result = action();
    // Awaiting plain values would measure the event loop as well.
    if (result instanceof Promise) await result;
  }
  const { user, system } = process.cpuUsage(start);
  return user + system;
}

/** Used heap after two full collections; one leaves what finalizers hold. */
function readHeap(): number {
  const collect = getCollector();
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}

let collector: (() => void) | undefined;

function getCollector(): () => void {
  if (collector) return collector;
  setFlagsFromString("--expose-gc");
  collector = runInNewContext("gc") as () => void;
  return collector;
}
