/** Index of one bundle version for the look-ups of requests. */
import type {
  Bundle,
  BundleCaller,
  BundleEngine,
  BundleInForce,
  BundlePool,
  BundleService,
  EndpointName,
  ModelName,
  ServiceName,
} from "@trefoildoor/core";

/** An engine with the pool that it belongs to. */
export interface PooledEngine {
  readonly pool: BundlePool;
  readonly engine: BundleEngine;
}

/** A bundle with maps for the look-ups of requests. */
export interface VersionView {
  readonly bundle: Bundle;
  /** Callers by the SHA-256 of their API key. */
  readonly callersByKey: ReadonlyMap<string, BundleCaller>;
  /** Pools that run a model. */
  readonly poolsByModel: ReadonlyMap<ModelName, readonly BundlePool[]>;
  readonly engines: ReadonlyMap<EndpointName, PooledEngine>;
  readonly services: ReadonlyMap<ServiceName, BundleService>;
}

/** Builds the index of the bundle in force. */
export function buildVersionView(inForce: BundleInForce): VersionView {
  const { bundle } = inForce.signed;
  const poolsByModel = new Map<ModelName, BundlePool[]>();
  const engines = new Map<EndpointName, PooledEngine>();
  for (const pool of bundle.pools) {
    for (const { model } of pool.models) {
      poolsByModel.set(model, [...poolsByModel.get(model) ?? [], pool]);
    }
    for (const engine of pool.engines) {
      engines.set(engine.name, { pool, engine });
    }
  }
  return {
    bundle,
    callersByKey: new Map(
      bundle.callers.map((caller) => [caller.key_sha256, caller]),
    ),
    poolsByModel,
    engines,
    services: new Map(
      bundle.services.map((service) => [service.name, service]),
    ),
  };
}
