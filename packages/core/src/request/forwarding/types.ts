/** Interfaces between forwarding, its dependencies in the process, and the HTTP server. */
import type {
  AnswerHead,
  EndpointName,
  ExportedPrompt,
  ForwardCall,
  ListedEndpoint,
  Outcome,
  RefusalReason,
  SendParameters,
  WorkspaceName,
} from "../../types/index.ts";
import type { HeldBytes, LogEvent, RunningClock } from "../../shared/index.ts";
import type {
  Backlogs,
  EndpointList,
  EndpointTracker,
  TopicBasis,
  TopicConfirmation,
} from "../../process/fleet/index.ts";
import type { UsualTimes } from "../../process/usual_times/index.ts";
import type { Capacities } from "../../process/capacities/index.ts";
import type { CrashWatch } from "../../process/crashes/index.ts";
import type { ActivityRecorder } from "../../process/activity/index.ts";
import type { EndpointLimits } from "../../process/limits/index.ts";
import type { ReturnTimes } from "../../process/returns/index.ts";
import type { FairShares } from "../../process/shares/index.ts";
import type { StreamOrigins } from "../../process/streams/index.ts";
import type { SharedBudget } from "../retries/index.ts";
import type { KeyCheck } from "../workspaces/index.ts";
import type { RepeatVerdict } from "./judge_repeat.ts";
import type { RefusalProofs } from "./refusal_proofs.ts";
import type { StopBound } from "./stop_bound.ts";

/** An endpoint's answer while its body arrives. */
export interface EndpointAnswer {
  readonly head: AnswerHead;
  /**
   * Whether the answer declares the end of its body. If not, the body ends
   * when the connection closes, and truncation cannot be detected.
   */
  readonly framed: boolean;
  /** When its connection was opened, in ms of `performance.now()`. */
  readonly connectedMs: number;
  /** Answers that its connection had carried to their end before. */
  readonly earlierAnswers: number;
  /** Whether its connection had brought a refusal of this call before, of which it may be a copy. */
  readonly refusedBefore: boolean;
  /**
   * Rejects with `RemoteError` when the answer breaks off. Ending the
   * iteration early closes the connection.
   */
  readonly body: AsyncIterable<Buffer>;
  /** Closes the connection once the answer has ended, instead of keeping it for later calls. */
  readonly closeAfterwards: () => void;
}

/** Cancellation and connection reuse of one send. */
export interface SendOptions {
  readonly signal: AbortSignal;
  /** Whether a connection is opened for this call alone, so that what comes back there belongs to no earlier call. */
  readonly fresh?: boolean;
  /** Whether the call goes over no connection that has brought a refusal, whose copy could come in the place of its answer. */
  readonly unrefused?: boolean;
  /** Asked right before the call is written to an open connection; false ends the send without effect. */
  readonly mayWrite?: () => boolean;
  /** Called once the operating system has the call, or as much of it as it takes at once. */
  readonly onWritten?: () => void;
}

/** Sends calls to endpoints; rejects with `RemoteError`, whose effect is `None` if no byte was sent. */
export interface EndpointSender {
  readonly send: (
    call: ForwardCall,
    facts: SendParameters,
    options: SendOptions,
  ) => Promise<EndpointAnswer>;
  /** Whether there is an open connection that has been idle for at most `maxIdleMs`. */
  readonly isConnected: (
    endpoint: ListedEndpoint,
    options?: { readonly maxIdleMs?: number },
  ) => boolean;
  /** Whether the endpoint's process has certainly ended, as nothing listens at its address; resolves in a fraction of a second. */
  readonly hasEnded: (endpoint: ListedEndpoint) => Promise<boolean>;
  /** Decodes the handle in the answer to an export; undefined if the answer contains none. */
  readonly decodeExport: (
    endpoint: ListedEndpoint,
    body: Buffer,
  ) => ExportedPrompt | undefined;
  /** Finds the version of the weights to which the last of these events that names one has changed; undefined if none does. */
  readonly findWeightsVersion: (events: Buffer) => number | undefined;
  /** Releases an exported prompt that no engine will consume. */
  readonly releaseExport: (
    endpoint: ListedEndpoint,
    exported: ExportedPrompt,
  ) => void;
}

/** How the end of the answer's body is signalled to the caller; chunked encoding if neither is given. */
export interface AnswerFraming {
  /** Length of the body, in bytes. */
  readonly length?: number;
  /** Whether the body ends when the connection closes, as in the endpoint's answer. Only for bodies that are written at once: a process that ends while it writes closes its connections as well. */
  readonly untilClose?: boolean;
  /** The answer's endpoint where the answer says that it leaves, for a peer that passes it on. */
  readonly leaving?: ListedEndpoint;
}

/** Writes the answer of one call to its caller. */
export interface CallerAnswer {
  /** Aborts when the caller disconnects. */
  readonly left: AbortSignal;
  readonly isStarted: () => boolean;
  readonly start: (
    status: number,
    headers: readonly string[],
    options?: AnswerFraming,
  ) => void;
  /** Resolves when the caller's connection accepts more data. */
  readonly write: (chunk: Buffer) => Promise<void>;
  readonly end: () => void;
  /** Closes the connection so that the caller sees that the answer is incomplete. */
  readonly cut: () => void;
}

/** Dependencies of forwarding, created once per process. */
export interface ForwardDependencies {
  readonly sender: EndpointSender;
  readonly endpoints: EndpointList;
  readonly endpointTracker: EndpointTracker;
  readonly capacities: Capacities;
  readonly usualTimes: UsualTimes;
  /** Returns how long engines are busy, where the own failure domain's instances tell each other what they place; absent or undefined where digests are recent enough. */
  readonly getBacklogs?: () => Backlogs | undefined;
  /** Tells the own failure domain's instances that an engine was given a prompt that takes it `ms` to compute. */
  readonly onPlaced?: (engine: EndpointName, ms: number) => void;
  /** Number of live instances, whose choices are spread; 1 if absent. */
  readonly countInstances?: () => number;
  readonly budget: SharedBudget;
  readonly crashes: CrashWatch;
  readonly limits: EndpointLimits;
  readonly refusals: RefusalProofs;
  /** Bound of the bytes of answers that are held. */
  readonly held: HeldBytes;
  readonly origins: StreamOrigins;
  /** Decides whether calls may run under their keys; absent where calls carry none. */
  readonly keys?: KeyCheck;
  /** Shares of workspaces in too little room; absent where no call is refused for its share. */
  readonly shares?: FairShares;
  /** Hands out times to come back; absent where callers are told when the first room is expected. */
  readonly returns?: ReturnTimes;
  /** Records what calls ask for and where they run; absent where no one reads it. */
  readonly activity?: ActivityRecorder;
  /** Whether an engine takes no work because its role changes. */
  readonly isChangingRole: (endpoint: EndpointName) => boolean;
  /** Whether the list of endpoints is recent enough to send calls by it. */
  readonly listing: TopicConfirmation;
  /** Until when calls are answered once the instance stops. */
  readonly stopBound: StopBound;
  /** Called at each send with the age of the list of endpoints, in ms, and the basis on which it is used. */
  readonly onSent?: (listAgeMs: number, basis: TopicBasis) => void;
  /** Called once for each call that is repeated early or kept waiting past its goal, with what was decided last. */
  readonly onOverdue?: (verdict: RepeatVerdict) => void;
  /** Shows whether the process got on while an engine computed a prompt; absent where each measured time counts. */
  readonly clock?: RunningClock;
  readonly ownDomain: string;
  readonly random: () => number;
  readonly logEvent: LogEvent;
}

/** How a call ended, for logs and metrics. */
export interface ForwardEnd {
  /** Name of the route; absent if none matches the path. */
  readonly route?: string;
  /** Workspace of the call's key; absent where it has none. */
  readonly workspace?: WorkspaceName;
  readonly outcome: Outcome;
  readonly reason?: RefusalReason;
  readonly status: number;
  readonly message?: string;
  /** Time after which the caller may retry, in ms. */
  readonly retryAfterMs?: number;
  readonly endpoint?: EndpointName;
  /** Whether the endpoint stated the length of its answer or its encoding; absent where none answered. */
  readonly framed?: boolean;
  /** Number of endpoints that may have run the call. */
  readonly runs: number;
  /** Time from receipt of the call to the first byte sent to the caller, in ms. */
  readonly firstByteMs?: number;
  /** Time from receipt of the call until its last prompt export completed, in ms. */
  readonly exportedMs?: number;
  /** Time from receipt of the call until the headers of the endpoint's answer arrived, in ms. */
  readonly headMs?: number;
}
