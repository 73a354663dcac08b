/**
 * Encodes digests as datagrams: JSON, compressed with a dictionary of the names
 * that every digest contains. Within a failure domain small ones are plain JSON,
 * as creating a decompressor costs more than decoding a digest.
 */
import { deflateSync, inflateSync } from "node:zlib";
import {
  type EndpointName,
  isIpv4Address,
  type PeerDigest,
} from "@trefoildoor/core";

/** A digest as sent in a datagram. */
export interface RelayedDigest extends PeerDigest {
  /** Whether the receiver relays it within its own failure domain. */
  readonly relay?: boolean;
}

/** Part of the wire format: both ends must use the same bytes. */
const dictionary = Buffer.from(
  '"stopping":false,"relay":true,"update":{"from":,"records":[{"key":"i-' +
    '","value":{"name":"service":"address":"failureDomain":"slots":64,' +
    '"leaving":true,"role":"prefill","role":"decode","startedAtMs":' +
    '"down":{},"changing":[],"reads":{"sent":{"computed":{"i-' +
    '"loads":{"i-":{"calls":1,"readTokens":0,"lateTokens":0},' +
    '{"start":"","sequence":,"sentMs":,"name":"","address":"10.","failureDomain":"' +
    '","version":,"listNext":,"listChanged":,"listAgeMs":,"readsStore":false,',
);
/** A small window and few buckets, as creating the compressor costs more than compressing. */
const compression = { level: 1, windowBits: 13, memLevel: 6, dictionary };
/** Size limit of decoded datagrams, in bytes: far above any batch, and far below what a crafted one could expand to. */
const maxDecodedBytes = 4 * 1_048_576;
/** Payload of a datagram that is not fragmented on Ethernet, in bytes. */
const maxPlainBytes = 1_472;
/** First characters of JSON; compressed datagrams begin with others. */
const jsonStarts = "[{";

/** Encodes digests as one datagram. */
export function encodeDigests(digests: readonly RelayedDigest[]): Buffer {
  return deflateSync(JSON.stringify(digests), compression);
}

/**
 * Encodes digests for receivers in the own failure domain, where bytes cost
 * less than time: as plain JSON if that fits one frame, compressed otherwise.
 */
export function encodeNearDigests(digests: readonly RelayedDigest[]): Buffer {
  const plain = Buffer.from(JSON.stringify(digests));
  return plain.length <= maxPlainBytes ? plain : encodeDigests(digests);
}

/** Prompts that an instance has just given to engines, by their time to compute, in ms. */
export type Placements = Readonly<Record<EndpointName, number>>;

/** First characters of a message about placements, which digests never begin with. */
const placementsStart = '{"placed":';
/** Engines in one message. */
const maxPlacements = 64;

/** Encodes what an instance has placed as one small datagram. */
export function encodePlacements(placed: Placements): Buffer {
  return Buffer.from(JSON.stringify({ placed }));
}

/** Decodes what a peer has placed; undefined for any other datagram. */
export function decodePlacements(message: Buffer): Placements | undefined {
  const start = message.toString("latin1", 0, placementsStart.length);
  if (start !== placementsStart) return undefined;
  try {
    const { placed } = JSON.parse(message.toString()) as {
      readonly placed: unknown;
    };
    if (typeof placed !== "object" || placed === null) return undefined;
    const entries = Object.entries(placed).slice(0, maxPlacements);
    return Object.fromEntries(
      entries.filter(([, ms]) => typeof ms === "number" && ms >= 0),
    );
  } catch {
    return undefined;
  }
}

/** Undefined for a malformed datagram. Only the main fields are checked, since digests come from the system's own instances. */
export function decodeDigests(
  message: Buffer,
): readonly RelayedDigest[] | undefined {
  try {
    const text = jsonStarts.includes(message.toString("latin1", 0, 1))
      ? message
      : inflateSync(message, { dictionary, maxOutputLength: maxDecodedBytes });
    const parsed: unknown = JSON.parse(text.toString());
    const digests: readonly unknown[] = Array.isArray(parsed)
      ? parsed
      : [parsed];
    return digests.every(isDigest) ? digests : undefined;
  } catch {
    return undefined;
  }
}

function isDigest(digest: unknown): digest is RelayedDigest {
  if (typeof digest !== "object" || digest === null) return false;
  const { name, address, loads } = digest as Partial<PeerDigest>;
  return typeof name === "string" && typeof address === "string" &&
    isIpv4Address(address) && typeof loads === "object" && loads !== null;
}
