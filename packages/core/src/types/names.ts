/** Names that identify the parts of a fleet. All are plain strings in records and settings. */

/** Name of one process of the system, unique for each start. */
export type InstanceName = string;

/** Name of a back end: a model engine or a plain service process. */
export type EndpointName = string;

/** Name of a failure domain. */
export type FailureDomain = string;

/** Name of a group of endpoints that one lease holder plans for. */
export type PoolName = string;

/** Name of a customer of the system: a branch, agent, batch or shop. */
export type CallerName = string;

/** Name of a model. */
export type ModelName = string;

/** Name of a plain service, for instance a booking desk. */
export type ServiceName = string;

/** Version of a bundle; versions increase by one along the accepted chain. */
export type BundleVersion = number;

/**
 * Place of a record in a log stream: `offset * maxGroupRecords + index`.
 * Positions are unique and increase along the stream, so they serve as lease
 * epochs and as fencing numbers.
 */
export type LogPosition = number;

/** Most records that one appended group may hold. */
export const maxGroupRecords = 4096;
