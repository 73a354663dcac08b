/**
 * Topics of the platform's store as functions: an ordered log that keeps the
 * newest record of each key. Adapters supply them; all reject with
 * `RemoteError`, and with `RemoteFailure.Expired` where a read begins before
 * the first record that is still kept.
 */

/** One record of a topic. */
export interface TopicRecord<Value> {
  readonly key: string;
  /** Undefined where the key was removed, or its value cannot be decoded. */
  readonly value: Value | undefined;
  readonly offset: number;
}

/** Records with the offset from which to read on. */
export interface TopicPage<Value> {
  readonly records: readonly TopicRecord<Value>[];
  readonly next: number;
}

/** How a topic is read. */
export interface TopicRead {
  /** Longest time to wait for a first record, in ms; 0 answers at once. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** A topic that can be read. */
export interface ReadableTopic<Value> {
  /** The newest record of each key. */
  readonly fetchNewest: (signal?: AbortSignal) => Promise<TopicPage<Value>>;
  readonly read: (from: number, read: TopicRead) => Promise<TopicPage<Value>>;
}

/** A topic of the system's own. */
export interface OwnTopic<Value> extends ReadableTopic<Value> {
  /**
   * Appends one record and resolves to its offset, or to undefined when
   * `ifEnd` is given and the topic ends elsewhere.
   */
  readonly append: (
    record: { readonly key: string; readonly value: Value },
    options?: { readonly ifEnd?: number; readonly signal?: AbortSignal },
  ) => Promise<number | undefined>;
}
