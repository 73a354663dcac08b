/** What an entry's view of the fleet depends on. */
import type {
  ListUpdate,
  LogEvent,
  RouteIndex,
  RunningClock,
  StreamOrigin,
} from "@trefoildoor/core";
import type { Channels } from "./channels.ts";
import type { StoreTopics } from "./platform.ts";
import type { EntrySettings } from "./settings.ts";

/** Settings, dependencies and listeners of `openFleetView`. */
export interface FleetViewOptions {
  readonly settings: EntrySettings;
  readonly topics: StoreTopics;
  readonly channels: Channels;
  /** Clock of the time in which this instance could receive digests. */
  readonly clock: RunningClock;
  readonly onVersion: (version: RouteIndex) => void;
  /** Called after a change that other instances should receive without delay. */
  readonly onUpdate: () => void;
  /** Called after each change of the crash evidence. */
  readonly onCrashEvidence: () => void;
  /** Called when the store has come back from an older copy, which may lack what this instance wrote. */
  readonly onStoreRestored: () => void;
  /** Called after each read of the list by this instance, with its recent changes. */
  readonly onListRead: (update: ListUpdate | undefined) => void;
  /** Called with the transit delay of each accepted digest, in ms. */
  readonly onDigestDelay: (delayMs: number) => void;
  /** A stopping instance reads the store itself. */
  readonly isStopping: () => boolean;
  /** Whether a refused connection to an address shows the end of the endpoint's process. */
  readonly confirmEnd?: (address: string) => Promise<boolean>;
  /** Asks peers where a stream began. */
  readonly fetchOrigin: (key: string) => Promise<StreamOrigin | undefined>;
  readonly logEvent: LogEvent;
  readonly signal: AbortSignal;
}
