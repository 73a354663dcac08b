/** State of one forwarded call, and sending it to an endpoint; shared by plain calls and streams. */
import {
  CallKind,
  Effect,
  type ForwardCall,
  type ForwardRoute,
  type ListedEndpoint,
  RemoteError,
  RemoteFailure,
  type SendParameters,
  type ServiceName,
  type WorkspaceName,
} from "../../types/index.ts";
import { TopicBasis } from "../../process/fleet/index.ts";
import { LimitStep } from "../../process/limits/index.ts";
import type { StreamOrigin } from "../../process/streams/index.ts";
import { KeyVerdict, workspaceEvents } from "../workspaces/index.ts";
import { buildMalformed, closeAnswer } from "./answer_body.ts";
import { forwardEvents } from "./events.ts";
import {
  findRefusalFault,
  isRunOnce,
  needsOwnConnection,
} from "./refusal_proofs.ts";
import type {
  CallerAnswer,
  EndpointAnswer,
  ForwardDependencies,
  SendOptions,
} from "./types.ts";

/** State of one call while it is forwarded. */
export interface CallState {
  readonly call: ForwardCall;
  readonly route: ForwardRoute;
  readonly service: ServiceName;
  /** Workspace of the call's key; undefined where calls carry no keys. */
  readonly workspace?: WorkspaceName;
  /** Priority rank of the call: its workspace's, or else its route's; 0 is the highest. */
  readonly rank: number;
  readonly answer: CallerAnswer;
  readonly parts: ForwardDependencies;
  /** Time for which engines store an exported prompt, in ms; 0 on plain services. */
  readonly exportTtlMs: number;
  /** Deadline set by the caller's wait and the route's timeout, in ms of `performance.now()`. */
  readonly deadlineMs: number;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  /** Names of endpoints that failed or refused the call and are not tried again. */
  readonly excluded: Set<string>;
  /** Names of endpoints that were chosen for the call at least once, also if their limits left no room. */
  readonly considered: Set<string>;
  /** Names of endpoints whose limits left no room in the current choice. */
  readonly heldBack: Set<string>;
  /** Endpoint with a limit at which the next request is already counted. */
  reserved?: string;
  /** Endpoint that takes the call next; the send there is counted and permitted already. */
  secured?: ListedEndpoint;
  /** Whether it is logged that the call got no answer for well past its goal. */
  isOverdue?: boolean;
  /** On what basis the list of endpoints was used for the last choice. */
  listBasis: TopicBasis;
  /** Where the stream began; the call runs only there from then on. */
  origin?: StreamOrigin;
  /** Number of endpoints that may have run the call. */
  runs: number;
  /** Whether the call is counted as begun. */
  begun?: boolean;
  /** Sends so far, with those that the retry budget refused; every send after the first uses the budget. */
  sends: number;
}

/** Thrown for an answer whose headers show that it does not belong to the call or does not come from the endpoint. */
export class WrongAnswerError extends Error {
  /** Creates the error; the message can reach the caller. */
  constructor(message: string) {
    super(message);
    this.name = "WrongAnswerError";
  }
}

/** Thrown instead of sending a call that must not reach any endpoint. */
export class RefusedCallError extends RemoteError {
  /** Creates the error; the message can reach the caller. */
  constructor() {
    super("endpoints crash under calls like this one", {
      failure: RemoteFailure.Refused,
      effect: Effect.None,
    });
  }
}

/** Thrown instead of writing a call whose choice of an endpoint no longer holds; nothing was sent. */
export class OutdatedChoiceError extends RemoteError {
  /** Creates the error; the message can reach the caller. */
  constructor() {
    super("the choice of the endpoint is out of date", {
      failure: RemoteFailure.Refused,
      effect: Effect.None,
    });
  }
}

/** Why a call is not written to the endpoint that was chosen for it. */
enum WriteRefusal {
  /** The endpoint takes no new work any more. */
  NotAccepting = "not_accepting",
  /** The list of endpoints is too old. */
  ListTooOld = "list_too_old",
  /** Endpoints have crashed under calls like this one. */
  Suspect = "suspect",
  /** The call's key was taken away. */
  KeyTakenAway = "key_taken_away",
  /** It is not known recently enough whether the call's key is valid. */
  KeyUnconfirmed = "key_unconfirmed",
}

const success = 200;
const redirect = 300;
/** Largest share of a call's time for which it waits until the list of endpoints is read. */
const maxConfirmShare = 0.5;
/** Time from the choice of an endpoint to the send above which a send is logged, in ms: far above that of a new connection. */
const lateSendMs = 400;
/** Status of an endpoint whose address another process now uses, or of an engine with another role. */
export const misdirectedStatus = 421;

/** Time until the deadline, in ms; negative once it has passed. */
export function getLeftMs(state: CallState): number {
  return state.deadlineMs - performance.now();
}

/** Time since the call was received, in ms. */
export function getAgeMs(state: CallState): number {
  return performance.now() - state.call.receivedMs;
}

/** Whether the route's kind and endpoint limit allow another endpoint to run a call that others may have run. */
export function mayRunAgain(state: CallState): boolean {
  return !isRunOnce(state) && state.runs < state.route.maxEndpoints;
}

/** Counts one more send and returns whether the retry budget allows it; the first send is always allowed. */
export function allowSend(state: CallState): boolean {
  state.sends += 1;
  if (state.sends === 1) return true;
  if (state.parts.budget.consumeRepeat(state.service)) return true;
  state.parts.logEvent(forwardEvents.retryRefused, {
    call: state.call.id,
    service: state.service,
    sends: state.sends,
  });
  return false;
}

/** Counts one more send if the retry budget allows it now. */
export function takeRepeat(state: CallState): boolean {
  if (!state.parts.budget.consumeRepeat(state.service)) return false;
  state.sends += 1;
  return true;
}

/** Takes back the last send that `allowSend` or `takeRepeat` counted, as nothing was sent. */
export function takeBackSend(state: CallState): void {
  state.sends -= 1;
  if (state.sends > 0) state.parts.budget.returnRepeat(state.service);
}

/** Makes the list of endpoints recent enough for a choice, as far as the call's time allows. */
export async function confirmList(state: CallState): Promise<void> {
  const { listing } = state.parts;
  state.listBasis = listing.isCurrent()
    ? TopicBasis.Current
    : await listing.confirm(getLeftMs(state) * maxConfirmShare);
}

/**
 * Sends the call and checks the answer's headers; rejects with `RemoteError` or
 * `WrongAnswerError`. All ways to an endpoint lead through here. What the choice
 * was based on is asked again when the call is written, as the connection had to
 * be opened first and the process may not have got on in the meantime.
 */
export async function sendCall(
  state: CallState,
  facts: SendParameters,
  options: Pick<SendOptions, "signal">,
): Promise<EndpointAnswer> {
  const { call, parts } = state;
  if (parts.crashes.findVerdict(call)) throw new RefusedCallError();
  const sentMs = performance.now();
  const fresh = needsOwnConnection(state, facts);
  const reserved = state.reserved === facts.endpoint.name;
  if (reserved) state.reserved = undefined;
  else parts.limits.recordSend(facts.endpoint);
  parts.crashes.recordSend(call);
  const answer = await sendChecked(state, facts, {
    ...options,
    fresh,
    unrefused: isRunOnce(state) && !facts.exportOnly,
    sentMs,
  });
  if (answer.head.status !== misdirectedStatus) {
    const { connectedMs } = answer;
    // Before its caller has it: no call may follow to an endpoint that has said it.
    if (answer.head.leaving) parts.endpoints.recordLeaving(facts.endpoint);
    parts.crashes.recordAnswer(facts.endpoint, { sentMs, connectedMs });
    recordLimit(state, facts, answer);
  }
  const wrong = findAnswerFault(answer, state, facts) ??
    findRefusalFault(answer, state, facts);
  // A server may write such an answer once more, before its next one.
  if (wrong !== undefined || answer.head.callId === undefined) {
    answer.closeAfterwards();
  }
  if (wrong === undefined) return answer;
  await closeAnswer(answer);
  throw new WrongAnswerError(wrong);
}

/** Sends the call unless its choice does not hold any more when it is written; rejects with `RemoteError`. */
async function sendChecked(
  state: CallState,
  facts: SendParameters,
  { sentMs, ...options }: Omit<SendOptions, "mayWrite" | "onWritten"> & {
    /** When the endpoint had been chosen. */
    readonly sentMs: number;
  },
): Promise<EndpointAnswer> {
  const { call, parts, workspace } = state;
  let refusal: WriteRefusal | undefined;
  let checked: CheckedWrite | undefined;
  try {
    return await parts.sender.send(call, { ...facts, workspace }, {
      ...options,
      mayWrite: () => {
        refusal = findWriteRefusal(state, facts);
        recordWrite(state, facts, { refusal, chosenMs: sentMs });
        checked = {
          endpoint: facts.endpoint,
          chosenMs: sentMs,
          checkedMs: performance.now(),
          listAgeMs: parts.listing.getAgeMs(),
        };
        return refusal === undefined;
      },
      onWritten: () => void (checked && recordWritten(state, checked)),
    });
  } catch (error) {
    if (refusal === WriteRefusal.Suspect) throw new RefusedCallError();
    throw refusal === undefined ? error : new OutdatedChoiceError();
  }
}

function findWriteRefusal(
  { call, parts, listBasis, workspace }: CallState,
  { endpoint }: SendParameters,
): WriteRefusal | undefined {
  const keyRefusal = parts.keys?.findRefusal(call, workspace);
  if (keyRefusal === KeyVerdict.Unconfirmed) return WriteRefusal.KeyUnconfirmed;
  if (keyRefusal) return WriteRefusal.KeyTakenAway;
  if (parts.crashes.findVerdict(call)) return WriteRefusal.Suspect;
  if (!parts.endpoints.isAccepting(endpoint)) return WriteRefusal.NotAccepting;
  const usable = parts.listing.isCurrent() ||
    listBasis === TopicBasis.Unconfirmed;
  return usable ? undefined : WriteRefusal.ListTooOld;
}

/** What was known when a call was checked for the last time before its write. */
interface CheckedWrite {
  readonly endpoint: ListedEndpoint;
  /** Time of the choice of its endpoint, in ms of `performance.now()`. */
  readonly chosenMs: number;
  /** When it was checked, in ms of `performance.now()`. */
  readonly checkedMs: number;
  /** Age that the list of endpoints had then, in ms. */
  readonly listAgeMs: number;
}

/** Logs a call whose process did not get on between the last check and the write, which no check can prevent. */
function recordWritten(
  { call, parts }: CallState,
  { endpoint, ...checked }: CheckedWrite,
): void {
  const sinceCheckMs = performance.now() - checked.checkedMs;
  if (sinceCheckMs < lateSendMs) return;
  parts.logEvent(forwardEvents.writtenLate, {
    call: call.id,
    endpoint: endpoint.name,
    sinceCheckMs: Math.round(sinceCheckMs),
    sinceChoiceMs: Math.round(performance.now() - checked.chosenMs),
    listAgeMs: Math.round(checked.listAgeMs),
  });
}

/** Counts a send, and logs one that is refused at the last moment or comes long after the choice of its endpoint. */
function recordWrite(
  { call, parts, listBasis, workspace }: CallState,
  { endpoint }: SendParameters,
  { refusal, chosenMs }: {
    readonly refusal: WriteRefusal | undefined;
    readonly chosenMs: number;
  },
): void {
  if (!refusal) parts.onSent?.(parts.listing.getAgeMs(), listBasis);
  const sinceChoiceMs = performance.now() - chosenMs;
  if (!refusal && sinceChoiceMs < lateSendMs) return;
  if (refusal === WriteRefusal.KeyTakenAway) {
    parts.logEvent(workspaceEvents.keyTakenAway, { call: call.id, workspace });
  }
  const event = refusal ? forwardEvents.choiceOutdated : forwardEvents.sentLate;
  parts.logEvent(event, {
    call: call.id,
    endpoint: endpoint.name,
    refusal,
    sinceChoiceMs: Math.round(sinceChoiceMs),
    listAgeMs: formatListAge(parts),
  });
}

/** Age of the list of endpoints for a log line, in ms; undefined if it was never read. */
export function formatListAge(
  { listing }: Pick<ForwardDependencies, "listing">,
): number | undefined {
  const ageMs = listing.getAgeMs();
  return ageMs === Infinity ? undefined : Math.round(ageMs);
}

/** Rejects if an answer without a length may have ended because its endpoint's process did. */
export async function confirmWhole(
  { parts }: CallState,
  endpoint: ListedEndpoint,
  { framed }: EndpointAnswer,
): Promise<void> {
  if (framed || !await parts.sender.hasEnded(endpoint)) return;
  throw buildMalformed("endpoint ended with an answer without a length");
}

function recordLimit(
  { call, parts, route }: CallState,
  { endpoint, exportOnly }: SendParameters,
  { head }: EndpointAnswer,
): void {
  const step = route.kind === CallKind.Stream
    ? LimitStep.Generate
    : LimitStep.Call;
  const succeeded = head.status >= success && head.status < redirect;
  parts.limits.recordAnswer(endpoint, {
    perSecond: head.limitPerSecond,
    step: exportOnly ? LimitStep.Export : step,
    succeeded: succeeded && head.callId === call.id,
  });
}

/** Whether the limit of an endpoint that was chosen leaves room for the call; if not, the endpoint counts as held back until the next choice. */
export function takeRoom(state: CallState, endpoint: ListedEndpoint): boolean {
  const { call, parts, considered, heldBack, reserved } = state;
  if (reserved === endpoint.name) return true;
  if (!considered.has(endpoint.name)) {
    considered.add(endpoint.name);
    parts.limits.recordDemand(endpoint);
  }
  if (parts.limits.mayUse(endpoint, call.id)) return true;
  heldBack.add(endpoint.name);
  return false;
}

function findAnswerFault(
  { head }: EndpointAnswer,
  state: CallState,
  { exportOnly }: { readonly exportOnly?: boolean },
): string | undefined {
  const { callId } = head;
  if (callId !== undefined && callId !== state.call.id) {
    return "answer belongs to another call";
  }
  const succeeded = head.status >= success && head.status < redirect;
  if (!succeeded) return undefined;
  if (callId === undefined) return "answer names no call";
  // The answer to an export goes to this instance only and is not marked as genuine.
  if (!head.genuine && !exportOnly) return "answer is not the endpoint's own";
  return head.encoded ? "answer is in an encoding nobody asked for" : undefined;
}

/** Whether what the endpoint writes fits to the events that the caller has. */
export function mayContinueAt(
  { origin }: CallState,
  { softwareVersion = "" }: ListedEndpoint,
): boolean {
  return origin === undefined || origin.version === softwareVersion;
}

/** Ids of the prompt parts that other calls may share; the last part belongs to this call or its session. */
export function listSharedParts({ work }: ForwardCall): readonly string[] {
  return work?.parts.slice(0, -1).map(({ id }) => id) ?? [];
}

/** Whether a send failed before any byte was sent, so that the call did not run. */
export function isUnsent(error: unknown): boolean {
  return error instanceof RemoteError && error.effect === Effect.None;
}
