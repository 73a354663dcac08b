/** Handlers of completion requests, answered as one JSON body or as server-sent events. */
import type { ServerResponse } from "node:http";
import {
  type BundleCaller,
  type CompletionCall,
  type CompletionEvent,
  type EventFields,
  logEvent,
  Outcome,
  outcomeHeader,
  type Refusal,
  RefusalReason,
} from "@trefoildoor/core";
import { type Either, Left, Right } from "purify-ts";
import {
  BodyKind,
  type GatewayApp,
  type GatewayRequest,
} from "../connection/gateway.ts";
import {
  openEventStream,
  sendJson,
  sendRefusal,
} from "../connection/responses.ts";
import { daemonEvents } from "../events.ts";
import type { VersionView } from "../version/view.ts";
import {
  buildCompletionAnswer,
  buildCompletionChunk,
} from "./completion_answer.ts";
import {
  buildCompletionCall,
  CompletionKind,
  parseCompletionBody,
} from "./completion_body.ts";
import { findCaller } from "./identity.ts";
import { buildRefusalBody, refuseNotRun } from "./refusals.ts";

/** Functions and settings that the completion handlers work with. */
export interface CompletionsDependencies {
  /** Returns the bundle version for a new request, or a refusal while there is none. */
  readonly pinVersion: () => Either<Refusal, VersionView>;
  /** Runs a completion under a pinned version. */
  readonly stream: (
    call: CompletionCall,
    version: VersionView,
    options: { readonly signal: AbortSignal },
  ) => AsyncGenerator<CompletionEvent>;
  readonly writeTimeoutMs: number;
}

/** A checked request with the bundle version that it pinned. */
interface PreparedCall {
  readonly call: CompletionCall;
  readonly version: VersionView;
  readonly kind: CompletionKind;
  readonly streamed: boolean;
}

/** Creates the app with completions, chat completions and the list of models below `/v1`. */
export function createCompletionsApp(
  dependencies: CompletionsDependencies,
): GatewayApp {
  const answer =
    (kind: CompletionKind) =>
    (request: GatewayRequest, response: ServerResponse): Promise<void> =>
      handleCompletion({ request, response }, dependencies, { kind });
  return {
    path: "/v1",
    body: BodyKind.Json,
    handlers: {
      "POST /completions": answer(CompletionKind.Text),
      "POST /chat/completions": answer(CompletionKind.Chat),
      "GET /models": (request, response) =>
        answerModels(request, response, { dependencies }),
    },
  };
}

async function handleCompletion(
  exchange: {
    readonly request: GatewayRequest;
    readonly response: ServerResponse;
  },
  dependencies: CompletionsDependencies,
  options: { readonly kind: CompletionKind },
): Promise<void> {
  const { request, response } = exchange;
  const prepared = parseCall(request, dependencies, options);
  if (prepared.isLeft()) {
    return sendRefusal(response, prepared.extract() as Refusal);
  }
  const ready = prepared.unsafeCoerce();
  const disconnected = new AbortController();
  response.once("close", () => disconnected.abort());
  const events = dependencies.stream(ready.call, ready.version, {
    signal: disconnected.signal,
  });
  // The HTTP status waits for the first event, so that a refusal before any token has its own status.
  const first = await events.next();
  if (first.done) return;
  if (first.value.kind === "refused") {
    return sendRefusal(response, first.value.refusal);
  }
  const all = streamFrom(first.value, events);
  if (ready.streamed) {
    return await answerStream(response, ready, {
      events: all,
      dependencies,
    });
  }
  return await answerWhole(response, ready, { events: all });
}

function parseCall(
  request: GatewayRequest,
  dependencies: CompletionsDependencies,
  options: { readonly kind: CompletionKind },
): Either<Refusal, PreparedCall> {
  return dependencies.pinVersion().chain((version) =>
    findCaller(request, version).chain((caller) =>
      parseCompletionBody(request.body, options.kind)
        .chain((body) => checkModel(body, caller, { version }))
        .map((body) => ({
          call: buildCompletionCall(body, caller),
          version,
          kind: options.kind,
          streamed: body.stream,
        }))
    )
  );
}

function checkModel<
  T extends { readonly model: string; readonly adapter?: string },
>(
  body: T,
  caller: BundleCaller,
  options: { readonly version: VersionView },
): Either<Refusal, T> {
  const pools = options.version.poolsByModel.get(body.model) ?? [];
  const served = pools.flatMap((pool) => pool.models).some((
    { model, adapters },
  ) =>
    model === body.model &&
    (body.adapter === undefined || adapters.includes(body.adapter))
  );
  if (!served) {
    return Left(
      refuseNotRun(
        RefusalReason.UnknownModel,
        "Model or adapter is not served",
      ),
    );
  }
  if (!caller.models.includes(body.model)) {
    return Left(
      refuseNotRun(RefusalReason.Forbidden, "Caller may not use this model"),
    );
  }
  return Right(body);
}

/** Yields the first event and the rest; ends the source also when the consumer stops early. */
async function* streamFrom(
  first: CompletionEvent,
  rest: AsyncGenerator<CompletionEvent>,
): AsyncGenerator<CompletionEvent> {
  try {
    yield first;
    yield* rest;
  } finally {
    await rest.return(undefined);
  }
}

async function answerWhole(
  response: ServerResponse,
  { call, kind }: PreparedCall,
  options: { readonly events: AsyncGenerator<CompletionEvent> },
): Promise<void> {
  const tokens: string[] = [];
  for await (const event of options.events) {
    if (event.kind === "token") tokens.push(event.text);
    if (event.kind === "refused") return sendRefusal(response, event.refusal);
    if (event.kind !== "finish") continue;
    const result = {
      text: tokens.join(""),
      finishReason: event.reason,
      promptTokens: event.promptTokens,
      outputTokens: tokens.length,
    };
    sendJson(response, buildCompletionAnswer(call, kind, { result }), {
      headers: { [outcomeHeader]: Outcome.Done },
    });
  }
}

async function answerStream(
  response: ServerResponse,
  { call, kind }: PreparedCall,
  options: {
    readonly events: AsyncGenerator<CompletionEvent>;
    readonly dependencies: CompletionsDependencies;
  },
): Promise<void> {
  const fields: EventFields = {
    request: call.requestId,
    caller: call.caller.name,
  };
  const stream = openEventStream(response, {
    writeTimeoutMs: options.dependencies.writeTimeoutMs,
    onStall: () => logEvent(daemonEvents.callerStalled, fields),
  });
  for await (const event of options.events) {
    if (event.kind === "token") {
      await stream.send(buildCompletionChunk(call, kind, { text: event.text }));
    }
    if (event.kind === "finish") {
      await stream.send(
        buildCompletionChunk(call, kind, {
          text: "",
          finishReason: event.reason,
        }),
      );
      stream.close(Outcome.Done);
    }
    if (event.kind === "refused") {
      await stream.send(buildRefusalBody(event.refusal));
      stream.close(event.refusal.outcome);
    }
  }
}

function answerModels(
  request: GatewayRequest,
  response: ServerResponse,
  { dependencies }: { readonly dependencies: CompletionsDependencies },
): void {
  dependencies.pinVersion()
    .chain((version) => findCaller(request, version))
    .caseOf({
      Left: (refusal) => sendRefusal(response, refusal),
      Right: (caller) =>
        sendJson(response, {
          object: "list",
          data: caller.models.map((id) => ({
            id,
            object: "model",
            owned_by: "trefoildoor",
          })),
        }),
    });
}
