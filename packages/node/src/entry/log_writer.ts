/**
 * Writes log lines to a file descriptor without blocking the process. If the
 * reader is too slow or the rate too high, lines are dropped and counted.
 */
import { write } from "node:fs";

/** A non-blocking writer of log lines. */
export interface LogWriter {
  readonly write: (line: string) => void;
  readonly countDropped: () => number;
  /** Resolves once all pending lines are written or the reader has closed the pipe. */
  readonly flush: () => Promise<void>;
}

/** Pending bytes above which lines are dropped: about 4,000 lines. */
const maxPendingBytes = 1_048_576;
/** Rate limit in lines per second: several lines for each call at ten times the usual load of an instance. */
const maxLinesPerSecond = 400;
const msPerSecond = 1_000;
/** Delay before another write to a full pipe, in ms. */
const retryDelayMs = 20;

/** Creates a writer to a file descriptor, which may be a non-blocking pipe. */
export function createLogWriter(descriptor: number): LogWriter {
  let waiting: string[] = [];
  let pendingBytes = 0;
  let dropped = 0;
  let writing: Promise<void> | undefined;
  let rateTokens = maxLinesPerSecond;
  let refilledMs = performance.now();

  function isWithinRate(): boolean {
    const nowMs = performance.now();
    const refill = (nowMs - refilledMs) * maxLinesPerSecond / msPerSecond;
    rateTokens = Math.min(rateTokens + refill, maxLinesPerSecond);
    refilledMs = nowMs;
    if (rateTokens < 1) return false;
    rateTokens -= 1;
    return true;
  }

  async function writePending(): Promise<void> {
    while (waiting.length > 0) {
      const text = Buffer.from(waiting.join(""));
      waiting = [];
      pendingBytes = 0;
      if (!await writeAll(descriptor, text)) dropped += 1;
    }
    writing = undefined;
  }

  return {
    write(line): void {
      if (pendingBytes > maxPendingBytes || !isWithinRate()) {
        dropped += 1;
        return;
      }
      waiting.push(`${line}\n`);
      pendingBytes += line.length;
      writing ??= writePending();
    },
    countDropped: () => dropped,
    flush: async () => await writing,
  };
}

/** Writes all bytes; false if a write fails, for instance because the reader has closed the pipe. */
async function writeAll(descriptor: number, text: Buffer): Promise<boolean> {
  let from = 0;
  while (from < text.length) {
    const written = await writeSome(descriptor, text.subarray(from));
    if (written < 0) return false;
    if (written === 0) {
      await new Promise((resolve) => setTimeout(resolve, retryDelayMs));
    }
    from += written;
  }
  return true;
}

/** Resolves to the number of bytes written: 0 if the pipe is full, -1 after another error. */
function writeSome(descriptor: number, bytes: Buffer): Promise<number> {
  return new Promise((resolve) => {
    write(descriptor, bytes, 0, bytes.length, null, (error, written) => {
      if (!error) return resolve(written);
      resolve(error.code === "EAGAIN" ? 0 : -1);
    });
  });
}
