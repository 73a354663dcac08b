/**
 * Sign-off of bundles: Ed25519 over the canonical JSON (RFC 8785) of the
 * bundle. Keys are PKCS #8 (private) and SPKI (public), in PEM or as one line
 * of base64 DER, which fits settings and environment variables.
 */
import {
  createPrivateKey,
  createPublicKey,
  generateKeyPairSync,
  type KeyObject,
  sign,
  verify,
} from "node:crypto";
import { canonicalize } from "json-canonicalize";
import type { Bundle, SignedBundle } from "../../types/index.ts";

/** A pair of signing keys, each in one line of base64. */
export interface SigningKey {
  readonly privateKey: string;
  readonly publicKey: string;
}

/** Options of `signBundle`. */
export interface SignBundleOptions {
  /** Name under which settings list the public key. */
  readonly keyName: string;
  /** Private key in PEM or base64. */
  readonly privateKey: string;
}

/** Creates a key pair for signing bundles. */
export function createSigningKey(): SigningKey {
  const pair = generateKeyPairSync("ed25519");
  const privateKey = pair.privateKey.export({ type: "pkcs8", format: "der" });
  const publicKey = pair.publicKey.export({ type: "spki", format: "der" });
  return {
    privateKey: privateKey.toString("base64"),
    publicKey: publicKey.toString("base64"),
  };
}

/** Signs a bundle; throws when the private key is no Ed25519 key. */
export function signBundle(
  bundle: Bundle,
  options: SignBundleOptions,
): SignedBundle {
  const key = readPrivateKey(options.privateKey);
  const signature = sign(null, encodeBundle(bundle), key).toString("base64");
  return { bundle, key: options.keyName, signature };
}

/**
 * Says whether a trusted key signed the bundle. `keys` holds public keys by
 * name. A key that cannot be read verifies nothing.
 */
export function verifyBundle(
  signed: SignedBundle,
  keys: ReadonlyMap<string, string>,
): boolean {
  const text = keys.get(signed.key);
  if (text === undefined) return false;
  try {
    const key = readPublicKey(text);
    const signature = Buffer.from(signed.signature, "base64");
    return verify(null, encodeBundle(signed.bundle), key, signature);
  } catch {
    return false;
  }
}

/** Derives the public key, in base64, from a private one; throws on no key. */
export function getPublicKey(privateKey: string): string {
  return formatPublicKey(createPublicKey(readPrivateKey(privateKey)));
}

/** Says whether two public keys, in PEM or base64, are the same. */
export function isSamePublicKey(left: string, right: string): boolean {
  try {
    return formatPublicKey(readPublicKey(left)) ===
      formatPublicKey(readPublicKey(right));
  } catch {
    return false;
  }
}

function formatPublicKey(key: KeyObject): string {
  return key.export({ type: "spki", format: "der" }).toString("base64");
}

function encodeBundle(bundle: Bundle): Buffer {
  return Buffer.from(canonicalize(bundle), "utf8");
}

function readPrivateKey(text: string): KeyObject {
  return expectEd25519(() =>
    isPem(text) ? createPrivateKey(text) : createPrivateKey({
      key: Buffer.from(text.trim(), "base64"),
      type: "pkcs8",
      format: "der",
    })
  );
}

function readPublicKey(text: string): KeyObject {
  return expectEd25519(() =>
    isPem(text) ? createPublicKey(text) : createPublicKey({
      key: Buffer.from(text.trim(), "base64"),
      type: "spki",
      format: "der",
    })
  );
}

function isPem(text: string): boolean {
  return text.trimStart().startsWith("-----BEGIN ");
}

/** Hides the reader's own error, which may quote parts of the key. */
function expectEd25519(read: () => KeyObject): KeyObject {
  let key: KeyObject | undefined;
  try {
    key = read();
  } catch {
    key = undefined;
  }
  if (key?.asymmetricKeyType === "ed25519") return key;
  throw new TypeError("key is not an Ed25519 key in PEM or base64");
}
