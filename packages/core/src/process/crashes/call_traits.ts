/** Traits of a call: the shared parts of its prompt, and the request itself. */
import { createHash } from "node:crypto";
import type { ForwardCall } from "../../types/index.ts";
import type { Trait } from "./crash_types.ts";

/** Parts of one prompt that are considered, from its start. */
const maxPartTraits = 16;
/** Longer ids are replaced by their digest, as callers choose them. */
const maxIdLength = 64;
const digestLength = 24;
const partPrefix = "part:";
const requestPrefix = "request:";

/** Traits of the shared parts of a prompt; the last part belongs to the call or its session only. */
export function listPartTraits({ work }: ForwardCall): readonly Trait[] {
  const shared = work?.parts.slice(0, -1).slice(0, maxPartTraits) ?? [];
  return [...new Set(shared.map(({ id }) => partPrefix + fitId(id)))];
}

/** Trait of repeats of the same request: method, host, path and body are the same. */
export function buildRequestTrait(call: ForwardCall): Trait {
  const { method, host, target, body } = call;
  const hash = createHash("sha1");
  for (const text of [method, host, target]) hash.update(text).update("\0");
  return requestPrefix +
    hash.update(body).digest("hex").slice(0, digestLength);
}

/** Whether a trait is that of a whole request. */
export function isRequestTrait(trait: Trait): boolean {
  return trait.startsWith(requestPrefix);
}

function fitId(id: string): string {
  return id.length <= maxIdLength
    ? id
    : createHash("sha1").update(id).digest("hex").slice(0, digestLength);
}
