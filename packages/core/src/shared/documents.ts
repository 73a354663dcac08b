/**
 * Parses YAML documents and validates them against a schema. All faults of a
 * document are reported together, as findings with line and column.
 */
import { type Either, Left, Right } from "purify-ts";
import { Composer, type CST, type Document, LineCounter, Parser } from "yaml";
import type { z } from "zod";
import type { Finding } from "../types/index.ts";
import { findPlace } from "./document_places.ts";
import { listSchemaKeys } from "./schema_keys.ts";
import { formatHint } from "./similar_names.ts";

/** Maximum length of a document, in characters. */
export const maxDocumentLength = 16 * 1024 * 1024;

/** Maximum nesting depth of maps and lists. */
export const maxDocumentDepth = 32;

const maxAliasCount = 64;
const maxFindings = 100;

/** A fault in the content of a document, found by the schema or by a further check. */
export interface DocumentFault {
  /** Keys and indexes from the root to the faulty value. */
  readonly path: readonly PropertyKey[];
  /** Describes the fault; without a full stop. */
  readonly message: string;
  readonly hint?: string;
}

/** Options of `parseDocument`. */
export interface ParseDocumentOptions<T> {
  /** Name of the document in findings, for instance its file name. */
  readonly source: string;
  /** Further checks, called only on a value that the schema accepts. */
  readonly check?: (value: T) => readonly DocumentFault[];
}

/** Parses YAML or JSON and validates it against a schema; Left holds at most 100 findings. */
export function parseDocument<S extends z.ZodType>(
  text: string,
  schema: S,
  options: ParseDocumentOptions<z.output<S>>,
): Either<readonly Finding[], z.output<S>> {
  const { source } = options;
  if (text.length > maxDocumentLength) {
    const message = `document has more than ${maxDocumentLength} characters`;
    return Left([{ place: { source }, message }]);
  }
  return parseTree(text, source).chain((tree) =>
    validateTree(tree, schema, options)
  );
}

function validateTree<S extends z.ZodType>(
  tree: DocumentTree,
  schema: S,
  options: ParseDocumentOptions<z.output<S>>,
): Either<readonly Finding[], z.output<S>> {
  const { source } = options;
  const value = convertDocument(tree.document);
  if (value instanceof Error) {
    return Left([{ place: { source }, message: value.message }]);
  }
  const result = schema.safeParse(value.json);
  if (!result.success) {
    const faults = result.error.issues.flatMap((issue) =>
      convertIssue(issue, { schema, value: value.json })
    );
    return Left(createFindings(faults, tree, { source }));
  }
  const faults = options.check?.(result.data) ?? [];
  if (faults.length === 0) return Right(result.data);
  return Left(createFindings(faults, tree, { source }));
}

/** Converts faults to findings, in the order of the text. */
function createFindings(
  faults: readonly DocumentFault[],
  tree: DocumentTree,
  options: { readonly source: string },
): readonly Finding[] {
  const findings = faults.map(({ path, ...rest }) => {
    const place = findPlace(tree.document, tree.lines, { path });
    return { place: { ...options, ...place }, ...rest };
  });
  return findings.sort(comparePlaces).slice(0, maxFindings);
}

function comparePlaces(left: Finding, right: Finding): number {
  const lines = (left.place.line ?? 0) - (right.place.line ?? 0);
  return lines || (left.place.column ?? 0) - (right.place.column ?? 0);
}

/** A composed document and the line offsets of its text. */
interface DocumentTree {
  readonly document: Document;
  readonly lines: LineCounter;
}

function parseTree(
  text: string,
  source: string,
): Either<readonly Finding[], DocumentTree> {
  const lines = new LineCounter();
  const tokens = [...new Parser(lines.addNewLine).parse(text)];
  if (hasDeepNesting(tokens)) {
    const message = `document is nested more than ${maxDocumentDepth} deep`;
    return Left([{ place: { source }, message }]);
  }
  const composer = new Composer({ prettyErrors: false, logLevel: "silent" });
  const documents = [...composer.compose(tokens, true, text.length)];
  const [document] = documents;
  if (!document || documents.length > 1) {
    const message = `expected one document, found ${documents.length}`;
    return Left([{ place: { source }, message }]);
  }
  const faults = [...document.errors, ...document.warnings];
  if (faults.length === 0) return Right({ document, lines });
  return Left(
    faults.slice(0, maxFindings).map((fault) => {
      const { line, col } = lines.linePos(fault.pos[0]);
      return {
        place: { source, line, column: col },
        message: formatSyntaxFault(fault.message),
      };
    }),
  );
}

/** Removes quoted document text, which may contain secrets. */
function formatSyntaxFault(message: string): string {
  const text = message.split("\n")[0] ?? "";
  return convertMessage(text.replace(/: ".*$/, ""));
}

/** Whether the nesting exceeds the maximum; iterative, so deep nesting cannot overflow the stack. */
function hasDeepNesting(tokens: readonly CST.Token[]): boolean {
  const pending = tokens.map((token) => ({ token, depth: 0 }));
  for (let next = pending.pop(); next; next = pending.pop()) {
    const { token, depth } = next;
    if (depth > maxDocumentDepth) return true;
    if (token.type === "document" && token.value) {
      pending.push({ token: token.value, depth });
    }
    if (!("items" in token)) continue;
    for (const item of token.items) {
      if (item.key) pending.push({ token: item.key, depth: depth + 1 });
      if (item.value) pending.push({ token: item.value, depth: depth + 1 });
    }
  }
  return false;
}

function convertDocument(
  document: Document,
): { readonly json: unknown } | Error {
  try {
    return { json: document.toJS({ maxAliasCount }) };
  } catch (error) {
    return new Error("aliases expand to too many values", { cause: error });
  }
}

function convertIssue(
  issue: z.core.$ZodIssue,
  { schema, value }: { readonly schema: z.ZodType; readonly value: unknown },
): readonly DocumentFault[] {
  if (issue.code === "unrecognized_keys") {
    const known = listSchemaKeys(schema, issue.path);
    return issue.keys.map((key) => ({
      path: [...issue.path, key],
      message: "key is not known",
      ...getHint(key, known),
    }));
  }
  if (issue.code === "invalid_type" && !hasValue(value, issue.path)) {
    return [{ path: issue.path, message: "is required" }];
  }
  if (issue.code === "invalid_value") {
    const known = issue.values.map(String);
    const given = getValue(value, issue.path);
    return [{
      path: issue.path,
      message: `expected one of ${known.join(", ")}`,
      ...(typeof given === "string" ? getHint(given, known) : {}),
    }];
  }
  return [{ path: issue.path, message: convertMessage(issue.message) }];
}

function getHint(
  name: string,
  known: readonly string[],
): { readonly hint?: string } {
  const hint = formatHint(name, known);
  return hint === undefined ? {} : { hint };
}

function convertMessage(message: string): string {
  const text = message.replace(/^Invalid input: /, "").replace(/\.$/, "");
  return text.charAt(0).toLowerCase() + text.slice(1);
}

function hasValue(value: unknown, path: readonly PropertyKey[]): boolean {
  return getValue(value, path) !== undefined;
}

function getValue(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (inner, key) =>
      typeof inner === "object" && inner !== null && Object.hasOwn(inner, key)
        ? (inner as Record<PropertyKey, unknown>)[key]
        : undefined,
    value,
  );
}
