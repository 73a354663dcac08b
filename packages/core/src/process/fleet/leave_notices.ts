/** What endpoints themselves say about leaving, which binds an instance before the list says the same. */
import type { EndpointName, ListedEndpoint } from "../../types/index.ts";

/** Endpoints that leave, with the start of their process in ms since the epoch. */
export type LeaveReports = Readonly<Record<EndpointName, number>>;

/** The processes that have said that they leave. */
export interface LeaveNotices {
  /** Records what a process told this instance; false if it had told it before. */
  readonly add: (endpoint: ListedEndpoint) => boolean;
  /** Records what a process told a peer; false if it is known. */
  readonly addReport: (endpoint: EndpointName, startedAtMs: number) => boolean;
  /** Whether the process of an entry has said that it leaves. */
  readonly has: (endpoint: ListedEndpoint) => boolean;
  /** Whether it told this instance. */
  readonly isOwn: (endpoint: ListedEndpoint) => boolean;
}

/** Processes that are remembered, far more than a list has; the earliest are forgotten first. */
const maxProcesses = 8_192;

/** Creates notices without any; each holds for one process, whatever others of its endpoint say. */
export function createLeaveNotices(): LeaveNotices {
  /** Whether the process told this instance, by its key. */
  const notices = new Map<string, boolean>();

  function setNotice(key: string, isOwn: boolean): void {
    notices.set(key, isOwn);
    const [earliest] = notices.keys();
    if (notices.size > maxProcesses && earliest !== undefined) {
      notices.delete(earliest);
    }
  }

  return {
    add(endpoint): boolean {
      const key = buildKey(endpoint);
      if (notices.get(key)) return false;
      setNotice(key, true);
      return true;
    },
    addReport(name, startedAtMs): boolean {
      const key = buildKey({ name, startedAtMs, address: "" });
      if (notices.has(key)) return false;
      setNotice(key, false);
      return true;
    },
    has: (endpoint) => notices.has(buildKey(endpoint)),
    isOwn: (endpoint) => notices.get(buildKey(endpoint)) === true,
  };
}

function buildKey(
  { name, startedAtMs, address }: Pick<
    ListedEndpoint,
    "name" | "startedAtMs" | "address"
  >,
): string {
  return JSON.stringify([name, startedAtMs ?? address]);
}
