/** Differences between two routing configurations, in words for a sign-off. */
import { formatCount } from "../../shared/index.ts";
import type {
  ForwardRoute,
  RoutedService,
  RoutingConfiguration,
  ScalingLimits,
  Workspace,
} from "../../types/index.ts";
import { ChangeKind, type FieldChange } from "../bundle/index.ts";

/** Part of a configuration that a change is in. */
export enum ConfigurationPart {
  /** Version, limits of callers, and whether calls need keys. */
  General = "configuration",
  Route = "route",
  Service = "service",
  Workspace = "workspace",
}

/** One change from one configuration to another. */
export interface ConfigurationChange {
  readonly kind: ChangeKind;
  readonly part: ConfigurationPart;
  /** Empty where `part` is `General`. */
  readonly name: string;
  /** Names of fields are words; units are part of the name. */
  readonly fields: readonly FieldChange[];
  readonly keysAdded: number;
  readonly keysRemoved: number;
}

/** Undefined where the configuration does not state the field. */
type Field = string | number | boolean | undefined;
type Fields = Readonly<Record<string, Field>>;

/** One item of a configuration; `keys` are compared and never shown. */
interface Item {
  readonly part: ConfigurationPart;
  readonly name: string;
  readonly fields: Fields;
  readonly keys: readonly string[];
}

/** Lists the differences between two configurations: what is removed first, then the others in their order. */
export function describeChanges(
  before: RoutingConfiguration,
  after: RoutingConfiguration,
): readonly ConfigurationChange[] {
  const itemsBefore = indexItems(before);
  const itemsAfter = indexItems(after);
  const removed = [...itemsBefore].filter(([key]) => !itemsAfter.has(key))
    .map(([, item]) => ({
      ...compareItems(item, createEmpty(item)),
      kind: ChangeKind.Removed,
    }));
  const others = [...itemsAfter].flatMap(([key, item]) => {
    const former = itemsBefore.get(key);
    if (!former) {
      const change = compareItems(createEmpty(item), item);
      return [{ ...change, kind: ChangeKind.Added }];
    }
    const change = compareItems(former, item);
    const { fields, keysAdded, keysRemoved } = change;
    return fields.length + keysAdded + keysRemoved > 0 ? [change] : [];
  });
  return [...removed, ...others];
}

/** Formats a change as one line. */
export function formatConfigurationChange(change: ConfigurationChange): string {
  const { kind, part, name, fields } = change;
  const what = part === ConfigurationPart.General
    ? part
    : `${part} ${JSON.stringify(name)}`;
  const keys = formatKeys(change);
  const details = kind === ChangeKind.Removed
    ? keys
    : [...fields.map((field) => formatField(field, kind)), ...keys];
  const head = `${what} ${kind}`;
  return details.length === 0 ? head : `${head}: ${details.join(", ")}`;
}

function formatKeys(
  { keysAdded, keysRemoved }: ConfigurationChange,
): readonly string[] {
  return [
    keysAdded > 0 ? `${formatCount(keysAdded, "key")} added` : "",
    keysRemoved > 0 ? `${formatCount(keysRemoved, "key")} removed` : "",
  ].filter((words) => words !== "");
}

function formatField(
  { field, before, after }: FieldChange,
  kind: ChangeKind,
): string {
  return kind === ChangeKind.Added
    ? `${field} ${formatValue(after)}`
    : `${field} from ${formatValue(before)} to ${formatValue(after)}`;
}

function formatValue(value: unknown): string {
  if (value === undefined) return "none";
  if (typeof value === "boolean") return value ? "yes" : "no";
  return JSON.stringify(value);
}

function createEmpty(item: Item): Item {
  return { ...item, fields: {}, keys: [] };
}

function compareItems(former: Item, item: Item): ConfigurationChange {
  const names = new Set([
    ...Object.keys(former.fields),
    ...Object.keys(item.fields),
  ]);
  const fields = [...names].map((field) => ({
    field,
    before: former.fields[field],
    after: item.fields[field],
  })).filter(({ before, after }) => before !== after);
  return {
    kind: ChangeKind.Changed,
    part: item.part,
    name: item.name,
    fields,
    keysAdded: countMissing(item.keys, former.keys),
    keysRemoved: countMissing(former.keys, item.keys),
  };
}

/** Number of keys that `others` lacks. */
function countMissing(
  keys: readonly string[],
  others: readonly string[],
): number {
  const known = new Set(others);
  return keys.filter((key) => !known.has(key)).length;
}

/** Items by part and name; a repeated name also has a number. */
function indexItems(
  configuration: RoutingConfiguration,
): ReadonlyMap<string, Item> {
  const counts = new Map<string, number>();
  return new Map(
    listItems(configuration).map((item) => {
      const key = `${item.part} ${item.name}`;
      const count = (counts.get(key) ?? 0) + 1;
      counts.set(key, count);
      return [JSON.stringify([key, count]), item];
    }),
  );
}

function listItems(configuration: RoutingConfiguration): readonly Item[] {
  const { routes, services, workspaces = [] } = configuration;
  return [
    {
      part: ConfigurationPart.General,
      name: "",
      fields: listGeneralFields(configuration),
      keys: [],
    },
    ...routes.map((route) => ({
      part: ConfigurationPart.Route,
      name: route.name,
      fields: listRouteFields(route),
      keys: [],
    })),
    ...services.map((service) => ({
      part: ConfigurationPart.Service,
      name: service.name,
      fields: listServiceFields(service),
      keys: [],
    })),
    ...workspaces.map(({ name, rank, keys }: Workspace) => ({
      part: ConfigurationPart.Workspace,
      name,
      fields: { "priority rank": rank },
      keys,
    })),
  ];
}

function listGeneralFields(
  { version, limits, workspaces }: RoutingConfiguration,
): Fields {
  return {
    "version": version,
    "calls need keys": workspaces !== undefined,
    "limit of headers in bytes": limits.maxHeaderBytes,
    "limit of bodies in bytes": limits.maxBodyBytes,
    "timeout of headers in ms": limits.headerTimeoutMs,
    "idle timeout in ms": limits.idleTimeoutMs,
  };
}

function listRouteFields(route: ForwardRoute): Fields {
  const weights: Record<string, number> = {};
  for (const { service, weight } of route.targets) {
    const name = `weight of service ${JSON.stringify(service)}`;
    weights[name] = (weights[name] ?? 0) + weight;
  }
  return {
    "host": route.host,
    "path prefix": route.pathPrefix,
    "kind": route.kind,
    "resumable": route.resumable,
    "timeout in ms": route.timeoutMs,
    "latency objective in ms": route.goalMs,
    "most endpoints for a call": route.maxEndpoints,
    "priority rank": route.rank,
    "anonymous": route.anonymous ?? false,
    ...weights,
  };
}

function listServiceFields({ engines, scaling }: RoutedService): Fields {
  return {
    "engines": engines !== undefined,
    "scaling": scaling !== undefined,
    ...(engines && {
      "time that prompts are retained in ms": engines.exportTtlMs,
      "time of a role change in ms": engines.roleChangeMs,
      "KV cache in tokens": engines.memoryTokens,
    }),
    ...(scaling && listScalingFields(scaling)),
  };
}

function listScalingFields(scaling: ScalingLimits): Fields {
  const prices = Object.entries(scaling.domainPrices).map(([domain, price]) => [
    `price in failure domain ${JSON.stringify(domain)}`,
    price,
  ]);
  return {
    "fewest endpoints in a failure domain": scaling.minEndpoints,
    "most endpoints in a failure domain": scaling.maxEndpoints,
    "time until a new endpoint serves in ms": scaling.bootMs,
    "price of reclaimable endpoints": scaling.reclaimablePrice,
    ...Object.fromEntries(prices),
  };
}
