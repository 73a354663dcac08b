/** Records how a call went at an endpoint: that it began, ended, failed, or what its failure shows. */
import {
  type ListedEndpoint,
  RemoteError,
  RemoteFailure,
} from "../../types/index.ts";
import { EndSign, Unsettled } from "../../process/crashes/index.ts";
import { CallEnd } from "../../process/fleet/index.ts";
import {
  type CallState,
  getLeftMs,
  isUnsent,
  listSharedParts,
  misdirectedStatus,
  OutdatedChoiceError,
  RefusedCallError,
} from "./attempt.ts";
import { forwardEvents } from "./events.ts";
import type { EndpointAnswer } from "./types.ts";

/** Counts the call as begun at an endpoint; only the first time for each call, and not where its caller takes up a stream that had begun. */
export function recordBegun(state: CallState): void {
  if (state.begun || state.call.resumeAfter !== undefined) return;
  state.begun = true;
  state.parts.activity?.recordBegun(state.workspace);
}

/** Maps the status of a refusal to run a call to the endpoint's state: down if misdirected, unless it may only have other weights than the call needs; otherwise full. */
export function classifyRefusal(
  status: number,
  needsWeights = false,
): CallEnd {
  if (status !== misdirectedStatus) return CallEnd.Full;
  return needsWeights ? CallEnd.Withdrawn : CallEnd.Down;
}

/** Logs a failed send, excludes the endpoint from the call, and classifies the failure; an aborted call is withdrawn instead. */
export function recordFailure(
  state: CallState,
  endpoint: ListedEndpoint,
  { error, step }: { readonly error: unknown; readonly step: string },
): CallEnd {
  recordCrashSigns(state, endpoint, { error });
  const withdrawn = error instanceof RefusedCallError ||
    error instanceof OutdatedChoiceError;
  if (state.signal.aborted || withdrawn) return CallEnd.Withdrawn;
  state.excluded.add(endpoint.name);
  state.parts.logEvent(forwardEvents.sendFailed, {
    call: state.call.id,
    step,
    endpoint: endpoint.name,
    leftMs: Math.round(getLeftMs(state)),
    unsent: isUnsent(error),
    parts: listSharedParts(state.call).join(" "),
    error: error instanceof Error ? error.message : String(error),
  });
  const late = error instanceof RemoteError &&
    error.failure === RemoteFailure.Timeout;
  if (late) return CallEnd.Late;
  if (isUnsent(error)) return CallEnd.Down;
  const broken = error instanceof RemoteError &&
    (error.failure === RemoteFailure.Unreachable ||
      error.failure === RemoteFailure.NotListening);
  return broken ? CallEnd.Broken : CallEnd.Failed;
}

/** Records that an endpoint answered the call with success to the end. */
export function recordWhole(
  { call, parts }: CallState,
  endpoint: ListedEndpoint,
  { framed }: EndpointAnswer,
): void {
  if (framed) parts.crashes.recordSuccess(call);
  else {
    parts.crashes.recordUnsettled(call, endpoint, { why: Unsettled.Unframed });
  }
}

/** Records what a failed send shows about the endpoint's process. */
function recordCrashSigns(
  { call, parts, signal }: CallState,
  endpoint: ListedEndpoint,
  { error }: { readonly error: unknown },
): void {
  if (!(error instanceof RemoteError)) return;
  if (error.failure === RemoteFailure.NotListening) {
    parts.crashes.recordEnd(endpoint, EndSign.ConnectionRefused);
  } else if (!isUnsent(error)) {
    parts.crashes.recordUnsettled(call, endpoint, {
      why: signal.aborted ? Unsettled.Withdrawn : Unsettled.Broken,
    });
  }
}
