/** Fault-injecting TCP relay. */
export { type LinkFaults } from "./link.ts";
export {
  type ConnectionFaults,
  Direction,
  NewConnections,
  type Relay,
  type RelayedConnection,
  type RelayOptions,
  Scope,
  startRelay,
} from "./relay.ts";
