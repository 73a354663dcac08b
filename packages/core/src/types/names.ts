/** Identifiers used in records and settings: names are plain strings, versions and positions are numbers. */

/** Name of one instance; each start of the process gets a new one. */
export type InstanceName = string;

/** Name of an endpoint: a model engine or a process of a plain service. */
export type EndpointName = string;

/** Name of a failure domain. */
export type FailureDomain = string;

/** Name of a pool: a group of engines that one lease holder plans for. */
export type PoolName = string;

/** Name of a customer of the system: a branch, agent, batch or shop. */
export type CallerName = string;

/** Name of a workspace: the customer that an API key belongs to, whoever holds the connection. */
export type WorkspaceName = string;

/** Name of a model. */
export type ModelName = string;

/** Name of a plain service, for instance a booking desk. */
export type ServiceName = string;

/** Version of a bundle; each accepted bundle's version is its parent's plus one. */
export type BundleVersion = number;

/**
 * Position of a record in a log stream: `offset * maxGroupRecords + index`.
 * Positions are unique and increase along the stream, so they serve as lease
 * epochs and as fencing numbers.
 */
export type LogPosition = number;

/** Maximum number of records in one appended group. */
export const maxGroupRecords = 4096;
