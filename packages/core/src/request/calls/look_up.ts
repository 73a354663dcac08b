/** Look-up of calls at services that can tell by key what they ran. */
import { type CallEntry, formatCallId } from "../../process/calls/index.ts";
import type {
  BundleService,
  ServiceAnswer,
  ServiceName,
} from "../../types/index.ts";
import type { CallContext, ServiceCall } from "./call_types.ts";

const lookUpTimeoutMs = 2_000;

/** What identifies a call at its service. */
interface LookedUpCall {
  readonly service: BundleService;
  readonly caller: string;
  readonly key: string;
}

/**
 * Asks the endpoints for a call's answer. Undefined says nothing: the call may
 * be under way, or its bytes may still arrive.
 */
export async function findRunAnswer(
  call: ServiceCall,
  context: CallContext,
): Promise<ServiceAnswer | undefined> {
  const { service, caller, request: { key } } = call;
  if (key === undefined) return undefined;
  return await lookUpCall({ service, caller, key }, context);
}

/** Creates the look-up that settles calls of instances that are gone. */
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
  call: LookedUpCall,
  context: CallContext,
): Promise<ServiceAnswer | undefined> {
  if (!call.service.look_up_by_key) return undefined;
  // Endpoints that are leaving take no work but may have run the call.
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
