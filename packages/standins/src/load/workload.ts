/** Seeded open-loop workloads: when each request comes, and what it asks. */
import { createRandom } from "../shared/index.ts";

/** Sizes of requests. */
export interface RequestMix {
  /** Mean tokens of a prompt. */
  readonly promptTokens: number;
  /** Mean tokens of an answer. */
  readonly outputTokens: number;
}

/** Named mixes. */
export enum MixName {
  /** Long contracts and visit histories with short answers. */
  LongPrompts = "long_prompts",
  /** Short questions with drafted answers. */
  LongAnswers = "long_answers",
  /** Both in turn, each for a quarter of the run. */
  Shifting = "shifting",
}

/** Kind of a request. */
export enum RequestKind {
  Completion = "completion",
  Booking = "booking",
}

/** One request of a workload. */
export interface PlannedRequest {
  readonly index: number;
  readonly kind: RequestKind;
  /** Time of the request from the start of the run, in ms. */
  readonly atMs: number;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Index of the caller that sends it. */
  readonly caller: number;
}

/** Settings of a workload. */
export interface WorkloadOptions {
  readonly seed: number;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly mix: MixName;
  /** Share of bookings among the requests, 0 to 1. */
  readonly bookingShare: number;
  /** Callers that requests are spread over. */
  readonly callers: number;
}

const mixes: Readonly<Record<Exclude<MixName, "shifting">, RequestMix>> = {
  [MixName.LongPrompts]: { promptTokens: 3_000, outputTokens: 60 },
  [MixName.LongAnswers]: { promptTokens: 200, outputTokens: 300 },
};
const shiftsPerRun = 4;
/** Prompts that start alike, as contracts and rules do. */
const sharedDocuments = 16;
const sharedShare = 0.5;

/** Draws all requests of a run; the same for the same options. */
export function* generateWorkload(
  options: WorkloadOptions,
): Generator<PlannedRequest> {
  const random = createRandom(options.seed);
  let atMs = 0;
  for (let index = 0;; index++) {
    atMs += -Math.log(1 - random()) / options.requestsPerSecond * 1_000;
    if (atMs >= options.durationMs) return;
    const isBooking = random() < options.bookingShare;
    const mix = pickMix(options, atMs);
    const caller = Math.floor(random() * options.callers);
    const promptTokens = drawSize(mix.promptTokens, random);
    const maxTokens = drawSize(mix.outputTokens, random);
    const document = Math.floor(random() * sharedDocuments);
    yield {
      index,
      kind: isBooking ? RequestKind.Booking : RequestKind.Completion,
      atMs,
      prompt: buildPrompt(promptTokens, { document, index }),
      maxTokens,
      caller,
    };
  }
}

function pickMix(options: WorkloadOptions, atMs: number): RequestMix {
  if (options.mix !== MixName.Shifting) return mixes[options.mix];
  const phase = Math.floor(atMs / options.durationMs * shiftsPerRun);
  return mixes[phase % 2 === 0 ? MixName.LongPrompts : MixName.LongAnswers];
}

/** Draws a size between half and one and a half times the mean. */
function drawSize(mean: number, random: () => number): number {
  return Math.max(1, Math.round(mean * (0.5 + random())));
}

function buildPrompt(
  tokens: number,
  source: { readonly document: number; readonly index: number },
): string {
  const shared = Math.floor(tokens * sharedShare);
  const words = Array.from(
    { length: tokens },
    (_, word) => word < shared ? `d${source.document}w${word}` : `w${word}`,
  );
  words.push(`q${source.index}`);
  return words.join(" ");
}
