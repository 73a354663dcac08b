/** Faults of a configuration's workspaces. */
import type { Workspace } from "../../types/index.ts";

/** Longest key, in bytes: as long as a header line that callers commonly may send. */
const maxKeyBytes = 4_096;
/** Keys are values of headers: visible ASCII characters only. */
const keyForm = /^[\x21-\x7e]+$/;
const maxListed = 20;

/** Lists the faults of the workspaces with their place; keys themselves are not named. */
export function listWorkspaceFaults(
  workspaces: readonly Workspace[],
): readonly string[] {
  const faults: string[] = [];
  const names = new Set<string>();
  const holders = new Map<string, string>();
  for (const [index, { name, keys }] of workspaces.entries()) {
    if (names.has(name)) {
      faults.push(`workspace ${index} has the name "${name}" of another one`);
    }
    names.add(name);
    for (const [place, key] of keys.entries()) {
      const fault = findKeyFault(key) ??
        findHolderFault(holders.get(key), name);
      if (fault) faults.push(`key ${place} of workspace "${name}" ${fault}`);
      holders.set(key, name);
    }
  }
  const more = faults.length - maxListed;
  return more > 0
    ? [...faults.slice(0, maxListed), `${more} further faults of workspaces`]
    : faults;
}

function findKeyFault(key: string): string | undefined {
  if (key === "") return "is empty";
  if (key.length > maxKeyBytes) return `has more than ${maxKeyBytes} bytes`;
  return keyForm.test(key) ? undefined : "has other than visible characters";
}

function findHolderFault(
  holder: string | undefined,
  name: string,
): string | undefined {
  if (holder === undefined) return undefined;
  return holder === name
    ? "is listed twice"
    : `is also a key of workspace "${holder}"`;
}
