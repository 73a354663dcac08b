/** Finds what the HTTP client accepts in the head of an answer although the protocol does not allow it. */

const leastStatus = 100;
const maxStatus = 599;

/** What is wrong with the head of an answer; undefined if it is in order. */
export function findHeadFault(
  status: number,
  /** Value of `Transfer-Encoding`; undefined if the head has none. */
  transferEncoding?: string,
): string | undefined {
  if (status < leastStatus || status > maxStatus) {
    return `answer has the status ${status}`;
  }
  // No other is asked for, and without it last the body ends with the connection.
  const isChunked = transferEncoding?.trim().toLowerCase() === "chunked";
  return transferEncoding === undefined || isChunked
    ? undefined
    : "answer has a transfer encoding nobody asked for";
}
