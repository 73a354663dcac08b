/** Settings common to the platform's adapters. */

/** Address and timeout of a platform service. */
export interface PlatformOptions {
  /** IP number and port, or an HTTP URL. */
  readonly address: string;
  /** Timeout until the answer is complete, in ms. */
  readonly timeoutMs?: number;
}
