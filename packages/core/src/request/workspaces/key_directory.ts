/**
 * Which workspace holds a key, in the configuration in force. The directory is
 * changed in place, so that a version that changes one key costs the comparison
 * of the lists and no new index.
 */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type { Workspace } from "../../types/index.ts";
import { workspaceEvents } from "./events.ts";

/** Keys of all workspaces. */
export interface KeyDirectory {
  /** Whether the configuration names workspaces, so that calls need a key. */
  readonly isInUse: () => boolean;
  /** Workspace that holds the key; undefined if none does. */
  readonly find: (key: string) => Workspace | undefined;
  /** Takes over the workspaces of a configuration; undefined where it names none. */
  readonly apply: (
    workspaces: readonly Workspace[] | undefined,
    version: number,
  ) => void;
}

/** Creates a directory without workspaces. */
export function createKeyDirectory(
  options: { readonly logEvent?: LogEvent } = {},
): KeyDirectory {
  const log = options.logEvent ?? logEvent;
  const holders = new Map<string, Workspace>();
  let known: ReadonlyMap<string, Workspace> = new Map();
  let inUse = false;

  function removeKeys(former: Workspace, now: Workspace | undefined): number {
    const kept = new Set(now?.keys);
    let removed = 0;
    for (const key of former.keys) {
      // Another workspace may have taken the key over in the same version.
      if (kept.has(key) || holders.get(key) !== former) continue;
      holders.delete(key);
      removed += 1;
    }
    return removed;
  }

  function addKeys(workspace: Workspace): number {
    let added = 0;
    for (const key of workspace.keys) {
      if (holders.get(key)?.name !== workspace.name) added += 1;
      holders.set(key, workspace);
    }
    return added;
  }

  return {
    isInUse: () => inUse,
    find: (key) => holders.get(key),
    apply(workspaces, version): void {
      inUse = workspaces !== undefined;
      const next = new Map<string, Workspace>();
      let added = 0;
      let removed = 0;
      for (const workspace of workspaces ?? []) {
        const former = known.get(workspace.name);
        const unchanged = former !== undefined && isSame(former, workspace);
        next.set(workspace.name, unchanged ? former : workspace);
        if (!unchanged) added += addKeys(workspace);
      }
      for (const former of known.values()) {
        const now = next.get(former.name);
        if (now !== former) removed += removeKeys(former, now);
      }
      known = next;
      if (added + removed === 0) return;
      log(workspaceEvents.keysChanged, {
        version,
        workspaces: known.size,
        added,
        removed,
      });
    },
  };
}

function isSame(former: Workspace, now: Workspace): boolean {
  return former.rank === now.rank && former.keys.length === now.keys.length &&
    former.keys.every((key, index) => key === now.keys[index]);
}
