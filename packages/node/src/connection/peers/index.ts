/** Exchange of digests and control state between instances. */
export { openPeerClient, type PeerClient } from "./client.ts";
export {
  keepPeers,
  maxPeers,
  type PeerAddress,
  type PeersParts,
} from "./keep_peers.ts";
export {
  type PeerDemand,
  type PeerDigest,
  peerDigestSchema,
} from "./messages.ts";
export { createPeerRouter, type PeerServerDependencies } from "./router.ts";
export { openPeerServer, type PeerServer } from "./server.ts";
