/** Scripted endpoints and a recording caller for the steps of `forwarding.feature`. */
import {
  type AnswerHead,
  Effect,
  EngineRole,
  type ForwardCall,
  type ListedEndpoint,
  RemoteError,
  RemoteFailure,
  type SendParameters,
} from "../../types/index.ts";
import { waitFor } from "../../shared/index.ts";
import type {
  AnswerFraming,
  CallerAnswer,
  EndpointAnswer,
  EndpointSender,
} from "./index.ts";

/** Scripted reaction of an endpoint to one call. */
export type Behaviour =
  | "ok"
  | "500"
  | `unstated ${number}`
  | "full"
  | "misdirected"
  /** A refusal without an id, as the first answer on its connection. */
  | "unnamed full"
  /** Such a refusal that nobody asked for, on a connection that has carried an answer. */
  | "unasked"
  /** A refusal with the id of the call, on a connection that has brought one. */
  | "copied"
  | "unreachable"
  | "lost"
  | "torn"
  | "foreign"
  | "unmarked"
  | "unframed"
  | "encoded"
  | "silent"
  | `events ${number}-${number}`
  | `breaks ${number}-${number}`
  | `stops ${number}-${number}`
  | `unframed events ${number}-${number}`
  | `unframed stops ${number}-${number}`
  | "unframed nothing"
  | "endless"
  | "endless refusal"
  | "stalls"
  | `after ${number} ms`;

/** One recorded send to an endpoint. */
export interface FakeSend {
  readonly endpoint: string;
  readonly facts: SendParameters;
  readonly behaviour: Behaviour;
  aborted: boolean;
}

/** Behaviours of endpoints that may have run the call. */
const running = new Set<string>([
  "ok",
  "500",
  "lost",
  "torn",
  "foreign",
  "unasked",
  "copied",
  "unmarked",
  "unframed",
  "encoded",
  "silent",
  "stalls",
  "endless",
]);

/** Whether a send may have run the call; exports never do. */
export function mayHaveRun(send: FakeSend): boolean {
  return !send.facts.exportOnly &&
    (running.has(send.behaviour) ||
      /^(unframed|unstated|events|breaks|stops|after)/.test(send.behaviour));
}

/** Scripts and recorded sends of the endpoints of one scenario. */
export interface FakeEndpoints {
  readonly scripts: Map<string, Behaviour[]>;
  readonly sends: FakeSend[];
  readonly released: string[];
  /** Names of endpoints with an open connection. */
  readonly connected: Set<string>;
  /** Names of endpoints whose process has ended. */
  readonly ended: Set<string>;
  /** Time that the next connection to an endpoint takes to be opened, in ms, by its name. */
  readonly connectMs: Map<string, number>;
  /** Versions of the engines' weights, by name; "event 3" is the one to which that event changes. */
  readonly weights: Map<string, number>;
  readonly sender: EndpointSender;
}

const silentTimerMs = 1e6;

/** Creates endpoints that answer "ok" after the end of their script. */
export function createFakeEndpoints(): FakeEndpoints {
  const scripts = new Map<string, Behaviour[]>();
  const sends: FakeSend[] = [];
  const released: string[] = [];
  const connected = new Set<string>();
  const ended = new Set<string>();
  const connectMs = new Map<string, number>();
  const weights = new Map<string, number>();
  return {
    scripts,
    sends,
    released,
    connected,
    ended,
    connectMs,
    weights,
    sender: {
      send: async (call, facts, { signal, mayWrite }) => {
        const { name } = facts.endpoint;
        const waitMs = connectMs.get(name) ?? 0;
        connectMs.delete(name);
        if (waitMs > 0) await waitFor(waitMs, signal);
        if (mayWrite?.() === false) throw buildError(Effect.None);
        const scripted = scripts.get(name)?.shift() ?? "ok";
        const needed = facts.weightsVersion ?? weights.get(name);
        const behaviour = (weights.get(name) ?? needed) === needed
          ? scripted
          : "misdirected";
        const send = { endpoint: name, facts, behaviour, aborted: false };
        sends.push(send);
        signal.addEventListener("abort", () => send.aborted = true);
        const answer = await answerSend(call, { send, signal });
        const weightsVersion = weights.get(name);
        return { ...answer, head: { ...answer.head, weightsVersion } };
      },
      decodeExport: ({ address }, body) =>
        body.toString() === "exported"
          ? { address, handle: `of ${address}` }
          : undefined,
      findWeightsVersion: (events) =>
        events.includes("id: 3\n") ? weights.get("event 3") : undefined,
      isConnected: ({ name }) => connected.has(name),
      hasEnded: ({ name }) => Promise.resolve(ended.has(name)),
      releaseExport: (_endpoint, { handle }) => void released.push(handle),
    },
  };
}

async function answerSend(
  call: ForwardCall,
  { send, signal }: { readonly send: FakeSend; readonly signal: AbortSignal },
): Promise<EndpointAnswer> {
  const { behaviour } = send;
  await Promise.resolve();
  if (behaviour === "unreachable") throw buildError(Effect.None);
  if (behaviour === "lost") throw buildError(Effect.Unknown);
  if (behaviour === "silent") await waitForAbort(signal);
  const after = /^after (\d+) ms$/.exec(behaviour);
  if (after) await waitFor(Number(after[1]), signal);
  if (after && signal.aborted) throw buildError(Effect.Unknown);
  return {
    head: buildHead(call, behaviour),
    framed: !behaviour.startsWith("unframed"),
    connectedMs: 0,
    earlierAnswers: behaviour === "unasked" ? 1 : 0,
    refusedBefore: behaviour === "copied",
    closeAfterwards: () => undefined,
    body: streamBody(send, signal),
  };
}

function buildHead(call: ForwardCall, behaviour: Behaviour): AnswerHead {
  const statuses: Partial<Record<Behaviour, number>> = {
    "500": 500,
    full: 503,
    "unnamed full": 503,
    unasked: 503,
    copied: 503,
    "endless refusal": 503,
    misdirected: 421,
  };
  const isNamed = !["unnamed full", "unasked"].includes(behaviour);
  const unstated = /^unstated (\d+)$/.exec(behaviour)?.[1];
  return {
    status: unstated ? Number(unstated) : statuses[behaviour] ?? 200,
    headers: ["x-endpoint", "yes"],
    callId: behaviour === "foreign" ? "another" : isNamed ? call.id : undefined,
    leaving: false,
    notRun: !isNamed ||
      ["full", "copied", "misdirected", "endless refusal"].includes(behaviour),
    genuine: behaviour !== "unmarked",
    encoded: behaviour === "encoded",
  };
}

async function* streamBody(
  { behaviour, facts }: FakeSend,
  signal: AbortSignal,
): AsyncGenerator<Buffer, void, void> {
  if (behaviour.startsWith("endless")) return yield* streamEndlessly(signal);
  if (facts.exportOnly) {
    if (behaviour === "ok") yield Buffer.from("exported");
    return;
  }
  if (behaviour === "unframed nothing") return;
  const range = /(events|breaks|stops) (\d+)-(\d+)$/.exec(behaviour);
  if (!range) {
    yield Buffer.from("body");
    if (behaviour === "torn") throw buildError(Effect.Unknown);
    if (behaviour === "stalls") await waitForAbort(signal);
    return;
  }
  for (let id = Number(range[2]); id <= Number(range[3]); id++) {
    yield Buffer.from(`id: ${id}\ndata: x\n\n`);
  }
  if (range[1] === "events") return;
  yield Buffer.from("id: 99\ndata: ha");
  if (range[1] === "breaks") {
    throw buildError(Effect.Unknown);
  }
}

/** Bytes that a reader without a limit would collect. */
const endlessBytes = 256 * 1_048_576;
const chunkBytes = 262_144;

/** Yields bytes without an event until the reader stops; fails the test if it does not. */
async function* streamEndlessly(
  signal: AbortSignal,
): AsyncGenerator<Buffer, void, void> {
  const chunk = Buffer.alloc(chunkBytes, "x");
  for (let sent = 0; sent < endlessBytes; sent += chunkBytes) {
    if (signal.aborted) throw buildError(Effect.Unknown);
    yield chunk;
  }
  throw new Error("the reader has read all of an endless body");
}

function buildError(effect: Effect): RemoteError {
  return new RemoteError("connection broke", {
    failure: RemoteFailure.Unreachable,
    effect,
  });
}

function waitForAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    const timer = setTimeout(() => undefined, silentTimerMs);
    const abort = (): void => {
      clearTimeout(timer);
      reject(buildError(Effect.Unknown));
    };
    if (signal.aborted) abort();
    else signal.addEventListener("abort", abort, { once: true });
  });
}

/** A caller that records what it receives. */
export interface FakeCaller {
  readonly answer: CallerAnswer;
  readonly leave: () => void;
  status?: number;
  framing?: AnswerFraming;
  retryAfter?: string;
  text: string;
  ended: boolean;
  cut: boolean;
}

/** Creates a caller that accepts all data at once. */
export function createFakeCaller(): FakeCaller {
  const left = new AbortController();
  const caller: FakeCaller = {
    text: "",
    ended: false,
    cut: false,
    leave: () => left.abort(),
    answer: {
      left: left.signal,
      isStarted: () => caller.status !== undefined,
      start: (status, headers, framing) => {
        caller.status = status;
        caller.framing = framing;
        const at = headers.indexOf("retry-after");
        if (at >= 0) caller.retryAfter = headers[at + 1];
      },
      write: (chunk) => {
        caller.text += chunk.toString();
        return Promise.resolve();
      },
      end: () => caller.ended = true,
      cut: () => caller.cut = true,
    },
  };
  return caller;
}

/** Builds an endpoint; names that begin with "p" and "d" are engines. */
export function buildEndpoint(
  name: string,
  change: Partial<ListedEndpoint> = {},
): ListedEndpoint {
  const roles: Readonly<Record<string, EngineRole>> = {
    p: EngineRole.Prefill,
    d: EngineRole.Decode,
  };
  return {
    name,
    service: "service",
    address: name,
    failureDomain: "sapporo",
    slots: 64,
    leaving: false,
    role: roles[name[0] ?? ""],
    startedAtMs: 1,
    ...change,
  };
}
