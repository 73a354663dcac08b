/** Procedures that instances call on each other. */
import { compareSecrets, type ControlState } from "@trefoildoor/core";
import { initTRPC, TRPCError } from "@trpc/server";
import type { CreateHTTPContextOptions } from "@trpc/server/adapters/standalone";
import {
  type PeerDigest,
  peerDigestSchema,
  peerKeyHeader,
} from "./messages.ts";

/** What a peer may ask of this instance. */
export interface PeerParts {
  /** Takes a peer's digest and answers with the own one. */
  readonly exchange: (digest: PeerDigest) => PeerDigest;
  readonly getControlState: () => ControlState;
}

/** What is known of a call before its procedure runs. */
export interface PeerContext {
  readonly authorized: boolean;
}

const { router, procedure } = initTRPC.context<PeerContext>().create();

const guarded = procedure.use(({ ctx, next }) => {
  if (ctx.authorized) return next();
  throw new TRPCError({ code: "UNAUTHORIZED", message: "Peer key is wrong" });
});

/** Creates the procedures over the instance's functions. */
// deno-lint-ignore explicit-function-return-type explicit-module-boundary-types
export function createPeerRouter(parts: PeerParts) {
  return router({
    exchange: guarded.input(peerDigestSchema).mutation(({ input }) =>
      parts.exchange(input)
    ),
    controlState: guarded.query(() => parts.getControlState()),
  });
}

/** Type of the procedures, which clients are built from. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Creates the check of the shared key on each call. */
export function createPeerContext(
  key: string,
  onRefused: () => void,
): (options: CreateHTTPContextOptions) => PeerContext {
  return ({ req }) => {
    const given = req.headers[peerKeyHeader];
    const authorized = typeof given === "string" && compareSecrets(given, key);
    if (!authorized) onRefused();
    return { authorized };
  };
}
