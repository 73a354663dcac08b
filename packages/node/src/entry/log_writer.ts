/**
 * Writes log lines to standard output without ever blocking the process: a
 * pipe that nobody reads fills a bounded buffer, and further lines are dropped
 * and counted.
 */
import { write } from "node:fs";

/** Writer of log lines. */
export interface LogWriter {
  readonly write: (line: string) => void;
  readonly countDropped: () => number;
  /** Resolves once all lines are written, or the reader is gone. */
  readonly flush: () => Promise<void>;
}

/** Bytes that wait for the reader: about 4,000 lines. */
const maxWaitingBytes = 1_048_576;
/** Lines a second: several for each call at ten times the usual load of an instance. */
const maxLinesPerSecond = 400;
const msPerSecond = 1_000;
const retryMs = 20;

/** Creates a writer to a file descriptor. */
export function createLogWriter(descriptor: number): LogWriter {
  let waiting: string[] = [];
  let waitingBytes = 0;
  let dropped = 0;
  let writing: Promise<void> | undefined;
  let budget = maxLinesPerSecond;
  let budgetMs = performance.now();

  function isWithinRate(): boolean {
    const nowMs = performance.now();
    const earned = (nowMs - budgetMs) * maxLinesPerSecond / msPerSecond;
    budget = Math.min(budget + earned, maxLinesPerSecond);
    budgetMs = nowMs;
    if (budget < 1) return false;
    budget -= 1;
    return true;
  }

  async function writeWaiting(): Promise<void> {
    while (waiting.length > 0) {
      const text = Buffer.from(waiting.join(""));
      waiting = [];
      waitingBytes = 0;
      if (!await writeAll(descriptor, text)) dropped += 1;
    }
    writing = undefined;
  }

  return {
    write(line): void {
      if (waitingBytes > maxWaitingBytes || !isWithinRate()) {
        dropped += 1;
        return;
      }
      waiting.push(`${line}\n`);
      waitingBytes += line.length;
      writing ??= writeWaiting();
    },
    countDropped: () => dropped,
    flush: async () => await writing,
  };
}

/** Writes all bytes; false where the reader is gone. */
async function writeAll(descriptor: number, text: Buffer): Promise<boolean> {
  let from = 0;
  while (from < text.length) {
    const written = await writeSome(descriptor, text.subarray(from));
    if (written < 0) return false;
    if (written === 0) {
      await new Promise((resolve) => setTimeout(resolve, retryMs));
    }
    from += written;
  }
  return true;
}

function writeSome(descriptor: number, bytes: Buffer): Promise<number> {
  return new Promise((resolve) => {
    write(descriptor, bytes, 0, bytes.length, null, (error, written) => {
      if (!error) return resolve(written);
      resolve(error.code === "EAGAIN" ? 0 : -1);
    });
  });
}
