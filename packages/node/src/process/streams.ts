/** The log streams that an instance follows. */
import {
  buildCallsCheckpoint,
  buildControlCheckpoint,
  type CallsState,
  type ControlState,
  emptyCallsState,
  emptyControlState,
  foldCalls,
  foldControl,
  type FoldControlOptions,
  followStream,
  type InstanceName,
  type LogService,
  readCallsCheckpoint,
  readControlCheckpoint,
  type StreamFollower,
  StreamName,
  type StreamState,
  verifyBundle,
} from "@trefoildoor/core";
import type { Settings } from "../settings/index.ts";

/** Followers of the streams that all instances share. */
export interface Streams {
  readonly control: StreamFollower<ControlState>;
  readonly calls: StreamFollower<CallsState>;
  /** Service-level summaries; its state is only the next position to read. */
  readonly burn: StreamFollower<StreamState>;
  readonly stop: () => Promise<void>;
}

/** Creates the check of bundle signatures against the public keys in the settings. */
export function createSignatureChecks(
  signingKeys: Settings["signing_keys"],
): FoldControlOptions {
  const keys = new Map(Object.entries(signingKeys));
  return { verifySignature: (signed) => verifyBundle(signed, keys) };
}

/** Starts to follow the control, calls and burn streams. */
export function followStreams(
  log: LogService,
  options: {
    readonly instance: InstanceName;
    readonly signingKeys: Settings["signing_keys"];
    readonly fetchPeerState: () => Promise<ControlState | undefined>;
  },
): Streams {
  const checks = createSignatureChecks(options.signingKeys);
  const control = followStream<ControlState>({
    stream: StreamName.Control,
    log,
    writer: options.instance,
    emptyState: emptyControlState,
    fold: (state, entry) => foldControl(state, entry, checks),
    buildCheckpoint: buildControlCheckpoint,
    readCheckpoint: (record) => readControlCheckpoint(record, checks),
    fetchPeerState: options.fetchPeerState,
  });
  const calls = followStream<CallsState>({
    stream: StreamName.Calls,
    log,
    writer: options.instance,
    emptyState: emptyCallsState,
    fold: foldCalls,
    buildCheckpoint: buildCallsCheckpoint,
    readCheckpoint: readCallsCheckpoint,
  });
  const burn = followStream<StreamState>({
    stream: StreamName.Burn,
    log,
    writer: options.instance,
    emptyState: { next: 0 },
    fold: (state, { position }) => ({ ...state, next: position + 1 }),
  });
  return {
    control,
    calls,
    burn,
    async stop(): Promise<void> {
      await Promise.all([control.stop(), calls.stop(), burn.stop()]);
    },
  };
}
