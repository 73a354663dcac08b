/** What forwarding needs from the process and gives to the edge. */
import type {
  AnswerHead,
  EndpointName,
  ExportedPrompt,
  ForwardCall,
  ListedEndpoint,
  Outcome,
  RefusalReason,
  SendFacts,
} from "../../types/index.ts";
import type { LogEvent } from "../../shared/index.ts";
import type {
  EndpointBoard,
  EndpointList,
  ReadSpeeds,
} from "../../process/fleet/index.ts";
import type { SharedBudget } from "../retries/index.ts";

/** An endpoint's answer while its body arrives. */
export interface EndpointAnswer {
  readonly head: AnswerHead;
  /**
   * Whether the answer says where its body ends. One that does not ends with
   * its connection, and nobody can tell whether it is whole.
   */
  readonly framed: boolean;
  /**
   * Rejects with `RemoteError` when the answer breaks off. Ending the
   * iteration early closes the connection.
   */
  readonly body: AsyncIterable<Buffer>;
}

/** How a call is sent. */
export interface SendOptions {
  readonly signal: AbortSignal;
  /** Longest time for which the connection may have been idle, in ms. */
  readonly maxIdleMs?: number;
}

/** Sends calls to endpoints. All reject with `RemoteError`, whose effect is `None` where no byte was sent. */
export interface EndpointSender {
  readonly send: (
    call: ForwardCall,
    facts: SendFacts,
    options: SendOptions,
  ) => Promise<EndpointAnswer>;
  /** Whether a connection is at hand that was idle for `maxIdleMs` at most. */
  readonly isConnected: (
    endpoint: ListedEndpoint,
    options?: { readonly maxIdleMs?: number },
  ) => boolean;
  /** Reads the handle from the answer to an export; undefined where it is none. */
  readonly decodeExport: (
    endpoint: ListedEndpoint,
    body: Buffer,
  ) => ExportedPrompt | undefined;
  /** Frees an exported prompt that nobody will take. */
  readonly releaseExport: (
    endpoint: ListedEndpoint,
    exported: ExportedPrompt,
  ) => void;
}

/** How an answer's end is told to the caller; in chunks where neither is given. */
export interface AnswerFraming {
  /** Length of the body, in bytes. */
  readonly length?: number;
  /** The body ends with the connection, as the endpoint's did. */
  readonly untilClose?: boolean;
}

/** The caller's side of a call. */
export interface CallerAnswer {
  /** Aborts when the caller has left. */
  readonly left: AbortSignal;
  readonly isStarted: () => boolean;
  readonly start: (
    status: number,
    headers: readonly string[],
    options?: AnswerFraming,
  ) => void;
  /** Resolves once the caller can take more. */
  readonly write: (chunk: Buffer) => Promise<void>;
  readonly end: () => void;
  /** Breaks the connection off, so that the answer cannot look complete. */
  readonly cut: () => void;
}

/** What forwarding works with; lives as long as the process. */
export interface ForwardParts {
  readonly sender: EndpointSender;
  readonly endpoints: EndpointList;
  readonly board: EndpointBoard;
  readonly speeds: ReadSpeeds;
  readonly budget: SharedBudget;
  /** Whether an engine takes no work because its role changes. */
  readonly isChanging: (endpoint: EndpointName) => boolean;
  readonly ownDomain: string;
  readonly random: () => number;
  readonly logEvent: LogEvent;
}

/** How a call ended, for logs and metrics. */
export interface ForwardEnd {
  /** Name of the route; absent where none takes the path. */
  readonly route?: string;
  readonly outcome: Outcome;
  readonly reason?: RefusalReason;
  readonly status: number;
  readonly message?: string;
  /** When the caller may come back, in ms. */
  readonly retryAfterMs?: number;
  readonly endpoint?: EndpointName;
  /** Endpoints that may have run the call. */
  readonly runs: number;
  /** Time to the first byte for the caller, in ms. */
  readonly firstByteMs?: number;
  /** Time until the last prompt was exported, in ms. */
  readonly exportedMs?: number;
  /** Time until the head of the endpoint's answer, in ms. */
  readonly headMs?: number;
}
