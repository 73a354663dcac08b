/** Settings that the platform's adapters share. */

/** Where a platform service is and how long its answers may take. */
export interface PlatformOptions {
  /** IP number and port, or an HTTP URL. */
  readonly address: string;
  /** Longest time to a complete answer, in ms. */
  readonly timeoutMs?: number;
}
