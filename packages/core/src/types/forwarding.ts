/**
 * Calls that an instance forwards unchanged, the routing configuration and the
 * endpoints that run the calls. Adapters decode their wire formats into these
 * types, so that the library depends on no names of a wire format.
 */
import type { EngineRole } from "./endpoints.ts";
import type {
  EndpointName,
  FailureDomain,
  ServiceName,
  WorkspaceName,
} from "./names.ts";

/** Whether a call may be retried. */
export enum CallKind {
  /** May run any number of times. */
  Idempotent = "idempotent",
  /** Runs at most once for each call of a caller. */
  AtMostOnce = "at_most_once",
  /** A stream of events; runs at most once unless its route is resumable. */
  Stream = "stream",
}

/** A weighted target of a route. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** Relative to the weights of the route's other targets. */
  readonly weight: number;
}

/** One route of the configuration. */
export interface ForwardRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Whether an interrupted stream may be resumed at another endpoint. */
  readonly resumable: boolean;
  /** Maximum time for the whole answer, in ms. */
  readonly timeoutMs: number;
  /** Latency target in ms: an answer, or a stream's first event, that arrives by then is fully useful. */
  readonly goalMs: number;
  /** Maximum number of endpoints that may run one call. */
  readonly maxEndpoints: number;
  /** Priority rank of its calls; 0 is the highest. */
  readonly rank: number;
  /** Whether its calls need no key although the configuration names workspaces; false if absent. */
  readonly anonymous?: boolean;
  readonly targets: readonly RouteTarget[];
}

/** Configuration of a model service's engines. */
export interface EnginePool {
  /** Time for which an engine retains an exported prompt, in ms. */
  readonly exportTtlMs: number;
  /** Time for which an engine is unavailable during a role change, in ms. */
  readonly roleChangeMs: number;
  /** Tokens that an engine's KV cache holds; absent if the configuration does not state it. */
  readonly memoryTokens?: number;
}

/** Bounds and prices of a service whose number of endpoints the system orders. */
export interface ScalingLimits {
  /** Fewest endpoints in a failure domain, of both kinds together. */
  readonly minEndpoints: number;
  /** Most endpoints in a failure domain, of both kinds together. */
  readonly maxEndpoints: number;
  /** Time from an order until a new endpoint serves, in ms. */
  readonly bootMs: number;
  /** Price of an endpoint that can be reclaimed, as a share of the others' price; absent if there are none. */
  readonly reclaimablePrice?: number;
  /** Price of an endpoint for a second, by failure domain; the service runs in these domains only. */
  readonly domainPrices: Readonly<Record<FailureDomain, number>>;
}

/** One service of the configuration. */
export interface RoutedService {
  readonly name: ServiceName;
  /** Present if the endpoints are model engines. */
  readonly engines?: EnginePool;
  /** Present if the system orders the number of endpoints. */
  readonly scaling?: ScalingLimits;
}

/** A customer whose calls carry one of its keys. */
export interface Workspace {
  readonly name: WorkspaceName;
  readonly keys: readonly string[];
  /** Priority rank of its calls, which goes before the route's; absent if the route's holds. */
  readonly rank?: number;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  /** Time for which an idle caller connection stays open, in ms. */
  readonly idleTimeoutMs: number;
}

/** One version of the routing configuration. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly ForwardRoute[];
  readonly services: readonly RoutedService[];
  readonly limits: CallerLimits;
  /** Workspaces and their keys; absent if calls carry no keys. */
  readonly workspaces?: readonly Workspace[];
}

/** One endpoint in the platform's list. */
export interface ListedEndpoint {
  readonly name: EndpointName;
  readonly service: ServiceName;
  /** IP number and port. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly slots: number;
  /** Whether the endpoint has stopped accepting new work. */
  readonly leaving: boolean;
  /** Absent on plain services. */
  readonly role?: EngineRole;
  /** Start of the process in ms since the epoch; differs after a restart. */
  readonly startedAtMs?: number;
  /** Version of the endpoint's software, which has no order; absent if it is not stated. */
  readonly softwareVersion?: string;
  /** Versions of the weights by model; absent where they are not stated. */
  readonly weightsVersions?: Readonly<Record<string, number>>;
  /** Counts the entries that the process has written, so that an older one can be told. */
  readonly sequence?: number;
  /** Whether the platform may reclaim the endpoint, with all such endpoints of its failure domain. */
  readonly reclaimable?: boolean;
}

/** A section of a prompt; requests with the same id share its content. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Size and content of the generation that a call requests. */
export interface GenerationWork {
  readonly model: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** In prompt order; the last part belongs to this call or its session only. */
  readonly parts: readonly PromptPart[];
}

/** A call as received from its caller. */
export interface ForwardCall {
  /** Unique to this call of the caller. */
  readonly id: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly host: string;
  /** Alternating names and values, without the headers that the system sets. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** API key, which is in no header; absent if the call carries none, or several. */
  readonly key?: string;
  /** Time from receipt that the caller waits for the answer, in ms; absent if not stated. */
  readonly waitMs?: number;
  readonly work?: GenerationWork;
  /** Id of the last event that the caller received from an earlier answer. */
  readonly resumeAfter?: string;
  /** Id of the call that brought the first event of the stream with which this one goes on. */
  readonly resumes?: string;
  /** When the whole call was read, on the clock of `performance.now()`. */
  readonly receivedMs: number;
}

/** Reference to a prompt computed by another engine. */
export interface ExportedPrompt {
  /** Address of the engine that holds it. */
  readonly address: string;
  readonly handle: string;
}

/** Parameters for sending a call to one endpoint. */
export interface SendParameters {
  readonly endpoint: ListedEndpoint;
  /** Time left for the endpoint's answer, in ms; asked when the call is written. */
  readonly getLeftMs: () => number;
  /** Priority rank of the route; 0 is the highest. */
  readonly rank: number;
  /** Requests prefill and export of the prompt without generation. */
  readonly exportOnly?: boolean;
  readonly exported?: ExportedPrompt;
  /** Engine from which the endpoint first copies the missing part of the computed prompt. */
  readonly copyFrom?: ListedEndpoint;
  readonly resumeAfter?: string;
  /** Version of the model's weights with which the stream began; an endpoint with another one refuses the call. */
  readonly weightsVersion?: number;
  /** Workspace that the call's key belongs to; absent where calls carry no keys. */
  readonly workspace?: WorkspaceName;
}

/** What an endpoint says of its load in an answer. */
export interface StatedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there now in relation to the usual time; absent if it is not stated. */
  readonly slowness?: number;
}

/** Head of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Alternating names and values that are forwarded to the caller. */
  readonly headers: readonly string[];
  /** Call that the answer belongs to; absent if the endpoint did not state it. */
  readonly callId?: string;
  /** Whether the endpoint states that it did not run the call. */
  readonly notRun: boolean;
  /** Whether the answer carries the stamp that proves that an endpoint produced it. */
  readonly genuine: boolean;
  /** Whether the body has a content encoding that was not requested. */
  readonly encoded: boolean;
  /** Requests a second that the endpoint takes from all instances together; absent if it names no limit. */
  readonly limitPerSecond?: number;
  /** Load of the endpoint when it answered; absent if it states none. */
  readonly load?: StatedLoad;
  /** Whether the endpoint states that it leaves. */
  readonly leaving: boolean;
  /** Version of the model's weights at the begin of the answer; absent if it states none. */
  readonly weightsVersion?: number;
}

/** State reported by an engine; some hundred ms old. */
export interface EngineReport {
  readonly role: EngineRole;
  /** Whether the engine is carrying out an order. */
  readonly changing: boolean;
  /** Number of orders accepted since the engine's start. */
  readonly orders: number;
  readonly running: number;
  readonly waiting: number;
  /** Whether the engine leaves; absent if it does not say. */
  readonly leaving?: boolean;
}

/** An order that changes an engine's role. */
export interface RoleOrder {
  readonly endpoint: ListedEndpoint;
  readonly role: EngineRole;
  readonly holder: string;
  /** Fencing number of the holder's claim. */
  readonly fence: number;
  /** Number of orders that the engine must have accepted so far; otherwise it answers `Conflict`. */
  readonly expectedOrders: number;
}

/** How an engine answered an order. */
export enum OrderAnswer {
  Accepted = "accepted",
  /** The engine already has the ordered role. */
  Unchanged = "held",
  /** Another order is in progress, or others have been accepted since. */
  Conflict = "conflict",
  /** Another holder has used a higher fencing number. */
  Fenced = "fenced",
  Rejected = "rejected",
}
