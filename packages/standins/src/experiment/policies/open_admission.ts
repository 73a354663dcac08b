/** Admission that sends every request at once, to compare with. */
import { type Admission, type EndpointTable } from "@trefoildoor/core";
import { createAdmission } from "@trefoildoor/core";

/** Creates an admission without limits or refusals. */
export function createOpenAdmission(
  _table: EndpointTable,
  _instances: number,
): Admission {
  const admission = createAdmission({
    getCapacity: () => ({
      kvBlocks: Infinity,
      promptTokens: Infinity,
      requests: Infinity,
    }),
  });
  return {
    ...admission,
    // The fair queue never holds anything, so only hopeless requests differ.
    enter: (request) =>
      admission.enter({ ...request, deadlineMs: Number.MAX_SAFE_INTEGER }),
  };
}
