/** The fleet as an operator's process reads it from the platform. */
import { randomUUID } from "node:crypto";
import {
  type Bundle,
  checkEntry,
  type ControlState,
  emptyControlState,
  foldControl,
  followStream,
  type FollowStreamOptions,
  getOffset,
  listRecords,
  type LogPosition,
  type LogService,
  type Member,
  readControlCheckpoint,
  RecordKind,
  RemoteError,
  RemoteFailure,
  type StreamFollower,
  StreamName,
  type StreamState,
  verifyBundle,
  waitFor,
} from "@trefoildoor/core";
import type { CommandCall } from "./command.ts";
import { CommandError, ExitCode } from "./exit_codes.ts";
import { type OperatorSettings, readOperatorSettings } from "./settings.ts";

/** Connections of one command to the platform. */
export interface Fleet {
  readonly settings: OperatorSettings;
  readonly log: LogService;
  /** Follows the control stream; resolves once it was read to its end. */
  readonly followControl: () => Promise<StreamFollower<ControlState>>;
  /** Follows another stream in the same way. */
  readonly follow: <S extends StreamState>(
    options: Pick<
      FollowStreamOptions<S>,
      "stream" | "emptyState" | "fold" | "readCheckpoint"
    >,
  ) => Promise<StreamFollower<S>>;
  /** The platform's list; undefined when settings do not name it or it fails. */
  readonly findMembers: () => Promise<readonly Member[] | undefined>;
}

/** Runs an action with connections to the platform and closes them after it. */
export async function withFleet<T>(
  call: CommandCall,
  run: (fleet: Fleet) => Promise<T>,
): Promise<T> {
  const settings = readOperatorSettings(call.flags.settings);
  const log = call.context.platform.openLog(settings.log);
  const followers: { readonly stop: () => Promise<void> }[] = [];

  async function follow<S extends StreamState>(
    options: Pick<
      FollowStreamOptions<S>,
      "stream" | "emptyState" | "fold" | "readCheckpoint"
    >,
  ): Promise<StreamFollower<S>> {
    const follower = followStream({
      ...options,
      log,
      writer: `operator-${randomUUID()}`,
      appendTimeoutMs: settings.timeout_ms,
      logEvent: () => undefined,
    });
    followers.push(follower);
    await waitUntilRead(follower, settings);
    return follower;
  }

  try {
    return await run({
      settings,
      log,
      follow,
      followControl: () => follow(describeControl(settings)),
      findMembers: () => findMembers(call, settings),
    });
  } finally {
    for (const follower of followers) await follower.stop();
    await log.close();
  }
}

/** Reads the control stream to its end once. */
export function readControl(call: CommandCall): Promise<ControlState> {
  return withFleet(
    call,
    async (fleet) => (await fleet.followControl()).getState(),
  );
}

/**
 * Reads the content of the published bundle at a position; undefined when the
 * log no longer keeps it.
 */
export async function findBundleAt(
  log: LogService,
  position: LogPosition,
): Promise<Bundle | undefined> {
  const offset = getOffset(position);
  const page = await readEntry(log, offset);
  const entry = page?.entries.find((candidate) => candidate.offset === offset);
  if (!entry) return undefined;
  const placed = listRecords(checkEntry(emptyControlState, entry))
    .find((candidate) => candidate.position === position);
  if (placed?.record.kind !== RecordKind.BundlePublished) return undefined;
  return placed.record.signed.bundle;
}

async function readEntry(
  log: LogService,
  offset: number,
): Promise<Awaited<ReturnType<LogService["read"]>> | undefined> {
  try {
    return await log.read(StreamName.Control, { from: offset, limit: 1 });
  } catch (error) {
    const isExpired = error instanceof RemoteError &&
      error.failure === RemoteFailure.Expired;
    if (isExpired) return undefined;
    throw error;
  }
}

function describeControl(
  settings: OperatorSettings,
): Pick<
  FollowStreamOptions<ControlState>,
  "stream" | "emptyState" | "fold" | "readCheckpoint"
> {
  const keys = new Map(Object.entries(settings.signing_keys));
  const options = {
    verifySignature: (signed: Parameters<typeof verifyBundle>[0]): boolean =>
      verifyBundle(signed, keys),
  };
  return {
    stream: StreamName.Control,
    emptyState: emptyControlState,
    fold: (state, record) => foldControl(state, record, options),
    readCheckpoint: (record) => readControlCheckpoint(record, options),
  };
}

async function waitUntilRead<S>(
  follower: StreamFollower<S>,
  settings: OperatorSettings,
): Promise<void> {
  const giveUp = new AbortController();
  await Promise.race([
    follower.waitUntilStarted(),
    waitFor(settings.timeout_ms, giveUp.signal),
  ]);
  giveUp.abort();
  if (follower.isStarted()) return;
  throw new CommandError(
    `the log service at ${settings.log} cannot be read; nothing was changed`,
    ExitCode.Unreachable,
  );
}

async function findMembers(
  call: CommandCall,
  settings: OperatorSettings,
): Promise<readonly Member[] | undefined> {
  if (settings.members === undefined) return undefined;
  const members = call.context.platform.openMembers(settings.members);
  try {
    return await members.listMembers(AbortSignal.timeout(settings.timeout_ms));
  } catch {
    call.context.terminal.report(
      `the list of processes at ${settings.members} cannot be read; its columns are empty`,
    );
    return undefined;
  } finally {
    await members.close();
  }
}
