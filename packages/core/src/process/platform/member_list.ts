/** HTTP adapter of the platform's list of live and leaving processes. */
import { z } from "zod";
import { openHttpConnections } from "../../connection/http/index.ts";
import {
  type ListMembers,
  MemberKind,
  MemberState,
} from "../../types/platform.ts";
import type { PlatformOptions } from "./options.ts";

const listSchema = z.object({
  members: z.array(z.object({
    name: z.string().min(1),
    kind: z.enum(MemberKind),
    state: z.enum(MemberState),
    failureDomain: z.string(),
    address: z.string(),
    peerAddress: z.string().optional(),
  })),
});

const defaultTimeoutMs = 1_000;

/** Member list client; `close` closes its connections. */
export interface OpenMemberList {
  readonly listMembers: ListMembers;
  readonly close: () => Promise<void>;
}

/** Creates a member list client; a read times out after 1 s by default. */
export function openMemberList(options: PlatformOptions): OpenMemberList {
  const connections = openHttpConnections(options.address);
  return {
    listMembers: async (signal) => {
      const answer = await connections.fetchJson({
        method: "GET",
        path: "/members",
        timeoutMs: options.timeoutMs ?? defaultTimeoutMs,
        signal,
        readOnly: true,
      }, listSchema);
      return answer.members;
    },
    close: connections.close,
  };
}
