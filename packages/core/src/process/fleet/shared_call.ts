/** A call that callers share. */

/** Lets callers that come while a call is under way share the next one, which begins after they came. */
export function createSharedCall<Result>(
  call: () => Promise<Result>,
): () => Promise<Result> {
  let current: Promise<Result> | undefined;
  let following: Promise<Result> | undefined;

  function start(): Promise<Result> {
    current = call().finally(() => {
      current = undefined;
    });
    return current;
  }

  return () => {
    if (!current) return start();
    following ??= current.then(() => {
      following = undefined;
      return start();
    });
    return following;
  };
}
