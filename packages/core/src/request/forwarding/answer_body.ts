/** Reads bodies of endpoints' answers, whose length is not trusted. */
import { Effect, RemoteError, RemoteFailure } from "../../types/index.ts";
import type { HeldBytes } from "../../shared/index.ts";
import type { EndpointAnswer } from "./types.ts";

/** Longest answer that is held in memory, in bytes: far above those of plain services. */
const maxBodyBytes = 4 * 1_048_576;
/** Longest refusal that is read so that its connection can be used again, in bytes. */
const maxRefusalBytes = 65_536;

/** Bounds of a body that is read into memory. */
export interface BodyBounds {
  /** Longest body, in bytes. */
  readonly maxBytes?: number;
  /** Bound of all bodies of the process; absent for short ones. */
  readonly held?: HeldBytes;
}

/** Reads an answer's body into memory; rejects with `RemoteError` if the answer breaks off or is too long. */
export async function readBody(
  answer: Pick<EndpointAnswer, "body">,
  { maxBytes = maxBodyBytes, held }: BodyBounds = {},
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  const bytesHeld = held?.openAnswer();
  let bytes = 0;
  try {
    for await (const chunk of answer.body) {
      bytes += chunk.length;
      if (bytes > maxBytes) throw buildMalformed("answer is too long");
      if (bytesHeld?.add(chunk.length) === false) {
        throw buildMalformed("too many bytes of answers are held");
      }
      chunks.push(chunk);
    }
    return Buffer.concat(chunks);
  } finally {
    bytesHeld?.release();
  }
}

/** Reads the body of a refusal; a long or broken one closes the connection. */
export async function dropBody(
  answer: Pick<EndpointAnswer, "body">,
): Promise<void> {
  await readBody(answer, { maxBytes: maxRefusalBytes }).catch(() => undefined);
}

/** Discards the rest of an answer, which closes the connection unless the body has ended. */
export async function closeAnswer(answer: EndpointAnswer): Promise<void> {
  await answer.body[Symbol.asyncIterator]().return?.();
}

/** Builds the error of an answer that no endpoint in order gives; the call may have run. */
export function buildMalformed(message: string): RemoteError {
  return new RemoteError(message, {
    failure: RemoteFailure.Malformed,
    effect: Effect.Unknown,
  });
}
