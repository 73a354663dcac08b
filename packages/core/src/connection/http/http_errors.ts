/** Converts HTTP failures and error answers into `RemoteError`. */
import type { Dispatcher } from "undici";
import { z } from "zod";
import type { HeldBytes } from "../../shared/index.ts";
import { Effect, RemoteError, RemoteFailure } from "../../types/effects.ts";
import type { HttpAnswer, HttpCall } from "./http_connection.ts";
import { OutdatedCallError } from "./send_tracker.ts";

/** A call exceeded its timeout. */
export class DeadlineError extends Error {
  /** Writes the timeout, in ms, into the message. */
  constructor(timeoutMs: number) {
    super(`no complete answer within ${timeoutMs} ms`);
  }
}

const maxMessageLength = 512;
/** Maximum size of a JSON answer whose call names none, in bytes. */
const defaultMaxAnswerBytes = 1_048_576;
/** Maximum size of an error answer whose code and effect are read, in bytes. */
const maxRefusalBytes = 65_536;

const errorBodySchema = z.object({
  error: z.object({
    code: z.string().optional(),
    message: z.string().optional(),
    effect: z.enum(Effect).optional(),
    retry_after_ms: z.number().optional(),
  }),
});

const failuresByStatus: Readonly<Record<number, RemoteFailure>> = {
  400: RemoteFailure.Malformed,
  404: RemoteFailure.NotFound,
  408: RemoteFailure.Timeout,
  410: RemoteFailure.Expired,
  429: RemoteFailure.RateLimited,
  503: RemoteFailure.Busy,
  504: RemoteFailure.Timeout,
};

const failuresByCode: ReadonlyMap<string, RemoteFailure> = new Map([
  ["busy", RemoteFailure.Busy],
  ["expired", RemoteFailure.Expired],
  ["fenced", RemoteFailure.Fenced],
  ["leaving", RemoteFailure.Busy],
  ["outage", RemoteFailure.Unreachable],
  ["rate_limited", RemoteFailure.RateLimited],
]);

/** An error answer of the remote side, with the error code from its body. */
export class RemoteRefusal extends RemoteError {
  /** The code is empty when the body has none. */
  constructor(
    message: string,
    readonly code: string,
    details: ConstructorParameters<typeof RemoteError>[1],
  ) {
    super(message, details);
  }
}

/** Converts an error answer (status above 399); never rejects, also when its body is not readable. */
export async function readRefusal(
  answer: Dispatcher.ResponseData<unknown>,
  call: HttpCall,
): Promise<RemoteError> {
  const body = await readRefusalBody(answer);
  const parsed = errorBodySchema.safeParse(body);
  const details = parsed.success ? parsed.data.error : {};
  const code = details.code ?? "";
  const message = details.message ?? `status ${answer.statusCode}`;
  return new RemoteRefusal(
    `${call.method} refused: ${message.slice(0, maxMessageLength)}`,
    code,
    {
      failure: failuresByCode.get(code) ??
        failuresByStatus[answer.statusCode] ??
        RemoteFailure.Refused,
      effect: call.readOnly ? Effect.None : details.effect ?? Effect.Unknown,
      retryAfterMs: details.retry_after_ms,
    },
  );
}

/** Reads the body of an error answer; undefined if it is no JSON or too long. */
async function readRefusalBody(
  answer: Pick<HttpAnswer, "body">,
): Promise<unknown> {
  try {
    const text = await readText(answer, { maxBytes: maxRefusalBytes });
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Bounds of a body that is read into memory. */
export interface TextBounds {
  /** Maximum size, in bytes. */
  readonly maxBytes: number;
  /** Bound of all such bodies of the process; absent for short ones. */
  readonly held?: HeldBytes;
}

/** Reads a body to its end; throws a `RangeError`, and closes the connection, if it is too long. */
export async function readText(
  { body }: Pick<HttpAnswer, "body">,
  { maxBytes, held }: TextBounds,
): Promise<string> {
  const chunks: Uint8Array[] = [];
  const bytesHeld = held?.openAnswer();
  let length = 0;
  try {
    for await (const chunk of body as AsyncIterable<Uint8Array>) {
      length += chunk.length;
      if (length > maxBytes) {
        throw new RangeError(`answer has more than ${maxBytes} bytes`);
      }
      if (bytesHeld?.add(chunk.length) === false) {
        throw new RangeError("too many bytes of answers are held");
      }
      chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
  } finally {
    bytesHeld?.release();
  }
}

/** Reads and validates a JSON answer of at most the size that the call names. */
export async function readJson<S extends z.ZodType>(
  answer: HttpAnswer,
  options: { readonly call: HttpCall; readonly schema: S },
): Promise<z.infer<S>> {
  const { call, schema } = options;
  try {
    const { maxAnswerBytes: maxBytes = defaultMaxAnswerBytes } = call;
    return schema.parse(JSON.parse(await readText(answer, { maxBytes })));
  } catch (error) {
    throw convertError(error, { sent: true, call });
  }
}

/** Converts any failure of a call; `sent` says whether bytes may have been written. */
export function convertError(
  error: unknown,
  options: { readonly sent: boolean; readonly call: HttpCall },
): RemoteError {
  if (error instanceof RemoteError) return error;
  const { sent, call } = options;
  return new RemoteError(`${call.method} failed: ${describeCause(error)}`, {
    failure: findFailure(error, call),
    effect: call.readOnly || !sent ? Effect.None : Effect.Unknown,
    cause: error,
  });
}

/** Omits the messages of parsers, because they quote the caller's data. */
function describeCause(error: unknown): string {
  if (error instanceof SyntaxError) return "answer is not JSON";
  if (error instanceof z.ZodError) return "answer has an unexpected shape";
  return error instanceof Error ? error.message : String(error);
}

function findFailure(error: unknown, call: HttpCall): RemoteFailure {
  if (call.signal?.aborted) return RemoteFailure.Aborted;
  const isMalformed = error instanceof z.ZodError ||
    error instanceof SyntaxError || error instanceof RangeError;
  if (isMalformed) return RemoteFailure.Malformed;
  if (error instanceof OutdatedCallError) return RemoteFailure.Refused;
  const code = (error as { code?: unknown } | undefined)?.code;
  const isTimeout = error instanceof DeadlineError ||
    code === "UND_ERR_HEADERS_TIMEOUT" || code === "UND_ERR_BODY_TIMEOUT";
  return isTimeout ? RemoteFailure.Timeout : RemoteFailure.Unreachable;
}
