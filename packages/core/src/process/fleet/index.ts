/** State of the fleet in one instance: followed topics, endpoints, peers, and duties that one instance at a time carries out. */
export {
  createDuty,
  type Duty,
  type DutyClaim,
  type DutyOptions,
  type DutyTerm,
} from "./duty.ts";
export {
  CallEnd,
  createEndpointBoard,
  type DownNotes,
  type EndpointBoard,
  type OpenCall,
  type ReadNotes,
  type ReadReports,
  type ReadWork,
} from "./endpoint_board.ts";
export {
  createEndpointList,
  type EndpointList,
  type EndpointListOptions,
  type EndpointSnapshot,
} from "./endpoint_list.ts";
export { fleetEvents } from "./events.ts";
export {
  type AppliedPage,
  type FollowedTopic,
  followTopic,
  type FollowTopicOptions,
} from "./follow_topic.ts";
export {
  type ChangingEngine,
  type EngineControl,
  keepRoles,
  type KeepRolesOptions,
  type RoleKeeper,
} from "./keep_roles.ts";
export { type EndpointLoad, type LoadReports } from "./peer_reports.ts";
export {
  createPeerBook,
  type PeerAddress,
  type PeerBook,
  type PeerDigest,
} from "./peer_book.ts";
export {
  type PlannedRole,
  planRoles,
  type RolePlanInput,
} from "./plan_roles.ts";
export { createReadSpeeds, type ReadSpeeds } from "./read_speeds.ts";
