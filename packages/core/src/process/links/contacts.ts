/** When endpoints last answered this instance and its peers, by address. */

/** Addresses of endpoints that answered an instance lately, with the time since, in ms. */
export type ContactReports = Readonly<Record<string, number>>;

/** Newest contacts of one instance or of all its peers. */
export interface Contacts {
  readonly record: (address: string, ageMs?: number) => void;
  /** When the endpoint last answered, in ms of `performance.now()`; -Infinity if that is not known. */
  readonly getMs: (address: string) => number;
  /** When any endpoint last answered. */
  readonly getNewestMs: () => number;
  /** The newest contacts that are at most `reportedAgeMs` old. */
  readonly collectReports: () => ContactReports;
}

const maxAddresses = 512;
const maxReported = 8;
/** Age above which contacts are not reported, in ms: two heartbeats of instances. */
const reportedAgeMs = 2_000;

/** Creates a record without contacts. */
export function createContacts(): Contacts {
  /** Least recent first. */
  const contacts = new Map<string, number>();
  let newestMs = -Infinity;
  return {
    record(address, ageMs = 0): void {
      const atMs = performance.now() - ageMs;
      newestMs = Math.max(newestMs, atMs);
      const knownMs = contacts.get(address) ?? -Infinity;
      if (atMs <= knownMs) return;
      contacts.delete(address);
      contacts.set(address, atMs);
      const [oldest] = contacts.keys();
      if (contacts.size > maxAddresses && oldest !== undefined) {
        contacts.delete(oldest);
      }
    },
    getMs: (address) => contacts.get(address) ?? -Infinity,
    getNewestMs: () => newestMs,
    collectReports(): ContactReports {
      const nowMs = performance.now();
      const recent = [...contacts].slice(-maxReported).filter(([, atMs]) =>
        nowMs - atMs <= reportedAgeMs
      );
      return Object.fromEntries(
        recent.map(([address, atMs]) => [address, Math.round(nowMs - atMs)]),
      );
    },
  };
}
