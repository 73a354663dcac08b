/** Checks of a bundle document: its schema, then what its parts say of each other. */
import { isIP } from "node:net";
import type { Either } from "purify-ts";
import {
  type DocumentFault,
  formatHint,
  parseDocument,
} from "../../shared/index.ts";
import {
  type Bundle,
  type BundlePool,
  bundleSchema,
  EngineRole,
  type Finding,
} from "../../types/index.ts";

/** Digest that no API key has; a caller with it cannot call. */
export const disabledKeyDigest = "0".repeat(64);

const maxPort = 65_535;

/** Parses a bundle in YAML or JSON; findings name their place in `source`. */
export function checkBundle(
  text: string,
  source: string,
): Either<readonly Finding[], Bundle> {
  return parseDocument(text, bundleSchema, { source, check: listBundleFaults });
}

/** Lists where the parts of a bundle contradict each other. */
export function listBundleFaults(bundle: Bundle): readonly DocumentFault[] {
  return [
    ...checkParent(bundle),
    ...checkNames(bundle),
    ...checkEndpoints(bundle),
    ...checkDelays(bundle),
    ...bundle.pools.flatMap((pool, index) => checkFloors(pool, index)),
    ...checkCallers(bundle),
    ...checkObjectives(bundle),
  ];
}

/** A name with the path at which a bundle gives it. */
interface PlacedName {
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
    ...checkUnique(listEndpoints(bundle)),
    ...bundle.pools.flatMap((pool, index) => checkModels(pool, index)),
  ];
}

function checkModels(
  pool: BundlePool,
  index: number,
): readonly DocumentFault[] {
  const path = ["pools", index, "models"];
  const models = pool.models.map(({ model }, inner) => ({
    name: model,
    path: [...path, inner, "model"],
  }));
  const adapters = pool.models.map(({ adapters }, inner) =>
    adapters.map((name, place) => ({
      name,
      path: [...path, inner, "adapters", place],
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
): readonly PlacedName[] {
  return items.map(({ name }, index) => ({
    name,
    path: [...path, index, "name"],
  }));
}

function listEndpoints(bundle: Bundle): readonly PlacedName[] {
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
  names: readonly PlacedName[],
  what = "name",
): readonly DocumentFault[] {
  const seen = new Map<string, readonly PropertyKey[]>();
  const faults: DocumentFault[] = [];
  for (const { name, path } of names) {
    const first = seen.get(name);
    if (!first) {
      seen.set(name, path);
      continue;
    }
    const message = `${what} is already used at ${first.join(".")}`;
    faults.push({ path, message });
  }
  return faults;
}

function checkEndpoints(bundle: Bundle): readonly DocumentFault[] {
  const domains = bundle.failure_domains.map(({ name }) => name);
  const engines = bundle.pools.flatMap((pool, index) =>
    pool.engines.map((engine, inner) => ({
      endpoint: engine,
      path: ["pools", index, "engines", inner],
    }))
  );
  const services = bundle.services.flatMap((service, index) =>
    service.endpoints.map((endpoint, inner) => ({
      endpoint,
      path: ["services", index, "endpoints", inner],
    }))
  );
  const endpoints = [...engines, ...services];
  const addresses = endpoints.map(({ endpoint, path }) => ({
    name: endpoint.address,
    path: [...path, "address"],
  }));
  return [
    ...endpoints.flatMap(({ endpoint, path }) =>
      checkKnown(
        { name: endpoint.failure_domain, path: [...path, "failure_domain"] },
        { what: "failure domain", known: domains },
      )
    ),
    ...addresses.filter(({ name }) => !isAddress(name)).map(({ path }) => ({
      path,
      message: "is not an IP number and port, such as 10.0.0.1:7000",
    })),
    ...checkUnique(addresses, "address"),
  ];
}

function isAddress(address: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):([0-9]{1,5})$/.exec(address);
  const port = Number(match?.[3]);
  const isPort = port >= 1 && port <= maxPort;
  return isPort && isIP(match?.[1] ?? match?.[2] ?? "") !== 0;
}

function checkDelays(bundle: Bundle): readonly DocumentFault[] {
  const domains = bundle.failure_domains.map(({ name }) => name);
  return bundle.failure_domains.flatMap((domain, index) =>
    Object.keys(domain.delay_ms).flatMap((name) => {
      const path = ["failure_domains", index, "delay_ms", name];
      return checkKnown({ name, path }, {
        what: "failure domain",
        known: domains,
      });
    })
  );
}

function checkKnown(
  { name, path }: PlacedName,
  { what, known }: { readonly what: string; readonly known: readonly string[] },
): readonly DocumentFault[] {
  if (known.includes(name)) return [];
  const hint = formatHint(name, known);
  const message = `${what} "${name}" is not in the bundle`;
  return [hint === undefined ? { path, message } : { path, message, hint }];
}

function checkFloors(
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
      ...caller.models.flatMap((name, inner) =>
        checkKnown(
          { name, path: [...path, "models", inner] },
          { what: "model", known: models },
        )
      ),
      ...caller.services.flatMap((name, inner) =>
        checkKnown(
          { name, path: [...path, "services", inner] },
          { what: "service", known: services },
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
      ...checkKnown({ name: group, path: [...path, "group"] }, {
        what: "group",
        known: groups,
      }),
      ...(model === undefined ? [] : checkKnown(
        { name: model, path: [...path, "model"] },
        { what: "model", known: models },
      )),
    ];
  });
  return [...unknown, ...checkUnique(names, "group and model")];
}
