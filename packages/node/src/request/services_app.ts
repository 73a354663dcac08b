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

/** Service, path and query; the gateway has taken the app's own path off. */
const servicePattern = /^\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const idempotencyKeyHeader = "idempotency-key";
const repeatedHeader = "trefoildoor-repeated";
/** Headers of callers that services get. */
const forwardedHeaders = ["content-type", "accept", "accept-language"];
/** Headers of services that callers get. */
const returnedHeaders = [
  "content-type",
  "content-language",
  "location",
  "retry-after",
];
const methods = ["GET", "HEAD", "POST", "PUT", "DELETE"];

/** Refusals that are due to the instance's own state. */
const instanceReasons: readonly RefusalReason[] = [
  RefusalReason.Stopping,
  RefusalReason.NoBundle,
];

/** What the handlers of service calls use. */
export interface ServicesParts {
  /** Version that new calls pin, or the refusal while there is none. */
  readonly pinVersion: () => Either<Refusal, VersionView>;
  readonly runCall: (
    call: ServiceCall,
    version: VersionView,
    options: { readonly caller: BundleCaller },
  ) => Promise<Either<Refusal, CallAnswer>>;
}

/** A checked call. */
interface PreparedCall {
  readonly caller: BundleCaller;
  readonly service: BundleService;
  readonly version: VersionView;
  readonly request: ServiceRequest;
}

/** Creates the app below `/services`. */
export function createServicesApp(parts: ServicesParts): GatewayApp {
  const answer: GatewayHandler = (request, response) =>
    handleCall(request, response, { parts });
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
  { parts }: { readonly parts: ServicesParts },
): Promise<void> {
  const prepared = readCall(request, parts);
  if (prepared.isLeft()) {
    const refusal = prepared.extract() as Refusal;
    return sendRefusal(response, describeForKey(refusal, request));
  }
  const { caller, service, version, request: serviceRequest } = prepared
    .unsafeCoerce();
  const deadline = new AbortController();
  const timer = setTimeout(() => deadline.abort(), caller.deadline_ms);
  try {
    // A caller that leaves does not abort its call: the result is recorded for its repeat.
    const call = {
      caller: caller.name,
      service,
      request: serviceRequest,
      signal: deadline.signal,
    };
    const result = await parts.runCall(call, version, { caller });
    result.caseOf({
      Left: (refusal) => sendRefusal(response, refusal),
      Right: (answer) => sendAnswer(response, answer),
    });
  } finally {
    clearTimeout(timer);
  }
}

/**
 * An instance that turns a call away before it looks at its key does not know
 * whether an earlier request with the key ran.
 */
function describeForKey(refusal: Refusal, request: GatewayRequest): Refusal {
  const isKeyed = request.headers[idempotencyKeyHeader] !== undefined;
  if (!isKeyed || !instanceReasons.includes(refusal.reason)) return refusal;
  return { ...refusal, outcome: Outcome.Unknown };
}

function readCall(
  request: GatewayRequest,
  parts: ServicesParts,
): Either<Refusal, PreparedCall> {
  const [, name = "", path = "/", query = ""] =
    servicePattern.exec(request.url ?? "") ?? [];
  return parts.pinVersion().chain((version) =>
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
