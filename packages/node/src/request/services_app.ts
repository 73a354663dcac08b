/** Handlers of calls to plain services. */
import type { ServerResponse } from "node:http";
import {
  type BundleCaller,
  type BundleService,
  type CallAnswer,
  Outcome,
  outcomeHeader,
  type Refusal,
  RefusalReason,
  type ServiceCall,
  type ServiceRequest,
  type StopBound,
} from "@trefoildoor/core";
import { type Either, Left, Right } from "purify-ts";
import {
  BodyKind,
  type GatewayApp,
  type GatewayHandler,
  type GatewayRequest,
} from "../connection/gateway.ts";
import { sendRefusal } from "../connection/responses.ts";
import type { VersionView } from "../version/view.ts";
import { findCaller } from "./identity.ts";
import { refuseNotRun } from "./refusals.ts";

/** Service, path and query of a URL from which the gateway has removed `/services`. */
const servicePattern = /^\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const idempotencyKeyHeader = "idempotency-key";
const repeatedHeader = "trefoildoor-repeated";
/** Request headers that are forwarded to the service. */
const forwardedHeaders = ["content-type", "accept", "accept-language"];
/** Response headers that are returned to the caller. */
const returnedHeaders = [
  "content-type",
  "content-language",
  "location",
  "retry-after",
];
const methods = ["GET", "HEAD", "POST", "PUT", "DELETE"];

/** Reasons of refusals that come from the state of the instance, not from the call. */
const stateReasons: readonly RefusalReason[] = [
  RefusalReason.Stopping,
  RefusalReason.NoBundle,
];

/** Functions that the handlers of service calls work with. */
export interface ServicesDependencies {
  /** Returns the bundle version for a new call, or a refusal while there is none. */
  readonly pinVersion: () => Either<Refusal, VersionView>;
  readonly runCall: (
    call: ServiceCall,
    version: VersionView,
    options: { readonly caller: BundleCaller },
  ) => Promise<Either<Refusal, CallAnswer>>;
  /** Ends the calls in progress before the instance has stopped. */
  readonly stopBound: StopBound;
}

/** A checked call with the bundle version that it pinned. */
interface PreparedCall {
  readonly caller: BundleCaller;
  readonly service: BundleService;
  readonly version: VersionView;
  readonly request: ServiceRequest;
}

/** Creates the app that passes calls below `/services/NAME` to the named service. */
export function createServicesApp(
  dependencies: ServicesDependencies,
): GatewayApp {
  const answer: GatewayHandler = (request, response) =>
    handleCall(request, response, { dependencies });
  const paths = methods.flatMap((
    method,
  ) => [`${method} /:service`, `${method} /:service/:rest*`]);
  return {
    path: "/services",
    body: BodyKind.Text,
    handlers: Object.fromEntries(paths.map((path) => [path, answer])),
  };
}

async function handleCall(
  request: GatewayRequest,
  response: ServerResponse,
  { dependencies }: { readonly dependencies: ServicesDependencies },
): Promise<void> {
  const prepared = parseCall(request, dependencies);
  if (prepared.isLeft()) {
    const refusal = prepared.extract() as Refusal;
    return sendRefusal(response, adjustOutcomeForKey(refusal, request));
  }
  const { caller, service, version, request: serviceRequest } = prepared
    .unsafeCoerce();
  const deadline = new AbortController();
  const timer = setTimeout(() => deadline.abort(), caller.deadline_ms);
  const removeCallback = dependencies.stopBound.onEnd(() => deadline.abort());
  try {
    const disconnected = new AbortController();
    response.once("close", () => disconnected.abort());
    // The result of a call with a key is recorded for a repeat of the call.
    const signal = serviceRequest.key === undefined
      ? AbortSignal.any([deadline.signal, disconnected.signal])
      : deadline.signal;
    const call = {
      caller: caller.name,
      service,
      request: serviceRequest,
      signal,
    };
    const result = await dependencies.runCall(call, version, { caller });
    result.caseOf({
      Left: (refusal) => sendRefusal(response, refusal),
      Right: (answer) => sendAnswer(response, answer),
    });
  } finally {
    clearTimeout(timer);
    removeCallback();
  }
}

/**
 * Sets the outcome to unknown when the instance refuses a call before it looks
 * up the idempotency key: an earlier call with the same key may have run.
 */
function adjustOutcomeForKey(
  refusal: Refusal,
  request: GatewayRequest,
): Refusal {
  const isKeyed = request.headers[idempotencyKeyHeader] !== undefined;
  if (!isKeyed || !stateReasons.includes(refusal.reason)) return refusal;
  return { ...refusal, outcome: Outcome.Unknown };
}

function parseCall(
  request: GatewayRequest,
  dependencies: ServicesDependencies,
): Either<Refusal, PreparedCall> {
  const [, name = "", path = "/", query = ""] =
    servicePattern.exec(request.url ?? "") ?? [];
  return dependencies.pinVersion().chain((version) =>
    findCaller(request, version).chain((caller) =>
      findService(name, caller, { version }).map((service) => ({
        caller,
        service,
        version,
        request: buildServiceRequest(request, `${path}${query}`),
      }))
    )
  );
}

function findService(
  name: string,
  caller: BundleCaller,
  { version }: { readonly version: VersionView },
): Either<Refusal, BundleService> {
  const service = version.services.get(name);
  if (!service) {
    return Left(
      refuseNotRun(RefusalReason.UnknownService, "Service does not exist"),
    );
  }
  if (caller.services.includes(name)) return Right(service);
  return Left(
    refuseNotRun(RefusalReason.Forbidden, "Caller may not use this service"),
  );
}

function buildServiceRequest(
  request: GatewayRequest,
  path: string,
): ServiceRequest {
  const key = request.headers[idempotencyKeyHeader];
  const headers: Record<string, string> = {};
  for (const name of forwardedHeaders) {
    const value = request.headers[name];
    if (typeof value === "string") headers[name] = value;
  }
  return {
    method: request.method ?? "GET",
    path,
    headers,
    body: typeof request.body === "string" ? request.body : "",
    key: typeof key === "string" ? key : undefined,
  };
}

function sendAnswer(response: ServerResponse, answer: CallAnswer): void {
  if (response.destroyed) return;
  const headers: Record<string, string> = {
    [outcomeHeader]: answer.outcome,
    [repeatedHeader]: String(answer.repeated),
    "content-length": String(Buffer.byteLength(answer.body)),
  };
  for (const name of returnedHeaders) {
    const value = answer.headers[name];
    if (value !== undefined) headers[name] = value;
  }
  response.writeHead(answer.status, headers);
  response.end(answer.body);
}
