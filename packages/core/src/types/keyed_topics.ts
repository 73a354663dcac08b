/**
 * Interfaces of the topics in the platform's store. A topic is an ordered log
 * that keeps the newest record of each key. Adapters implement them.
 * All methods reject with `RemoteError`; its failure is `RemoteFailure.Expired`
 * when a read starts before the first retained record, or at an offset of a
 * former era: a store that comes back from an older copy begins a new one, whose
 * offsets are higher than all before.
 */

/** One record of a topic. */
export interface TopicRecord<Value> {
  readonly key: string;
  /** Undefined if the key was removed or its value cannot be decoded. */
  readonly value: Value | undefined;
  readonly offset: number;
}

/** Result of a read: records and the offset at which the next read starts. */
export interface TopicPage<Value> {
  readonly records: readonly TopicRecord<Value>[];
  readonly next: number;
  /** Era of the store, 0 if absent; rises when it comes back from an older copy. */
  readonly era?: number;
}

/** Options of one read of a topic. */
export interface TopicReadOptions {
  /** Maximum time to wait for a first record, in ms; 0 returns immediately. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
  /** Whether to use a new connection, as open ones may have fallen silent. */
  readonly fresh?: boolean;
}

/** Read access to a topic. */
export interface ReadableTopic<Value> {
  /** The newest record of each key. Records at `next` or above may be among them, and are read again from there. */
  readonly fetchNewest: (signal?: AbortSignal) => Promise<TopicPage<Value>>;
  readonly read: (
    from: number,
    read: TopicReadOptions,
  ) => Promise<TopicPage<Value>>;
}

/** Read and write access to a topic that this system writes itself. */
export interface WritableTopic<Value> extends ReadableTopic<Value> {
  /**
   * Appends one record and resolves to its offset. With `ifEnd`, appends only
   * if the topic's end offset equals it, and otherwise resolves to undefined.
   * An undefined value removes the key.
   */
  readonly append: (
    record: { readonly key: string; readonly value: Value | undefined },
    options?: { readonly ifEnd?: number; readonly signal?: AbortSignal },
  ) => Promise<number | undefined>;
}
