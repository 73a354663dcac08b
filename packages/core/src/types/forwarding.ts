/**
 * Calls that an instance passes on as they are, the configuration that routes
 * them, and the endpoints that run them. An edge decodes its wire format into
 * these types; the library decides on them and knows no wire names.
 */
import type { EngineRole } from "./endpoints.ts";
import type { EndpointName, FailureDomain, ServiceName } from "./names.ts";

/** What may be repeated. */
export enum CallKind {
  /** May run any number of times. */
  Idempotent = "idempotent",
  /** Runs once at most for each call of a caller. */
  AtMostOnce = "at_most_once",
  /** A series of events; runs once at most unless its route resumes. */
  Stream = "stream",
}

/** A service that may take part of a route's calls. */
export interface RouteShare {
  readonly service: ServiceName;
  /** Share in relation to the other targets. */
  readonly weight: number;
}

/** One route of the configuration. */
export interface ForwardRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Whether a broken stream may go on at another endpoint. */
  readonly resumable: boolean;
  /** Longest time for the whole answer, in ms. */
  readonly timeoutMs: number;
  /** Time within which an answer, or a stream's first event, is useful in full, in ms. */
  readonly goalMs: number;
  /** Endpoints that may run one call. */
  readonly maxEndpoints: number;
  /** Rank; 0 goes first. */
  readonly rank: number;
  readonly targets: readonly RouteShare[];
}

/** What the configuration says of a model service's engines. */
export interface EnginePool {
  /** Time for which an engine keeps an exported prompt, in ms. */
  readonly exportTtlMs: number;
  /** Time for which a role change takes an engine away, in ms. */
  readonly roleChangeMs: number;
}

/** One service of the configuration. */
export interface RoutedService {
  readonly name: ServiceName;
  /** Present where the endpoints are model engines. */
  readonly engines?: EnginePool;
}

/** Bounds on what callers send. */
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
}

/** One endpoint as the platform lists it. */
export interface ListedEndpoint {
  readonly name: EndpointName;
  readonly service: ServiceName;
  /** IP number and port. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly slots: number;
  /** Whether it takes no more new work. */
  readonly leaving: boolean;
  /** Absent on plain services. */
  readonly role?: EngineRole;
  /** Start of the process in ms since the epoch; differs after a restart. */
  readonly startedAtMs?: number;
}

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The work that a call asks of an engine. */
export interface GenerationWork {
  readonly model: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** In the order of the prompt; the last one is the call's own or its session's. */
  readonly parts: readonly PromptPart[];
}

/** A call as its caller sent it. */
export interface ForwardCall {
  /** Unique to this call of the caller. */
  readonly id: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly host: string;
  /** Names and values in turn, without those that the system sets. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Time that the caller will wait from the receipt, in ms; absent where not said. */
  readonly waitMs?: number;
  readonly work?: GenerationWork;
  /** Last event that the caller has of an earlier answer. */
  readonly resumeAfter?: string;
  /** When the whole call was read, on the clock of `performance.now()`. */
  readonly receivedMs: number;
}

/** Where an engine finds the prompt that another one has computed. */
export interface ExportedPrompt {
  /** Address of the engine that holds it. */
  readonly address: string;
  readonly handle: string;
}

/** How a call is sent to one endpoint. */
export interface SendFacts {
  readonly endpoint: ListedEndpoint;
  /** Time that the endpoint may take, in ms. */
  readonly leftMs: number;
  /** Rank of the route; 0 goes first. */
  readonly rank: number;
  /** Asks for the prompt's computation only. */
  readonly exportOnly?: boolean;
  readonly exported?: ExportedPrompt;
  /** Engine from which the endpoint first copies what it lacks of the prompt. */
  readonly copyFrom?: ListedEndpoint;
  readonly resumeAfter?: string;
}

/** Head of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values in turn that go on to the caller. */
  readonly headers: readonly string[];
  /** Call that the answer belongs to; absent where the endpoint did not say. */
  readonly callId?: string;
  /** Whether the endpoint states that it did not run the call. */
  readonly notRun: boolean;
  /** Whether it bears the mark that proves an endpoint's own answer. */
  readonly genuine: boolean;
  /** Whether the body is in an encoding that nobody asked for. */
  readonly encoded: boolean;
}

/** State of an engine as it reports it, some hundred ms late. */
export interface EngineReport {
  readonly role: EngineRole;
  /** Whether an order is being carried out. */
  readonly changing: boolean;
  /** Orders accepted since the engine's start. */
  readonly orders: number;
  readonly running: number;
  readonly waiting: number;
}

/** An order that changes an engine's role. */
export interface RoleOrder {
  readonly endpoint: ListedEndpoint;
  readonly role: EngineRole;
  readonly holder: string;
  /** Fencing number of the holder's claim. */
  readonly fence: number;
  /** Orders that the engine must have accepted so far. */
  readonly expectedOrders: number;
}

/** How an engine answered an order. */
export enum OrderAnswer {
  Accepted = "accepted",
  /** The engine is already as ordered. */
  Held = "held",
  /** Another order is under way, or others were accepted since. */
  Conflict = "conflict",
  /** Another holder has used a higher fencing number. */
  Fenced = "fenced",
  Rejected = "rejected",
}
