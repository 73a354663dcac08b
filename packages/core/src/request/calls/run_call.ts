/** One call to a plain service, from its key to its answer. */
import { type Either, Left, Right } from "purify-ts";
import {
  Outcome,
  type Refusal,
  RefusalReason,
  type ServiceAnswer,
} from "../../types/index.ts";
import { isValidKey } from "../../process/calls/index.ts";
import {
  buildRefusal,
  type CallAnswer,
  type CallContext,
  endpointRetryAfterMs,
  type ServiceCall,
} from "./call_types.ts";
import {
  type AttemptEnd,
  findLiveEndpoint,
  sendOnce,
  sendRepeatable,
} from "./dispatch.ts";
import { runKeyedCall } from "./keyed_call.ts";

/**
 * Runs a call. A call that may repeat is tried at several endpoints. One that
 * must not is dispatched at most once for each key of its caller, whichever
 * instances its repeats reach.
 */
export async function runCall(
  call: ServiceCall,
  context: CallContext,
): Promise<Either<Refusal, CallAnswer>> {
  if (isIdempotent(call)) {
    return convertEnd(await sendRepeatable(call, context));
  }
  const key = call.request.key;
  if (key === undefined) return await runUnkeyedCall(call, context);
  if (!isValidKey(key)) {
    return Left(buildRefusal(RefusalReason.Malformed, {
      outcome: Outcome.NotRun,
      message: "idempotency key is too long or not printable",
    }));
  }
  return await runKeyedCall(call, context, { key });
}

/** Whether the bundle says that a call's method may be repeated. */
export function isIdempotent(call: ServiceCall): boolean {
  const methods: readonly string[] = call.service.idempotent_methods;
  return methods.includes(call.request.method.toUpperCase());
}

async function runUnkeyedCall(
  call: ServiceCall,
  context: CallContext,
): Promise<Either<Refusal, CallAnswer>> {
  if (!call.service.allow_missing_key) {
    return Left(buildRefusal(RefusalReason.KeyMissing, {
      outcome: Outcome.NotRun,
      message: `calls to "${call.service.name}" need an idempotency key`,
    }));
  }
  const endpoint = await findLiveEndpoint(call, context);
  if (!endpoint) return convertEnd({ kind: "not_run" });
  return convertEnd(await sendOnce(call, context.openClient(endpoint)));
}

/** Converts the end of a call that has no record. */
function convertEnd(end: AttemptEnd): Either<Refusal, CallAnswer> {
  if (end.kind === "answered") return Right(buildAnswer(end.answer));
  const notRun = end.kind === "not_run";
  return Left(buildRefusal(RefusalReason.EndpointFailed, {
    outcome: notRun ? Outcome.NotRun : Outcome.Unknown,
    message: notRun
      ? "no endpoint took the call"
      : "an endpoint may have run the call",
    retryAfterMs: endpointRetryAfterMs,
  }));
}

function buildAnswer(answer: ServiceAnswer): CallAnswer {
  return { ...answer, outcome: Outcome.Done, repeated: false };
}
