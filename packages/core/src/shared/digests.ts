/** SHA-256 digests and constant-time comparison. */
import { createHash, timingSafeEqual } from "node:crypto";

/** Computes the SHA-256 of a text in UTF-8, as lower-case hexadecimal. */
export function digestText(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Whether two secrets are equal; the time taken does not depend on where they differ. */
export function compareSecrets(left: string, right: string): boolean {
  const leftDigest = createHash("sha256").update(left).digest();
  const rightDigest = createHash("sha256").update(right).digest();
  return timingSafeEqual(leftDigest, rightDigest);
}
