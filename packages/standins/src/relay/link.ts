/** One direction of a relayed connection: delays, stalls and swallows bytes. */
import type { Socket } from "node:net";

/** Faults of one direction. */
export interface LinkFaults {
  /** Delay of every chunk, in ms. */
  delayMs: number;
  /** Largest random addition to the delay, in ms. */
  jitterMs: number;
  /** Share of chunks that are lost and sent again later, 0 to 1. */
  lossShare: number;
  /** What a lost chunk is late by, in ms. */
  lossDelayMs: number;
  /** Holds bytes back until it is false again. */
  stalled: boolean;
  /** Swallows bytes; a connection that lost one delivers none after it. */
  blackhole: boolean;
}

/** Creates the faults of a perfect link. */
export function createLinkFaults(): LinkFaults {
  return {
    delayMs: 0,
    jitterMs: 0,
    lossShare: 0,
    lossDelayMs: 200,
    stalled: false,
    blackhole: false,
  };
}

/** One direction in operation. */
export interface Link {
  /** Delivers what is due; called after a change of the faults. */
  readonly flush: () => void;
  readonly close: () => void;
  readonly countBytes: () => number;
}

/** What a link needs beside its sockets. */
export interface LinkOptions {
  readonly getFaults: () => LinkFaults;
  readonly random: () => number;
}

interface QueuedChunk {
  readonly dueMs: number;
  /** Undefined marks the end of the stream. */
  readonly bytes: Buffer | undefined;
}

const maxQueuedBytes = 4 * 1024 * 1024;

/** Starts to carry bytes from one socket to the other. */
export function startLink(
  from: Socket,
  to: Socket,
  options: LinkOptions,
): Link {
  const queue: QueuedChunk[] = [];
  let queuedBytes = 0;
  let delivered = 0;
  let lastDueMs = 0;
  let swallowed = false;
  let wasReset = false;
  let timer: NodeJS.Timeout | undefined;

  const computeDueMs = (): number => {
    const { delayMs, jitterMs, lossShare, lossDelayMs } = options.getFaults();
    const lost = lossShare > 0 && options.random() < lossShare;
    const jitter = jitterMs > 0 ? options.random() * jitterMs : 0;
    const dueMs = performance.now() + delayMs + jitter +
      (lost ? lossDelayMs : 0);
    // Chunks of one connection never overtake each other.
    lastDueMs = Math.max(lastDueMs, dueMs);
    return lastDueMs;
  };
  const deliver = ({ bytes }: QueuedChunk): void => {
    if (to.destroyed) return;
    if (!bytes) {
      if (wasReset) to.write("", () => to.resetAndDestroy());
      else to.end();
      return;
    }
    queuedBytes -= bytes.length;
    delivered += bytes.length;
    to.write(bytes);
  };
  const flush = (): void => {
    clearTimeout(timer);
    timer = undefined;
    if (options.getFaults().stalled) return;
    const nowMs = performance.now();
    while (queue[0] && queue[0].dueMs <= nowMs) {
      deliver(queue.shift() as QueuedChunk);
    }
    if (queuedBytes < maxQueuedBytes && to.writableLength < maxQueuedBytes) {
      from.resume();
    }
    const next = queue[0];
    if (next) timer = setTimeout(flush, next.dueMs - nowMs);
  };
  const receive = (bytes: Buffer | undefined): void => {
    swallowed ||= options.getFaults().blackhole;
    if (swallowed) return;
    queue.push({ dueMs: computeDueMs(), bytes });
    queuedBytes += bytes?.length ?? 0;
    if (queuedBytes >= maxQueuedBytes || to.writableLength >= maxQueuedBytes) {
      from.pause();
    }
    if (!timer) flush();
  };
  from.on("data", (bytes: Buffer) => receive(bytes));
  from.once("end", () => {
    // A reset together with bytes is reported as an end; only its connection has no other side.
    wasReset = from.remoteAddress === undefined;
    receive(undefined);
  });
  to.on("drain", flush);
  return {
    flush,
    close: () => {
      clearTimeout(timer);
      queue.length = 0;
    },
    countBytes: () => delivered,
  };
}
