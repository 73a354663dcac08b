/** Finds the keys that a zod schema allows at a path, for hints on misspelt keys. */
import { z } from "zod";

/** Lists the allowed keys of the object at a path; empty if no object schema is there. */
export function listSchemaKeys(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): readonly string[] {
  return findSchemas(schema, path).flatMap((inner) =>
    inner instanceof z.ZodObject ? Object.keys(inner.shape) : []
  );
}

function findSchemas(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): readonly z.ZodType[] {
  const [key, ...rest] = path;
  const inner = listInnerSchemas(schema);
  if (key === undefined) return inner;
  return inner.flatMap((candidate) => {
    const next = getNextSchema(candidate, key);
    return next ? findSchemas(next, rest) : [];
  });
}

/** Unwraps optional, default and similar schemas and flattens unions. */
function listInnerSchemas(schema: z.ZodType): readonly z.ZodType[] {
  if (schema instanceof z.ZodUnion) {
    return schema.options.flatMap((option) =>
      listInnerSchemas(option as z.ZodType)
    );
  }
  if (schema instanceof z.ZodPipe) {
    return listInnerSchemas(schema.in as z.ZodType);
  }
  const isWrapper = schema instanceof z.ZodDefault ||
    schema instanceof z.ZodPrefault || schema instanceof z.ZodOptional ||
    schema instanceof z.ZodNullable || schema instanceof z.ZodReadonly;
  return isWrapper ? listInnerSchemas(schema.unwrap() as z.ZodType) : [schema];
}

function getNextSchema(
  schema: z.ZodType,
  key: PropertyKey,
): z.ZodType | undefined {
  if (schema instanceof z.ZodObject) {
    return schema.shape[String(key)] as z.ZodType | undefined;
  }
  if (schema instanceof z.ZodArray) return schema.element as z.ZodType;
  if (schema instanceof z.ZodRecord) return schema.valueType as z.ZodType;
  return undefined;
}
