/**
 * Decides whether a call may run under its key. It is asked when the call
 * arrives and again when it is written to an endpoint: a key that was taken away
 * must not run later than a bound, at whichever instance, so that what an
 * instance knows of keys counts only up to an age. The age is that of the routing
 * configuration: the time since the store, or a peer that had asked it, last
 * confirmed that no newer version was there.
 */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type {
  ForwardCall,
  ForwardRoute,
  Workspace,
} from "../../types/index.ts";
import type { TopicConfirmation } from "../../process/fleet/index.ts";
import { workspaceEvents } from "./events.ts";
import type { KeyDirectory } from "./key_directory.ts";

/** Whether a call may run. */
export enum KeyVerdict {
  /** The call needs no key, or a workspace holds its key. */
  Granted = "granted",
  /** No workspace holds the key. */
  Unknown = "unknown",
  /** Another workspace than at the call's arrival holds the key. */
  Moved = "moved",
  /** It is not known recently enough which keys are valid. */
  Unconfirmed = "unconfirmed",
}

/** Verdict on a call, with its workspace if it has one. */
export interface KeyDecision {
  readonly verdict: KeyVerdict;
  readonly workspace?: Workspace;
}

/** Decides on the keys of one instance's calls. */
export interface KeyCheck {
  /** Judges a call that has arrived. */
  readonly judge: (
    call: Pick<ForwardCall, "key">,
    route: Pick<ForwardRoute, "anonymous">,
  ) => KeyDecision;
  /** Whether a call that was granted may still be written to an endpoint for its workspace; undefined if so. */
  readonly findRefusal: (
    call: Pick<ForwardCall, "key">,
    workspace: string | undefined,
  ) => KeyVerdict | undefined;
}

/** Settings and knowledge that the check depends on. */
export interface KeyCheckOptions {
  readonly directory: KeyDirectory;
  /** Age of the configuration that the directory is taken from. */
  readonly configuring: Pick<TopicConfirmation, "isCurrent" | "getAgeMs">;
  /** Time after which calls with a key that was taken away must not run, in ms; undefined where no such bound holds for instances without contact. */
  readonly revokeMs?: number;
  readonly logEvent?: LogEvent;
}

/** Share of `revokeMs` up to which the known keys count; the rest covers the way to the endpoint and clocks that differ. */
const usableShare = 0.75;

/** Creates the check of one instance. */
export function createKeyCheck(options: KeyCheckOptions): KeyCheck {
  const { directory, configuring, revokeMs } = options;
  const log = options.logEvent ?? logEvent;
  const maxAgeMs = revokeMs === undefined ? Infinity : revokeMs * usableShare;
  let confirmed = true;

  /** Whether keys that are known may be used; logs when that changes. */
  function isConfirmed(): boolean {
    const ageMs = configuring.getAgeMs();
    const now = ageMs <= maxAgeMs;
    if (now !== confirmed) {
      log(
        now ? workspaceEvents.keysConfirmed : workspaceEvents.keysUnconfirmed,
        { ageMs: ageMs === Infinity ? undefined : Math.round(ageMs), maxAgeMs },
      );
    }
    confirmed = now;
    return now;
  }

  function findWorkspace(
    { key }: Pick<ForwardCall, "key">,
  ): Workspace | undefined {
    return key === undefined ? undefined : directory.find(key);
  }

  return {
    judge(call, route): KeyDecision {
      if (!directory.isInUse() || route.anonymous) {
        return { verdict: KeyVerdict.Granted };
      }
      if (!isConfirmed()) return { verdict: KeyVerdict.Unconfirmed };
      const workspace = findWorkspace(call);
      if (workspace) return { verdict: KeyVerdict.Granted, workspace };
      // A newer version may hold the key.
      const current = configuring.isCurrent() || call.key === undefined;
      return {
        verdict: current ? KeyVerdict.Unknown : KeyVerdict.Unconfirmed,
      };
    },
    findRefusal(call, workspace): KeyVerdict | undefined {
      if (workspace === undefined) return undefined;
      if (!isConfirmed()) return KeyVerdict.Unconfirmed;
      const holder = findWorkspace(call)?.name;
      if (holder === workspace) return undefined;
      return holder === undefined ? KeyVerdict.Unknown : KeyVerdict.Moved;
    },
  };
}
