/** Reads the events of a generation from a stream of server-sent events. */
import { createParser, type EventSourceMessage } from "eventsource-parser";
import { convertError, type HttpAnswer, type HttpCall } from "../http/index.ts";
import { Effect, RemoteError, RemoteFailure } from "../../types/effects.ts";
import type { GenerateEvent, LoadReport } from "../../types/endpoints.ts";
import { completionChunkSchema, loadReportSchema } from "./engine_schemas.ts";

/** The call that is answered, and listeners for its stream. */
export interface StreamEventsOptions {
  readonly call: HttpCall;
  readonly onLoad: (report: LoadReport) => void;
  /** Called with each chunk of bytes. */
  readonly onBytes: () => void;
}

const endMarker = "[DONE]";
/** Maximum number of bytes from one event to the end of the next. */
const maxEventBytes = 1024 * 1024;

/**
 * Yields the events of an answer. Rejects with `RemoteError` and
 * `Effect.Unknown` when the stream breaks before its end.
 */
export async function* streamEvents(
  answer: HttpAnswer,
  options: StreamEventsOptions,
): AsyncGenerator<GenerateEvent, void, void> {
  const messages: EventSourceMessage[] = [];
  const parser = createParser({
    onEvent: (message) => messages.push(message),
  });
  const decoder = new TextDecoder();
  let bytesSinceEvent = 0;
  try {
    for await (const chunk of answer.body) {
      options.onBytes();
      const bytes = chunk as Uint8Array;
      bytesSinceEvent += bytes.length;
      parser.feed(decoder.decode(bytes, { stream: true }));
      if (messages.length > 0) bytesSinceEvent = 0;
      if (bytesSinceEvent > maxEventBytes) {
        throw new RangeError(`event has more than ${maxEventBytes} bytes`);
      }
      for (const message of messages.splice(0)) {
        if (message.data === endMarker) return;
        const event = decodeMessage(message, options);
        if (event) yield event;
      }
    }
  } catch (error) {
    throw convertError(error, { sent: true, call: options.call });
  }
  throw new RemoteError("stream ended before its last event", {
    failure: RemoteFailure.Unreachable,
    effect: Effect.Unknown,
  });
}

function decodeMessage(
  message: EventSourceMessage,
  options: StreamEventsOptions,
): GenerateEvent | undefined {
  const data: unknown = JSON.parse(message.data);
  if (message.event === "load") {
    options.onLoad(loadReportSchema.parse(data));
    return undefined;
  }
  const chunk = completionChunkSchema.parse(data);
  const choice = chunk.choices[0];
  if (choice?.finish_reason) {
    return {
      kind: "finish",
      reason: choice.finish_reason,
      promptTokens: chunk.usage?.prompt_tokens ?? 0,
    };
  }
  if (choice === undefined || chunk.token_index === undefined) return undefined;
  return { kind: "token", index: chunk.token_index, text: choice.text };
}
