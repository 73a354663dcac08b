/** Export and import of KV cache between engines. */
import { Effect, waitFor } from "@trefoildoor/core";
import { request } from "undici";
import { z } from "zod";
import { StandinError } from "../shared/index.ts";

/** KV cache that one engine holds for another. */
export interface ExportedKv {
  readonly promptDigest: string;
  readonly blocks: number;
}

/** Exports of one engine. */
export interface KvExports {
  /** Keeps a prompt's cache and returns the path part of its handle. */
  readonly add: (kv: ExportedKv) => string;
  /** Hands the cache over, once. */
  readonly remove: (id: string) => ExportedKv | undefined;
  readonly clear: () => void;
}

const exportedSchema = z.object({
  promptDigest: z.string(),
  blocks: z.int().min(0),
});

const kvHoldMs = 30_000;
const importTimeoutMs = 2_000;

/** Creates an empty store; `onHold` learns of blocks that become held or free. */
export function createKvExports(
  onHold: (blocks: number) => void,
): KvExports {
  const exports = new Map<string, ExportedKv>();
  let count = 0;
  const remove = (id: string): ExportedKv | undefined => {
    const kv = exports.get(id);
    if (!kv) return undefined;
    exports.delete(id);
    onHold(-kv.blocks);
    return kv;
  };
  return {
    add: (kv) => {
      const id = `kv-${++count}`;
      exports.set(id, kv);
      onHold(kv.blocks);
      setTimeout(() => remove(id), kvHoldMs).unref();
      return id;
    },
    remove,
    clear: () => {
      for (const id of [...exports.keys()]) remove(id);
    },
  };
}

/** Fetches KV cache from the engine that a handle names, `IP:port/id`. */
export async function fetchKv(
  handle: string,
  expected: { readonly promptDigest: string; readonly msPerBlock: number },
): Promise<void> {
  const [address, id] = handle.split("/");
  try {
    const answer = await request(`http://${address}/v1/kv/${id}`, {
      method: "DELETE",
      signal: AbortSignal.timeout(importTimeoutMs),
    });
    const kv = exportedSchema.parse(await answer.body.json());
    if (kv.promptDigest !== expected.promptDigest) {
      throw new Error("handle belongs to another prompt");
    }
    await waitFor(kv.blocks * expected.msPerBlock);
  } catch (error) {
    throw new StandinError(409, "kv_gone", {
      message: `KV cache cannot be imported: ${String(error)}`,
      effect: Effect.None,
    });
  }
}
