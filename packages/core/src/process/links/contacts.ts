/** When endpoints last answered this instance and its peers, by address. */

/** Addresses of endpoints that answered an instance lately, with the time since the answer and the age of its connection, in ms. */
export type ContactReports = Readonly<
  Record<string, readonly [ageMs: number, connectionAgeMs: number]>
>;

/** An answer of an endpoint, in ms of `performance.now()`. */
interface Contact {
  readonly atMs: number;
  /** When the connection of the answer was opened. */
  readonly connectedMs: number;
}

/** Newest contacts of one instance or of all its peers. */
export interface Contacts {
  readonly record: (address: string, contact: Contact) => void;
  /** When the endpoint last answered, in ms of `performance.now()`; -Infinity if that is not known. */
  readonly getMs: (address: string) => number;
  /** Whether the endpoint has answered after `sinceMs` on a connection opened before: the process of that time runs. */
  readonly isAlive: (address: string, sinceMs: number) => boolean;
  /** When any endpoint last answered. */
  readonly getNewestMs: () => number;
  /** The newest contacts that are at most `reportedAgeMs` old. */
  readonly collectReports: () => ContactReports;
}

const maxAddresses = 512;
const maxReported = 8;
/** Age of a connection up to which a contact shows that it was opened, and no more, in ms. */
const openedMs = 1;
/** Age above which contacts are not reported, in ms: two heartbeats of instances. */
const reportedAgeMs = 2_000;

/** Creates a record without contacts. */
export function createContacts(): Contacts {
  /** Least recent first. */
  const contacts = new Map<string, Contact>();
  /** Those on connections that were open before, which connections opened since do not replace. */
  const answers = new Map<string, Contact>();
  let newestMs = -Infinity;
  return {
    record(address, contact): void {
      const { atMs, connectedMs } = contact;
      newestMs = Math.max(newestMs, atMs);
      if (atMs - connectedMs > openedMs) addNewest(answers, [address, contact]);
      addNewest(contacts, [address, contact]);
    },
    getMs: (address) => contacts.get(address)?.atMs ?? -Infinity,
    isAlive(address, sinceMs): boolean {
      const contact = answers.get(address);
      return contact !== undefined && contact.atMs > sinceMs &&
        contact.connectedMs < sinceMs;
    },
    getNewestMs: () => newestMs,
    collectReports(): ContactReports {
      const nowMs = performance.now();
      const recent = [...contacts].slice(-maxReported).filter(([, { atMs }]) =>
        nowMs - atMs <= reportedAgeMs
      );
      return Object.fromEntries(
        recent.map(([address, { atMs, connectedMs }]) => [
          address,
          [Math.round(nowMs - atMs), Math.round(nowMs - connectedMs)],
        ]),
      );
    },
  };
}

function addNewest(
  contacts: Map<string, Contact>,
  [address, contact]: readonly [string, Contact],
): void {
  if (contact.atMs <= (contacts.get(address)?.atMs ?? -Infinity)) return;
  contacts.delete(address);
  contacts.set(address, contact);
  const [oldest] = contacts.keys();
  if (contacts.size > maxAddresses && oldest !== undefined) {
    contacts.delete(oldest);
  }
}
