/** Reference pages written from JSON Schemas, kept in the repository. */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";

/** The parts of a JSON Schema that reference pages show. */
export interface PageSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly unknown[];
  readonly properties?: Readonly<Record<string, PageSchema>>;
  readonly required?: readonly string[];
  readonly items?: PageSchema;
  readonly additionalProperties?: PageSchema | boolean;
  readonly anyOf?: readonly PageSchema[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly exclusiveMinimum?: number;
  readonly exclusiveMaximum?: number;
  readonly minLength?: number;
  readonly maxLength?: number;
  readonly minItems?: number;
  readonly maxItems?: number;
  readonly pattern?: string;
  readonly format?: string;
}

/** One key of a document. */
interface KeyRow {
  readonly key: string;
  readonly type: string;
  readonly value: string;
  readonly description: string;
}

/** Renders the table of all keys, nested ones by their path. */
export function renderSchemaTable(schema: PageSchema): string {
  const rows = listKeys(schema, "");
  const lines = rows.map(({ key, type, value, description }) =>
    `| \`${key}\` | ${type} | ${value} | ${description} |`
  );
  return [
    "| key | type | default | meaning |",
    "| --- | ---- | ------- | ------- |",
    ...lines,
  ].join("\n");
}

/**
 * Compares a page with its generated table, spaces aside, and throws when they
 * differ. Where `UPDATE_SNAPSHOTS` is set, writes the page instead.
 */
export function expectSchemaPage(
  path: string,
  page: { readonly head: string; readonly schema: PageSchema },
): void {
  const text = `${page.head}\n\n${renderSchemaTable(page.schema)}\n`;
  const known = existsSync(path) ? readFileSync(path, "utf8") : "";
  if (removePadding(known) === removePadding(text)) return;
  if (process.env.UPDATE_SNAPSHOTS) return writeFileSync(path, text);
  throw new Error(
    `${path} differs from its schema; write it with UPDATE_SNAPSHOTS=1 npm test`,
  );
}

/** The formatter pads tables and breaks lines. */
function removePadding(text: string): string {
  return text.replace(/\|\s*-+\s*/g, "|-").replace(/\s+/g, " ").trim();
}

function listKeys(schema: PageSchema, prefix: string): readonly KeyRow[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, inner]) => {
    const key = prefix + name;
    const isRequired = schema.required?.includes(name) ?? false;
    const row = {
      key,
      type: formatType(inner),
      value: formatDefault(inner, { isRequired }),
      description: (inner.description ?? "").replaceAll("|", "\\|"),
    };
    return [row, ...listInner(inner, key)];
  });
}

function listInner(schema: PageSchema, key: string): readonly KeyRow[] {
  if (schema.items) {
    const inner = listKeys(schema.items, `${key}[].`);
    return inner.length > 0 ? inner : listInner(schema.items, `${key}[]`);
  }
  const choices = schema.anyOf ?? [];
  return [
    ...listKeys(schema, `${key}.`),
    ...choices.flatMap((choice) => listKeys(choice, `${key}.`)),
  ];
}

function formatType(schema: PageSchema): string {
  if (schema.anyOf) return schema.anyOf.map(formatType).join(" or ");
  if (schema.enum) return `one of ${schema.enum.map(formatCode).join(", ")}`;
  if (schema.type === "array") {
    const bounds = formatBounds(schema.minItems, schema.maxItems);
    return `list of ${formatType(schema.items ?? {})}${bounds}`;
  }
  if (schema.type === "object") {
    const { additionalProperties } = schema;
    if (typeof additionalProperties !== "object") return "map";
    return `map of name to ${formatType(additionalProperties)}`;
  }
  if (schema.type === "string") {
    const bounds = formatBounds(schema.minLength, schema.maxLength);
    return bounds ? `text${bounds} characters` : "text";
  }
  const type = schema.type ?? "any value";
  if (schema.exclusiveMinimum === undefined) {
    return type + formatBounds(schema.minimum, schema.maximum);
  }
  const below = schema.exclusiveMaximum;
  const above = `${type}, above ${schema.exclusiveMinimum}`;
  return below === undefined ? above : `${above}, below ${below}`;
}

function formatBounds(least?: number, most?: number): string {
  const low = least === undefined || Math.abs(least) >= Number.MAX_SAFE_INTEGER
    ? undefined
    : least;
  const high = most === undefined || most >= Number.MAX_SAFE_INTEGER
    ? undefined
    : most;
  if (low === undefined && high === undefined) return "";
  if (high === undefined) return `, at least ${low}`;
  return low === undefined ? `, up to ${high}` : `, ${low} to ${high}`;
}

function formatDefault(
  schema: PageSchema,
  { isRequired }: { readonly isRequired: boolean },
): string {
  if (schema.default !== undefined) return formatCode(schema.default);
  return isRequired ? "required" : "none";
}

function formatCode(value: unknown): string {
  const text = typeof value === "string" ? value : JSON.stringify(value);
  return text === "" ? "empty" : `\`${text}\``;
}
