/** Tracks which endpoints and instances accept new work. */
export { membershipEvents } from "./events.ts";
export {
  createMembership,
  type ListedPeer,
  type Membership,
  type MembershipOptions,
} from "./membership.ts";
