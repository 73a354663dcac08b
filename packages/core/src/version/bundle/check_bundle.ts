/**
 * Checks a bundle document against its schema, then its sections against each
 * other.
 */
import type { Either } from "purify-ts";
import {
  type DocumentFault,
  formatHint,
  isAddress,
  parseDocument,
} from "../../shared/index.ts";
import {
  type Bundle,
  type BundlePool,
  bundleSchema,
  EngineRole,
  type Finding,
} from "../../types/index.ts";

/** Digest that matches no API key; a caller that has it cannot authenticate. */
export const disabledKeyDigest = "0".repeat(64);

/**
 * Parses and checks a bundle in YAML or JSON; each finding gives its place in
 * `source`.
 */
export function checkBundle(
  text: string,
  source: string,
): Either<readonly Finding[], Bundle> {
  return parseDocument(text, bundleSchema, { source, check: listBundleFaults });
}

/**
 * Lists the contradictions between sections of a bundle, which its schema
 * cannot detect.
 */
export function listBundleFaults(bundle: Bundle): readonly DocumentFault[] {
  return [
    ...checkParent(bundle),
    ...checkNames(bundle),
    ...checkEndpoints(bundle),
    ...checkDelays(bundle),
    ...bundle.pools.flatMap((pool, index) => checkRoleFloors(pool, index)),
    ...checkCallers(bundle),
    ...checkObjectives(bundle),
  ];
}

/** A name with the path at which a bundle gives it. */
interface NameAtPath {
  readonly name: string;
  readonly path: readonly PropertyKey[];
}

function checkParent(bundle: Bundle): readonly DocumentFault[] {
  if (bundle.version === bundle.parent + 1) return [];
  const message = `must be the version minus one, ${bundle.version - 1}`;
  return [{ path: ["parent"], message }];
}

function checkNames(bundle: Bundle): readonly DocumentFault[] {
  const callers = bundle.callers.map((caller, index) => ({
    name: caller.key_sha256,
    path: ["callers", index, "key_sha256"],
  })).filter(({ name }) => name !== disabledKeyDigest);
  return [
    ...checkUnique(listNames(bundle.failure_domains, ["failure_domains"])),
    ...checkUnique(listNames(bundle.pools, ["pools"])),
    ...checkUnique(listNames(bundle.services, ["services"])),
    ...checkUnique(listNames(bundle.callers, ["callers"])),
    ...checkUnique(callers, "key of another caller"),
    ...checkUnique(listEndpointNames(bundle)),
    ...bundle.pools.flatMap((pool, index) => checkModelNames(pool, index)),
  ];
}

function checkModelNames(
  pool: BundlePool,
  index: number,
): readonly DocumentFault[] {
  const path = ["pools", index, "models"];
  const models = pool.models.map(({ model }, modelIndex) => ({
    name: model,
    path: [...path, modelIndex, "model"],
  }));
  const adapters = pool.models.map(({ adapters }, modelIndex) =>
    adapters.map((name, adapterIndex) => ({
      name,
      path: [...path, modelIndex, "adapters", adapterIndex],
    }))
  );
  return [
    ...checkUnique(models),
    ...adapters.flatMap((names) => checkUnique(names)),
  ];
}

function listNames(
  items: readonly { readonly name: string }[],
  path: readonly PropertyKey[],
): readonly NameAtPath[] {
  return items.map(({ name }, index) => ({
    name,
    path: [...path, index, "name"],
  }));
}

function listEndpointNames(bundle: Bundle): readonly NameAtPath[] {
  return [
    ...bundle.pools.flatMap((pool, index) =>
      listNames(pool.engines, ["pools", index, "engines"])
    ),
    ...bundle.services.flatMap((service, index) =>
      listNames(service.endpoints, ["services", index, "endpoints"])
    ),
  ];
}

function checkUnique(
  names: readonly NameAtPath[],
  label = "name",
): readonly DocumentFault[] {
  const seen = new Map<string, readonly PropertyKey[]>();
  const faults: DocumentFault[] = [];
  for (const { name, path } of names) {
    const first = seen.get(name);
    if (!first) {
      seen.set(name, path);
      continue;
    }
    const message = `${label} is already used at ${first.join(".")}`;
    faults.push({ path, message });
  }
  return faults;
}

function checkEndpoints(bundle: Bundle): readonly DocumentFault[] {
  const domains = bundle.failure_domains.map(({ name }) => name);
  const engines = bundle.pools.flatMap((pool, index) =>
    pool.engines.map((engine, engineIndex) => ({
      endpoint: engine,
      path: ["pools", index, "engines", engineIndex],
    }))
  );
  const services = bundle.services.flatMap((service, index) =>
    service.endpoints.map((endpoint, endpointIndex) => ({
      endpoint,
      path: ["services", index, "endpoints", endpointIndex],
    }))
  );
  const endpoints = [...engines, ...services];
  const addresses = endpoints.map(({ endpoint, path }) => ({
    name: endpoint.address,
    path: [...path, "address"],
  }));
  return [
    ...endpoints.flatMap(({ endpoint, path }) =>
      checkReference(
        { name: endpoint.failure_domain, path: [...path, "failure_domain"] },
        { label: "failure domain", known: domains },
      )
    ),
    ...addresses.filter(({ name }) => !isAddress(name)).map(({ path }) => ({
      path,
      message: "is not an IP number and port, such as 10.0.0.1:7000",
    })),
    ...checkUnique(addresses, "address"),
  ];
}

function checkDelays(bundle: Bundle): readonly DocumentFault[] {
  const domains = bundle.failure_domains.map(({ name }) => name);
  return bundle.failure_domains.flatMap((domain, index) =>
    Object.keys(domain.delay_ms).flatMap((name) => {
      const path = ["failure_domains", index, "delay_ms", name];
      return checkReference({ name, path }, {
        label: "failure domain",
        known: domains,
      });
    })
  );
}

function checkReference(
  { name, path }: NameAtPath,
  { label, known }: {
    readonly label: string;
    readonly known: readonly string[];
  },
): readonly DocumentFault[] {
  if (known.includes(name)) return [];
  const hint = formatHint(name, known);
  const message = `${label} "${name}" is not in the bundle`;
  return [hint === undefined ? { path, message } : { path, message, hint }];
}

function checkRoleFloors(
  pool: BundlePool,
  index: number,
): readonly DocumentFault[] {
  const { engines } = pool;
  const prefill = engines.filter(({ role }) => role !== EngineRole.Decode);
  const decode = engines.filter(({ role }) => role !== EngineRole.Prefill);
  const checks = [
    { key: "prefill_floor", floor: pool.prefill_floor, count: prefill.length },
    { key: "decode_floor", floor: pool.decode_floor, count: decode.length },
  ];
  return checks.flatMap(({ key, floor, count }) => {
    const path = ["pools", index, key];
    if (floor > engines.length) {
      const message = `is above the pool's ${engines.length} engines`;
      return [{ path, message }];
    }
    const message = `is above the ${count} engines that start in such a role`;
    return floor > count ? [{ path, message }] : [];
  });
}

function checkCallers(bundle: Bundle): readonly DocumentFault[] {
  const models = listModels(bundle);
  const services = bundle.services.map(({ name }) => name);
  return bundle.callers.flatMap((caller, index) => {
    const path = ["callers", index];
    return [
      ...caller.models.flatMap((name, modelIndex) =>
        checkReference(
          { name, path: [...path, "models", modelIndex] },
          { label: "model", known: models },
        )
      ),
      ...caller.services.flatMap((name, serviceIndex) =>
        checkReference(
          { name, path: [...path, "services", serviceIndex] },
          { label: "service", known: services },
        )
      ),
    ];
  });
}

function listModels(bundle: Bundle): readonly string[] {
  const models = bundle.pools.flatMap((pool) => pool.models);
  return [...new Set(models.map(({ model }) => model))];
}

function checkObjectives(bundle: Bundle): readonly DocumentFault[] {
  const groups = [...new Set(bundle.callers.map(({ group }) => group))];
  const models = listModels(bundle);
  const names = bundle.objectives.map(({ group, model }, index) => ({
    name: `${group}/${model ?? ""}`,
    path: ["objectives", index, "group"],
  }));
  const unknown = bundle.objectives.flatMap(({ group, model }, index) => {
    const path = ["objectives", index];
    return [
      ...checkReference({ name: group, path: [...path, "group"] }, {
        label: "group",
        known: groups,
      }),
      ...(model === undefined ? [] : checkReference(
        { name: model, path: [...path, "model"] },
        { label: "model", known: models },
      )),
    ];
  });
  return [...unknown, ...checkUnique(names, "group and model")];
}
