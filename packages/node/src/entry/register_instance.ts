/** Registration of an instance in the store, where other instances read its address. */
import {
  type LogEvent,
  type PeerAddress,
  waitFor,
  type WritableTopic,
} from "@trefoildoor/core";
import { entryEvents } from "./events.ts";
import type { EntrySettings } from "./settings.ts";

/** Pause between attempts to register, in ms. */
const retryMs = 500;

/** Registers this instance; retries until it succeeds or `signal` aborts. */
export async function registerInstance(
  options: {
    readonly settings: EntrySettings;
    readonly topic: WritableTopic<PeerAddress>;
    readonly logEvent: LogEvent;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  const { settings, topic, signal, logEvent } = options;
  const registration = {
    name: settings.instance,
    address: settings.peers,
    failureDomain: settings.failure_domain,
  };
  while (!signal.aborted) {
    try {
      await topic.append(
        { key: registration.name, value: registration },
        { signal },
      );
      return;
    } catch (error) {
      logEvent(entryEvents.notRegistered, { error: String(error) });
      await waitFor(retryMs, signal);
    }
  }
}
