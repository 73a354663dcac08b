/**
 * Idempotency keys. A key in the form of a UUID version 7 carries the time of
 * its creation, so that a key too old to be remembered is recognised as such.
 */
import type { CallerName } from "../../types/index.ts";

const datedKey =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Longest accepted key, in characters. */
export const maxKeyLength = 128;

/** What identifies a call that runs at most once. */
export interface CallId {
  readonly caller: CallerName;
  readonly key: string;
}

/** Index of a call in the folded state. */
export function formatCallId(id: CallId): string {
  return `${id.caller}/${id.key}`;
}

/** Time inside a UUID version 7 in ms since the epoch; undefined for other keys. */
export function parseKeyTimeMs(key: string): number | undefined {
  const match = datedKey.exec(key);
  return match ? Number.parseInt(`${match[1]}${match[2]}`, 16) : undefined;
}

/** Whether a key has an accepted length and only printable characters. */
export function isValidKey(key: string): boolean {
  return key.length <= maxKeyLength && /^[\x21-\x7e]+$/.test(key);
}
