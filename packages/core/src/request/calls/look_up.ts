/** Look-up of calls by key at services that support it. */
import { type CallEntry, formatCallId } from "../../process/calls/index.ts";
import type {
  BundleService,
  ServiceAnswer,
  ServiceName,
} from "../../types/index.ts";
import type { CallContext, ServiceCall } from "./call_types.ts";

const lookUpTimeoutMs = 2_000;

/** Service, caller and key, which identify a call. */
interface KeyedServiceCall {
  readonly service: BundleService;
  readonly caller: string;
  readonly key: string;
}

/**
 * Asks the service's endpoints for a call's answer. Undefined does not mean that
 * the call did not run: it may be running, or its request may still arrive.
 */
export async function fetchAnswerByKey(
  call: ServiceCall,
  context: CallContext,
): Promise<ServiceAnswer | undefined> {
  const { service, caller, request: { key } } = call;
  if (key === undefined) return undefined;
  return await lookUpCall({ service, caller, key }, context);
}

/** Creates the look-up that settles open calls of instances that no longer run. */
export function createCallLookUp(
  context: CallContext,
  findService: (name: ServiceName) => BundleService | undefined,
): (call: CallEntry) => Promise<ServiceAnswer | undefined> {
  return async (call) => {
    const service = findService(call.service);
    if (!service) return undefined;
    const { caller, key } = call;
    return await lookUpCall({ service, caller, key }, context);
  };
}

async function lookUpCall(
  call: KeyedServiceCall,
  context: CallContext,
): Promise<ServiceAnswer | undefined> {
  if (!call.service.look_up_by_key) return undefined;
  // Includes endpoints that are leaving: they accept no calls but may have run this one.
  for (const endpoint of call.service.endpoints) {
    try {
      const answer = await context.openClient(endpoint).lookUp?.(
        formatCallId(call),
        AbortSignal.timeout(lookUpTimeoutMs),
      );
      if (answer) return answer;
    } catch {
      // The next endpoint may know.
    }
  }
  return undefined;
}
