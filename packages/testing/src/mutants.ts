/** Random faults in valid values, for tests of hostile and broken input. */
import process from "node:process";
import fc from "fast-check";

const defaultSeed = 20_260_101;
const defaultRuns = 300;
const maxEdits = 4;

/** Seed and number of runs of a random test. */
export interface FuzzOptions {
  readonly seed: number;
  readonly numRuns: number;
}

/** Fixed seed and runs, or those of `FUZZ_SEED` and `FUZZ_RUNS`. */
export function getFuzzOptions(runs = defaultRuns): FuzzOptions {
  return {
    seed: Number(process.env.FUZZ_SEED ?? defaultSeed),
    numRuns: Number(process.env.FUZZ_RUNS ?? runs),
  };
}

/** Path of keys and indexes into a JSON value. */
type JsonPath = readonly (string | number)[];

/** One fault: what stands at a path afterwards; nothing where undefined. */
interface Edit {
  readonly at: number;
  readonly value: unknown;
}

/** Copies of a valid JSON value with up to four faults. */
export function createMutants(valid: unknown): fc.Arbitrary<unknown> {
  const paths = listPaths(valid, []);
  const edit: fc.Arbitrary<Edit> = fc.record({
    at: fc.nat({ max: paths.length - 1 }),
    value: createHostileValue(),
  });
  return fc.array(edit, { minLength: 1, maxLength: maxEdits }).map((edits) =>
    edits.reduce(
      (copy, { at, value }) => applyEdit(copy, paths[at] ?? [], { value }),
      structuredClone(valid),
    )
  );
}

/** Values that parsers tend to get wrong. */
function createHostileValue(): fc.Arbitrary<unknown> {
  return fc.oneof(
    fc.constantFrom<unknown>(
      undefined,
      null,
      "",
      -1,
      0,
      1e308,
      Number.MAX_SAFE_INTEGER,
      "__proto__",
      "constructor",
      [],
      {},
      "a".repeat(10_000),
      JSON.parse('{"__proto__": {"polluted": true}}'),
    ),
    fc.jsonValue({ maxDepth: 3 }),
  );
}

function listPaths(value: unknown, path: JsonPath): readonly JsonPath[] {
  if (typeof value !== "object" || value === null) return [path];
  const inner = Object.entries(value).flatMap(([key, item]) =>
    listPaths(item, [...path, Array.isArray(value) ? Number(key) : key])
  );
  return [path, ...inner];
}

function applyEdit(
  value: unknown,
  path: JsonPath,
  { value: replacement }: { readonly value: unknown },
): unknown {
  const [key, ...rest] = path;
  if (key === undefined) return replacement;
  // An earlier edit may have removed what the path leads through.
  if (typeof value !== "object" || value === null) return value;
  const copy = (Array.isArray(value) ? [...value] : { ...value }) as Record<
    string | number,
    unknown
  >;
  const inner = applyEdit(copy[key], rest, { value: replacement });
  if (inner === undefined) delete copy[key];
  else copy[key] = inner;
  return copy;
}
