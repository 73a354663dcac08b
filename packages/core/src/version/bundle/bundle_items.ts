/** A bundle as a flat list of named items, for comparing two of them. */
import type { Bundle } from "../../types/index.ts";

/** Kinds of items in a bundle; the values appear in formatted changes. */
export enum BundlePart {
  FailureDomain = "failure domain",
  Pool = "pool",
  Engine = "engine",
  Model = "model",
  Service = "service",
  ServiceEndpoint = "service endpoint",
  Caller = "caller",
  Objective = "objective",
}

/** One named item with its own fields, without those of nested items. */
export interface BundleItem {
  readonly part: BundlePart;
  /**
   * Name, with the enclosing item's name before it, for instance
   * `drafting/engine-1`.
   */
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Lists the items of a bundle; nested items follow the item that contains them. */
export function listBundleItems(bundle: Bundle): readonly BundleItem[] {
  return [
    ...bundle.failure_domains.map((domain) =>
      createItem(BundlePart.FailureDomain, domain)
    ),
    ...bundle.pools.flatMap(({ engines, models, ...pool }) => [
      createItem(BundlePart.Pool, pool),
      ...engines.map((engine) =>
        createItem(BundlePart.Engine, engine, { parent: pool.name })
      ),
      ...models.map(({ model, ...rest }) =>
        createItem(BundlePart.Model, { name: model, ...rest }, {
          parent: pool.name,
        })
      ),
    ]),
    ...bundle.services.flatMap(({ endpoints, ...service }) => [
      createItem(BundlePart.Service, service),
      ...endpoints.map((endpoint) =>
        createItem(BundlePart.ServiceEndpoint, endpoint, {
          parent: service.name,
        })
      ),
    ]),
    ...bundle.callers.map((caller) => createItem(BundlePart.Caller, caller)),
    ...bundle.objectives.map(({ group, model, ...rest }) => {
      const name = model === undefined ? group : `${group}/${model}`;
      return createItem(BundlePart.Objective, { name, ...rest });
    }),
  ];
}

function createItem(
  part: BundlePart,
  item: { readonly name: string },
  options: { readonly parent?: string } = {},
): BundleItem {
  const { name, ...fields } = item;
  const { parent } = options;
  return {
    part,
    name: parent === undefined ? name : `${parent}/${name}`,
    fields,
  };
}
