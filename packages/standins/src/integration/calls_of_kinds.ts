/** Calls of each kind that a caller can send to an instance. */
import { outcomeHeader } from "@trefoildoor/core";
import { request } from "undici";
import { type FaultWorld, getFleet, getInstance } from "./fault_world.ts";

/** Kinds of calls, as steps call them. */
export enum CallKind {
  Booking = "booking",
  LookUp = "look-up",
  Completion = "completion",
  StreamedCompletion = "streamed completion",
}

/** What a caller got; status 0 if its connection ended without an answer. */
export interface KindAnswer {
  readonly status: number;
  /** `none` where there was no answer. */
  readonly outcome: string;
  readonly text: string;
}

/** A call to send. */
export interface KindCall {
  /** The instance, as steps call it. */
  readonly name: string;
  readonly kind: CallKind;
  /** Key and item of a booking. */
  readonly key?: string;
  readonly tokens?: number;
}

/** A request of a caller. */
interface KindRequest {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly authorization: string;
  readonly body?: unknown;
}

const shortTokens = 20;

/** Sends a call and reads its answer to the end. */
export async function sendKind(
  world: FaultWorld,
  call: KindCall,
): Promise<KindAnswer> {
  const { callerAddress } = getInstance(world, call.name);
  const { method, path, authorization, body } = buildRequest(world, call);
  try {
    const answer = await request(`http://${callerAddress}${path}`, {
      method,
      headers: {
        "content-type": "application/json",
        authorization,
        ...(call.kind === CallKind.Booking && {
          "idempotency-key": call.key ?? "one",
        }),
      },
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    return {
      status: answer.statusCode,
      outcome: String(answer.headers[outcomeHeader]),
      text: await answer.body.text(),
    };
  } catch (error) {
    return { status: 0, outcome: "none", text: String(error) };
  }
}

/** Whether a kind goes to a model engine. */
export function isCompletion(kind: CallKind): boolean {
  return kind === CallKind.Completion || kind === CallKind.StreamedCompletion;
}

function buildRequest(
  world: FaultWorld,
  { kind, key = "one", tokens = shortTokens }: KindCall,
): KindRequest {
  const fleet = getFleet(world);
  const { services, pools, callers } = fleet.bundle;
  const service = services[0]?.name ?? "";
  const model = pools[0]?.models[0]?.model ?? "";
  const caller = callers.find((each) =>
    isCompletion(kind)
      ? each.models.includes(model)
      : each.services.includes(service)
  );
  const authorization = `Bearer ${fleet.getKey(caller?.name ?? "")}`;
  if (isCompletion(kind)) {
    const stream = kind === CallKind.StreamedCompletion;
    return {
      method: "POST",
      path: "/v1/completions",
      authorization,
      body: { model, prompt: "a b c", max_tokens: tokens, stream },
    };
  }
  const path = `/services/${service}`;
  return kind === CallKind.LookUp
    ? { method: "GET", path: `${path}/stock/one`, authorization }
    : {
      method: "POST",
      path: `${path}/bookings`,
      authorization,
      body: { item: key },
    };
}
