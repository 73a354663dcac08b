/** Chooses which instances of a failure domain read the store for the others. */
import {
  fleetEvents,
  type LogEvent,
  type PeerRegistry,
} from "@trefoildoor/core";
import type { EntrySettings } from "./settings.ts";

/** Whether this instance reads the store. */
export interface ReaderChoice {
  /**
   * In each failure domain one instance reads the store for the others: the
   * first by name among the live instances whose digests report successful
   * reads. An instance whose list is stale, or that has another reason, reads the
   * store as well. Also logs each change of the result.
   */
  readonly isReader: () => boolean;
  /** Last result of `isReader`; true before the first. */
  readonly isReading: () => boolean;
}

/** What the choice depends on. */
export interface ReaderChoiceOptions {
  readonly settings: EntrySettings;
  readonly peers: PeerRegistry;
  readonly getListAgeMs: () => number;
  readonly getListNext: () => number;
  /** Age above which the list is stale, in ms. */
  readonly staleMs: number;
  /** Whether the instance reads for another reason. */
  readonly mustRead: () => boolean;
  readonly logEvent: LogEvent;
}

/** Creates the choice of one instance. */
export function createReaderChoice(options: ReaderChoiceOptions): ReaderChoice {
  const { settings, peers } = options;
  let reading = true;
  return {
    isReader(): boolean {
      const hasOtherReader = peers.listLive().some((peer) =>
        peer.failureDomain === settings.failure_domain && peer.readsStore &&
        !peer.stopping && peer.name < settings.instance
      );
      const listAgeMs = options.getListAgeMs();
      const reads = !hasOtherReader || listAgeMs > options.staleMs ||
        options.mustRead();
      if (reads === reading) return reads;
      reading = reads;
      options.logEvent(
        reads ? fleetEvents.readerBegan : fleetEvents.readerEnded,
        {
          listAgeMs: listAgeMs === Infinity ? undefined : Math.round(listAgeMs),
          listNext: options.getListNext(),
        },
      );
      return reads;
    },
    isReading: () => reading,
  };
}
