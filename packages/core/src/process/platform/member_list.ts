/** HTTP adapter of the platform's list of live and leaving processes. */
import { z } from "zod";
import { openHttpConnections } from "../../connection/http/index.ts";
import { isAddress } from "../../shared/index.ts";
import {
  type ListMembers,
  type Member,
  MemberKind,
  MemberState,
} from "../../types/platform.ts";
import type { PlatformOptions } from "./options.ts";

const address = z.string().refine(isAddress, "is not an address");
const memberSchema = z.object({
  name: z.string().min(1),
  kind: z.enum(MemberKind),
  state: z.enum(MemberState),
  failureDomain: z.string(),
  address,
  peerAddress: address.optional(),
});
const listSchema = z.object({ members: z.array(z.unknown()) });

const defaultTimeoutMs = 1_000;
/** Longest list, in bytes. */
const maxListBytes = 16 * 1_048_576;

/** Member list client; `close` closes its connections. */
export interface OpenMemberList {
  readonly listMembers: ListMembers;
  readonly close: () => Promise<void>;
}

/** Options of the member list client. */
export interface MemberListOptions extends PlatformOptions {
  /** Called for an entry of the list that names no process, once for as long as it is listed. */
  readonly onUnusable?: (why: string) => void;
}

/** Creates a member list client; a read times out after 1 s by default. Entries that name no process are left out. */
export function openMemberList(options: MemberListOptions): OpenMemberList {
  const connections = openHttpConnections(options.address, {
    replacesAfterTimeout: true,
  });
  /** Reasons why entries of the last list were left out. */
  let unusable: ReadonlySet<string> = new Set();

  function decodeMembers(entries: readonly unknown[]): readonly Member[] {
    const reasons = new Set<string>();
    const members = entries.flatMap((entry) => {
      const parsed = memberSchema.safeParse(entry);
      if (parsed.success) return [parsed.data];
      reasons.add(describeFault(entry, parsed.error));
      return [];
    });
    for (const why of reasons) {
      if (!unusable.has(why)) options.onUnusable?.(why);
    }
    unusable = reasons;
    return members;
  }

  return {
    listMembers: async (signal) => {
      const answer = await connections.fetchJson({
        method: "GET",
        path: "/members",
        timeoutMs: options.timeoutMs ?? defaultTimeoutMs,
        maxAnswerBytes: maxListBytes,
        signal,
        readOnly: true,
      }, listSchema);
      return decodeMembers(answer.members);
    },
    close: connections.close,
  };
}

const maxNameLength = 100;

function describeFault(entry: unknown, { issues }: z.ZodError): string {
  const { name } = (entry ?? {}) as { readonly name?: unknown };
  const shown = typeof name === "string" ? name.slice(0, maxNameLength) : "";
  const places = issues.map(({ path }) => path.join(".")).join(", ");
  return `"${shown}": ${places === "" ? "no object" : places}`;
}
