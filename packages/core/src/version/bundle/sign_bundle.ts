/**
 * Signatures of bundles: Ed25519 over the canonical JSON (RFC 8785) of the
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

/** An Ed25519 key pair; `createSigningKey` returns each key as one line of base64. */
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

/** Signs a bundle; throws a `TypeError` when the private key is not an Ed25519 key. */
export function signBundle(
  bundle: Bundle,
  options: SignBundleOptions,
): SignedBundle {
  const key = parsePrivateKey(options.privateKey);
  const signature = sign(null, encodeBundle(bundle), key).toString("base64");
  return { bundle, key: options.keyName, signature };
}

/**
 * Whether a trusted key signed the bundle. `keys` maps names to public keys;
 * the result is false when the key is missing or malformed.
 */
export function verifyBundle(
  signed: SignedBundle,
  keys: ReadonlyMap<string, string>,
): boolean {
  const text = keys.get(signed.key);
  if (text === undefined) return false;
  try {
    const key = parsePublicKey(text);
    const signature = Buffer.from(signed.signature, "base64");
    return verify(null, encodeBundle(signed.bundle), key, signature);
  } catch {
    return false;
  }
}

/**
 * Derives the public key, in base64, from a private one; throws a `TypeError`
 * when it is not an Ed25519 key.
 */
export function derivePublicKey(privateKey: string): string {
  return formatPublicKey(createPublicKey(parsePrivateKey(privateKey)));
}

/**
 * Whether two public keys, in PEM or base64, are the same; false when either
 * is malformed.
 */
export function isSamePublicKey(left: string, right: string): boolean {
  try {
    return formatPublicKey(parsePublicKey(left)) ===
      formatPublicKey(parsePublicKey(right));
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

function parsePrivateKey(text: string): KeyObject {
  return parseEd25519Key(() =>
    isPem(text) ? createPrivateKey(text) : createPrivateKey({
      key: Buffer.from(text.trim(), "base64"),
      type: "pkcs8",
      format: "der",
    })
  );
}

function parsePublicKey(text: string): KeyObject {
  return parseEd25519Key(() =>
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

/**
 * Parses a key and replaces the error of `node:crypto`, which may quote parts
 * of the key.
 */
function parseEd25519Key(read: () => KeyObject): KeyObject {
  let key: KeyObject | undefined;
  try {
    key = read();
  } catch {
    key = undefined;
  }
  if (key?.asymmetricKeyType === "ed25519") return key;
  throw new TypeError("key is not an Ed25519 key in PEM or base64");
}
