/** Runs calls to plain services: retried if idempotent, else at most once. */
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
  refuseUnsendable,
  type ServiceCall,
} from "./call_types.ts";
import {
  type AttemptResult,
  findLiveEndpoint,
  sendOnce,
  sendRepeatable,
} from "./dispatch.ts";
import { runKeyedCall } from "./keyed_call.ts";

/**
 * Runs a call. An idempotent call is tried at several endpoints. Any other call
 * runs at most once for each key of its caller, whichever instances its repeats
 * reach; without a key, it is sent once if the service allows that.
 */
export async function runCall(
  call: ServiceCall,
  context: CallContext,
): Promise<Either<Refusal, CallAnswer>> {
  if (isIdempotent(call)) {
    const refusal = refuseUnsendable(call, context);
    if (refusal) return Left(refusal);
    return convertResult(await sendRepeatable(call, context));
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

/** Whether the bundle lists the call's method as idempotent for its service. */
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
  const refusal = refuseUnsendable(call, context);
  if (refusal) return Left(refusal);
  const endpoint = await findLiveEndpoint(call, context);
  if (!endpoint) return convertResult({ kind: "not_run" });
  return convertResult(await sendOnce(call, context.openClient(endpoint)));
}

/** Converts the result of a call that is not recorded in the log. */
function convertResult(end: AttemptResult): Either<Refusal, CallAnswer> {
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
