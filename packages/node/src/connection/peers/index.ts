/** Exchange of digests and control state between instances. */
export { openPeerClient, type PeerClient } from "./client.ts";
export {
  exchangeWithPeers,
  maxPeers,
  type PeerAddress,
  type PeerExchangeDependencies,
} from "./exchange_with_peers.ts";
export {
  type PeerDemand,
  type PeerDigest,
  peerDigestSchema,
} from "./messages.ts";
export { createPeerRouter, type PeerServerDependencies } from "./router.ts";
export { openPeerServer, type PeerServer } from "./server.ts";
