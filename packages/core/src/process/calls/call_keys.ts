/**
 * Idempotency keys. A UUID version 7 contains its creation time, so an expired
 * key is detected after its entry has been removed from the state.
 */
import type { CallerName } from "../../types/index.ts";

const uuidV7Pattern =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Maximum length of a key, in characters. */
export const maxKeyLength = 128;

/** Identifies a keyed call, which runs at most once. */
export interface CallId {
  readonly caller: CallerName;
  readonly key: string;
}

/** Formats the key of a call's entry in the folded state. */
export function formatCallId(id: CallId): string {
  return `${id.caller}/${id.key}`;
}

/** Parses the creation time of a UUID version 7, in ms since the epoch; undefined for other keys. */
export function parseKeyTimeMs(key: string): number | undefined {
  const match = uuidV7Pattern.exec(key);
  return match ? Number.parseInt(`${match[1]}${match[2]}`, 16) : undefined;
}

/** Whether a key has 1 to `maxKeyLength` printable ASCII characters without spaces. */
export function isValidKey(key: string): boolean {
  return key.length <= maxKeyLength && /^[\x21-\x7e]+$/.test(key);
}
