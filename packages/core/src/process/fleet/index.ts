/** State of the fleet in one instance: followed topics, endpoints, peers, and duties that one instance at a time carries out. */
export {
  type BuildClaim,
  createDuty,
  type Duty,
  type DutyClaim,
  type DutyOptions,
  type DutyStamp,
  type DutyTerm,
  type RecordedDuty,
  type RecordedTerm,
} from "./duty.ts";
export { type Backlogs, createBacklogs, type OpenBacklog } from "./backlogs.ts";
export {
  createDigestDelays,
  type DigestDelay,
  type DigestDelays,
} from "./digest_delays.ts";
export {
  CallEnd,
  createEndpointTracker,
  type DownEndpoints,
  type EndpointTracker,
  type OpenCall,
  type PartIdsByEndpoint,
  type PartReports,
  type PromptWork,
} from "./endpoint_tracker.ts";
export {
  createEndpointList,
  type EndpointList,
  type EndpointListOptions,
  type EndpointSnapshot,
} from "./endpoint_list.ts";
export { fleetEvents } from "./events.ts";
export type { LeaveReports } from "./leave_notices.ts";
export {
  type AppliedPage,
  type FollowedTopic,
  followTopic,
  type FollowTopicOptions,
} from "./follow_topic.ts";
export {
  type ChangingEngine,
  type EngineControl,
  reconcileRoles,
  type ReconcileRolesOptions,
  type RoleReconciler,
} from "./keep_roles.ts";
export {
  createTopicConfirmation,
  TopicBasis,
  type TopicConfirmation,
  type TopicConfirmationOptions,
} from "./topic_confirmation.ts";
export {
  createListUpdates,
  type ListUpdate,
  type ListUpdates,
} from "./list_updates.ts";
export { type EndpointLoad, type LoadReports } from "./peer_reports.ts";
export {
  createPeerRegistry,
  type PeerAddress,
  type PeerDigest,
  type PeerRegistry,
  type PeerRegistryOptions,
} from "./peer_registry.ts";
export {
  type PlannedRole,
  planRoles,
  type RolePlanInput,
} from "./plan_roles.ts";
