/** Record of a case: what was sent, answered and run, with times since the start. */
import { writeFileSync } from "node:fs";

/** Creates a record that is written to `path` by `save`. */
export function createRecord(path) {
  const startMs = performance.now();
  const lines = [];
  return {
    add(text) {
      const atS = ((performance.now() - startMs) / 1_000).toFixed(3);
      lines.push(`${atS.padStart(8)} s  ${text}`);
    },
    save() {
      writeFileSync(path, `${lines.join("\n")}\n`);
    },
  };
}
