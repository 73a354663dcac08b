/** Which endpoints and instances take work. */
export { membershipEvents } from "./events.ts";
export {
  createMembership,
  type ListedPeer,
  type Membership,
  type MembershipOptions,
} from "./membership.ts";
