/**
 * Keeps this instance's crash evidence in the store, and reads what all
 * instances stored before, so that a restart of all of them forgets nothing.
 */
import {
  crashEvents,
  type CrashWatch,
  type LogEvent,
  runWithTimeout,
  type StoredCrashes,
  waitFor,
  type WritableTopic,
} from "@trefoildoor/core";

/** The stored evidence of one instance. */
export interface CrashRecord {
  /** Writes the evidence after a short delay, if what has to be stored has changed. */
  readonly scheduleWrite: () => void;
  /** Writes the evidence again, as the store may have lost it. */
  readonly writeAgain: () => void;
}

/** Dependencies of the record. */
export interface CrashRecordOptions {
  readonly instance: string;
  readonly topic: WritableTopic<StoredCrashes>;
  readonly crashes: CrashWatch;
  readonly logEvent: LogEvent;
  readonly signal: AbortSignal;
}

/** Delay of a write, in ms, as all calls of an endpoint are lost at about the same time. */
const writeDelayMs = 200;
const minRetryMs = 300;
const maxRetryMs = 3_000;
const readTimeoutMs = 1_500;

/** Starts to read the stored evidence, with retries until `signal` aborts. */
export function keepCrashRecord(options: CrashRecordOptions): CrashRecord {
  const { topic, crashes, signal, logEvent } = options;
  /** Content of the own record, without ages. */
  let written = emptyContent;
  let changed = false;
  let writing = false;

  async function readAll(): Promise<void> {
    const { records } = await runWithTimeout(topic.fetchNewest, {
      timeoutMs: readTimeoutMs,
      signal,
    });
    for (const { key, value } of records) {
      if (!value) continue;
      const own = key === options.instance;
      if (own) written = describeContent(value.crashes);
      crashes.applyStored(value, { from: key, own });
    }
  }

  async function writeChanges(): Promise<void> {
    const stored = crashes.getStored();
    const content = describeContent(stored.crashes);
    if (content === written) return;
    await topic.append({ key: options.instance, value: stored }, { signal });
    written = content;
  }

  /** Runs until it succeeds; failures are logged once. */
  async function runWithRetries(
    run: () => Promise<void>,
    event: typeof crashEvents.evidenceNotRead,
  ): Promise<void> {
    for (let failures = 0; !signal.aborted; failures++) {
      try {
        return await run();
      } catch (error) {
        if (signal.aborted) return;
        if (failures === 0) logEvent(event, { error: String(error) });
        await waitFor(
          Math.min(minRetryMs * 2 ** failures, maxRetryMs),
          signal,
        );
      }
    }
  }

  async function writeUntilUnchanged(): Promise<void> {
    writing = true;
    await whenRead;
    while (changed && !signal.aborted) {
      await waitFor(writeDelayMs, signal);
      changed = false;
      await runWithRetries(writeChanges, crashEvents.evidenceNotStored);
    }
    writing = false;
  }

  const whenRead = runWithRetries(readAll, crashEvents.evidenceNotRead);

  function scheduleWrite(): void {
    changed = true;
    if (!writing) void writeUntilUnchanged();
  }

  return {
    scheduleWrite,
    writeAgain(): void {
      written = emptyContent;
      scheduleWrite();
    },
  };
}

/** Content of a record that is not there, or without crashes. */
const emptyContent = "[]";

/** Describes stored crashes without their ages, to see whether they have changed. */
function describeContent(crashes: StoredCrashes["crashes"]): string {
  return JSON.stringify(
    crashes.map(({ endpoint, startedAtMs, traits }) => [
      endpoint,
      startedAtMs,
      traits.toSorted(),
    ]),
  );
}
