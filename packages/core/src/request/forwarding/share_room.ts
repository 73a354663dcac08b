/** Applies the shares of workspaces to one call. */
import {
  type ForwardCall,
  Outcome,
  RefusalReason,
  type ServiceName,
  type WorkspaceName,
} from "../../types/index.ts";
import type { SharedCall } from "../../process/shares/index.ts";
import { buildNotRun } from "./ends.ts";
import type { CallerAnswer, ForwardDependencies, ForwardEnd } from "./types.ts";

/** Call whose service and workspace are known. */
export interface OfferedCall {
  readonly call: ForwardCall;
  readonly service: ServiceName;
  readonly workspace: WorkspaceName | undefined;
  /** Whether the call takes up a stream that had begun. */
  readonly takesUp: boolean;
}

/**
 * Counts a call as work of its workspace and refuses it if that is beyond its
 * share; undefined if it may run. Streams that callers take up are not refused:
 * most of their work is done.
 */
export function refuseBeyondShare(
  { shares }: Pick<ForwardDependencies, "shares">,
  offered: OfferedCall,
): ForwardEnd | undefined {
  const shared = describeShared(offered);
  if (!shares || !shared) return undefined;
  if (offered.takesUp) {
    shares.recordOffered(shared);
    return undefined;
  }
  const retryAfterMs = shares.admit(shared);
  if (retryAfterMs === undefined) return undefined;
  return buildNotRun(
    RefusalReason.ShareUsed,
    "the workspace has used its share of the room",
    { retryAfterMs },
  );
}

/** Records that a call found no room, if it ended so and its caller has not left; returns its end. */
export function recordNoRoom(
  end: ForwardEnd,
  { parts, answer, offered }: {
    readonly parts: Pick<ForwardDependencies, "shares">;
    readonly answer: Pick<CallerAnswer, "left">;
    readonly offered: OfferedCall;
  },
): ForwardEnd {
  const shared = describeShared(offered);
  if (answer.left.aborted || !shared || !hasFoundNoRoom(end)) return end;
  parts.shares?.recordRefused(shared);
  return end;
}

function hasFoundNoRoom({ outcome, reason }: ForwardEnd): boolean {
  if (outcome !== Outcome.NotRun) return false;
  return reason === RefusalReason.Overloaded ||
    reason === RefusalReason.Limited ||
    reason === RefusalReason.DeadlineExceeded;
}

function describeShared(
  { call, service, workspace }: OfferedCall,
): SharedCall | undefined {
  if (workspace === undefined) return undefined;
  return { service, workspace, work: call.work?.promptTokens ?? 1 };
}
