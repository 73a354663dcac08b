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

interface Notice {
  readonly startedAtMs: number | undefined;
  /** Absent where a peer told of it. */
  readonly address?: string;
}

/** Endpoints that are remembered; the earliest are forgotten first. */
const maxNotices = 1_024;

/** Creates notices without any; one holds until another process of its endpoint leaves. */
export function createLeaveNotices(): LeaveNotices {
  const notices = new Map<EndpointName, Notice>();

  function find(endpoint: ListedEndpoint): Notice | undefined {
    const notice = notices.get(endpoint.name);
    const isSame = notice?.startedAtMs === endpoint.startedAtMs &&
      (notice?.address ?? endpoint.address) === endpoint.address;
    return isSame ? notice : undefined;
  }

  function setNotice(endpoint: EndpointName, notice: Notice): void {
    notices.delete(endpoint);
    notices.set(endpoint, notice);
    const [earliest] = notices.keys();
    if (notices.size > maxNotices && earliest !== undefined) {
      notices.delete(earliest);
    }
  }

  const isOwn = (endpoint: ListedEndpoint): boolean =>
    find(endpoint)?.address !== undefined;
  return {
    add(endpoint): boolean {
      if (isOwn(endpoint)) return false;
      const { name, startedAtMs, address } = endpoint;
      setNotice(name, { startedAtMs, address });
      return true;
    },
    addReport(endpoint, startedAtMs): boolean {
      if (notices.get(endpoint)?.startedAtMs === startedAtMs) return false;
      setNotice(endpoint, { startedAtMs });
      return true;
    },
    has: (endpoint) => find(endpoint) !== undefined,
    isOwn,
  };
}
