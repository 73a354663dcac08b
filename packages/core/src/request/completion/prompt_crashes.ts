/**
 * Crash evidence of prompt prefixes. Requests that crash engines need not be
 * alike: they may share the first blocks of their prompts only. Repeats of one
 * request are found sooner by their digest, see `suspects`. Calls to plain
 * services are kept here as well, as requests without prefixes.
 */
import {
  type CrashReports,
  createCrashWatch,
  EndSign,
  type MayTry,
  type TraitVerdict,
  Unsettled,
} from "../../process/crashes/index.ts";
import type { LogEvent } from "../../shared/index.ts";
import type {
  EndpointName,
  ForwardCall,
  ListedEndpoint,
} from "../../types/index.ts";
import type { CompletionCall } from "./types.ts";

/** What identifies a request and its prompt in crash evidence. */
export type PromptRequest = Pick<
  CompletionCall,
  "requestId" | "digest" | "prefixes"
>;

/** Crash evidence of one instance about prompt prefixes and calls to plain services. */
export interface PromptCrashes {
  /** Why the request must not run; undefined if it may. */
  readonly findVerdict: (request: PromptRequest) => TraitVerdict | undefined;
  /** Records a request that ran to its end. */
  readonly recordSuccess: (request: PromptRequest) => void;
  /** Records that the start `startId` of an engine or service endpoint crashed with these requests in flight. */
  readonly recordCrash: (
    engine: EndpointName,
    inFlight: readonly PromptRequest[],
    options: { readonly startId: string },
  ) => void;
  /** Newest evidence, to be sent to other instances. */
  readonly getEvidence: () => CrashReports;
  readonly mergeEvidence: (evidence: CrashReports) => void;
}

/** Crashes, and traits of each, that one exchange between instances reports. */
const maxReportedCrashes = 6;
const maxReportedTraits = 32;

/** Creates the record of one instance, without crashes. */
export function createPromptCrashes(
  options: { readonly mayTry?: MayTry; readonly logEvent?: LogEvent } = {},
): PromptCrashes {
  const watch = createCrashWatch({
    isAccepting: () => true,
    mayTry: options.mayTry,
    logEvent: options.logEvent,
  });
  /** One call for each request, as a trial is tied to it. */
  const calls = new WeakMap<PromptRequest, ForwardCall>();

  function getCall(request: PromptRequest): ForwardCall {
    const call = calls.get(request) ?? buildCall(request);
    calls.set(request, call);
    return call;
  }

  return {
    findVerdict: (request) => watch.findVerdict(getCall(request)),
    recordSuccess: (request) => watch.recordSuccess(getCall(request)),
    recordCrash(engine, inFlight, { startId }): void {
      const process = describeProcess(engine, startId);
      for (const request of inFlight) {
        watch.recordUnsettled(getCall(request), process, {
          why: Unsettled.Broken,
        });
      }
      watch.recordEnd(process, EndSign.List);
    },
    getEvidence(): CrashReports {
      const { crashes, successes } = watch.getSnapshot();
      const newest = crashes.slice(0, maxReportedCrashes).map((crash) => ({
        ...crash,
        traits: crash.traits.slice(0, maxReportedTraits),
      }));
      const reported = new Set(newest.flatMap(({ traits }) => traits));
      return {
        crashes: newest,
        successes: successes.filter(({ trait }) => reported.has(trait)),
      };
    },
    mergeEvidence: (evidence) => watch.applyReports(evidence, 0),
  };
}

/** Describes a request as the call that crash evidence is kept for; each prefix counts as a part that others share. */
function buildCall(
  { requestId, digest, prefixes }: PromptRequest,
): ForwardCall {
  const ids = [...prefixes, requestId];
  return {
    id: requestId,
    method: "",
    target: "",
    host: "",
    headers: [],
    body: Buffer.from(digest),
    work: {
      model: "",
      promptTokens: 0,
      outputTokens: 0,
      parts: ids.map((id) => ({ id, tokens: 0 })),
    },
    receivedMs: performance.now(),
  };
}

/** Describes one start of an engine, whose id takes the place of a time. */
function describeProcess(
  engine: EndpointName,
  startId: string,
): ListedEndpoint {
  return {
    name: `${engine}#${startId}`,
    service: "",
    address: "",
    failureDomain: "",
    slots: 0,
    leaving: false,
  };
}
