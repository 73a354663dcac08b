/** Procedures that instances call on each other. */
import { compareSecrets, type ControlState } from "@trefoildoor/core";
import { initTRPC, TRPCError } from "@trpc/server";
import type { CreateHTTPContextOptions } from "@trpc/server/adapters/standalone";
import {
  type PeerDigest,
  peerDigestSchema,
  peerKeyHeader,
} from "./messages.ts";

/** Functions of this instance that peers may call. */
export interface PeerServerDependencies {
  /** Accepts a peer's digest and returns this instance's own. */
  readonly exchange: (digest: PeerDigest) => PeerDigest;
  readonly getControlState: () => ControlState;
}

/** Context of a call: whether it carries the right peer key. */
export interface PeerContext {
  readonly authorized: boolean;
}

const { router, procedure } = initTRPC.context<PeerContext>().create();

const authorizedProcedure = procedure.use(({ ctx, next }) => {
  if (ctx.authorized) return next();
  throw new TRPCError({ code: "UNAUTHORIZED", message: "Peer key is wrong" });
});

/** Creates the tRPC procedures; each rejects a call without the right peer key. */
// deno-lint-ignore explicit-function-return-type explicit-module-boundary-types
export function createPeerRouter(dependencies: PeerServerDependencies) {
  return router({
    exchange: authorizedProcedure.input(peerDigestSchema).mutation((
      { input },
    ) => dependencies.exchange(input)),
    controlState: authorizedProcedure.query(() =>
      dependencies.getControlState()
    ),
  });
}

/** Type of the procedures, from which clients derive their calls. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Creates the function that checks the shared key of each call; `onRefused` is called for a missing or wrong key. */
export function createPeerContext(
  key: string,
  onRefused: () => void,
): (options: CreateHTTPContextOptions) => PeerContext {
  return ({ req }) => {
    const receivedKey = req.headers[peerKeyHeader];
    const authorized = typeof receivedKey === "string" &&
      compareSecrets(receivedKey, key);
    if (!authorized) onRefused();
    return { authorized };
  };
}
