/** Connection settings shared by the adapters of the platform's services. */

/** Address and timeout of a platform service. */
export interface PlatformOptions {
  /** IP address and port, or an HTTP URL. */
  readonly address: string;
  /** Maximum time until the answer is complete, in ms; each adapter has its own default. */
  readonly timeoutMs?: number;
}
