/**
 * Watches for crashes of endpoints under calls. A call without a whole answer
 * is unsettled: if the endpoint's process turns out to have ended, although it
 * was not leaving, the traits of the call become evidence; if the process
 * answers a later call, the call was lost for another reason.
 */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type { ForwardCall, ListedEndpoint } from "../../types/index.ts";
import { setBounded } from "./bounded_map.ts";
import { buildRequestTrait, listPartTraits } from "./call_traits.ts";
import { createCrashEvidence } from "./crash_evidence.ts";
import { createCrashNews } from "./crash_news.ts";
import {
  type CrashReport,
  type CrashReports,
  getProcessId,
  type ProcessId,
  type StoredCrashes,
  type Trait,
  type TraitVerdict,
} from "./crash_types.ts";
import { crashEvents } from "./events.ts";
import { formatSome, logVerdicts } from "./log_verdicts.ts";
import { createTrials, type MayTry } from "./trials.ts";

/** How an instance learned that an endpoint's process has ended. */
export enum EndSign {
  /** Nothing listens at its address. */
  ConnectionRefused = "connection_refused",
  /** It is no longer listed, or listed with a later start. */
  List = "list",
  /** Another instance reported the crash. */
  Peer = "peer",
}

/** Why it is not certain that an endpoint answered a call in full. */
export enum Unsettled {
  /** The connection broke, or no answer came in time. */
  Broken = "broken",
  /** The call was cancelled, as its caller left or its time was over. */
  Withdrawn = "withdrawn",
  /** The answer ended with its connection and does not state its length. */
  Unframed = "unframed",
}

/** Times of one answer, in ms of `performance.now()`. */
export interface AnswerTimes {
  /** When the answered call was sent. */
  readonly sentMs: number;
  /** When the connection was opened; a process that is back under its old name answers on new ones. */
  readonly connectedMs: number;
}

/** Crash evidence of one instance, from its own calls and from its peers. */
export interface CrashWatch {
  /** Records a sent call that the endpoint may not have answered in full. */
  readonly recordUnsettled: (
    call: ForwardCall,
    endpoint: ListedEndpoint,
    options: { readonly why: Unsettled },
  ) => void;
  /** Records an answer, which shows that the process lived that answers on its connection. */
  readonly recordAnswer: (
    endpoint: ListedEndpoint,
    times: AnswerTimes,
  ) => void;
  /** Records that an endpoint's process has ended. */
  readonly recordEnd: (endpoint: ListedEndpoint, sign: EndSign) => void;
  /** Records a call that an endpoint answered in full. */
  readonly recordSuccess: (call: ForwardCall) => void;
  /** Records that a call is being sent to an endpoint, of which a trial's result is awaited. */
  readonly recordSend: (call: ForwardCall) => void;
  /** Why the call must not be sent to any endpoint; undefined if it may. */
  readonly findVerdict: (call: ForwardCall) => TraitVerdict | undefined;
  readonly listVerdicts: () => readonly TraitVerdict[];
  /** What the next digest reports to the other instances; undefined if there is nothing. */
  readonly collectReports: () => CrashReports | undefined;
  /** All evidence, for an instance that may have none. */
  readonly getSnapshot: () => CrashReports;
  /** Applies a peer's reports, which were sent `delayMs` ago. */
  readonly applyReports: (reports: CrashReports, delayMs: number) => void;
  /** Evidence to be stored so that it outlasts a restart of all instances: that of traits with several crashes, if this instance has seen one of them. */
  readonly getStored: () => StoredCrashes;
  /** Applies the evidence that an instance has stored; `own` if it was this one, before its restart. */
  readonly applyStored: (
    stored: StoredCrashes,
    options: { readonly from: string; readonly own: boolean },
  ) => void;
}

/** Dependencies of the watch. */
export interface CrashWatchOptions {
  /** Whether an endpoint is still listed and takes new work; the end of a leaving one is no crash. */
  readonly isAccepting: (endpoint: ListedEndpoint) => boolean;
  /** Whether a refused connection shows the end of a process, and not of the instance's own links; resolves once that is known. By default it does. */
  readonly confirmEnd?: (endpoint: ListedEndpoint) => Promise<boolean>;
  /** Whether this instance runs the trials of a verdict at the moment; by default it does. */
  readonly mayTry?: MayTry;
  /** Called after each change of the evidence. */
  readonly onChange?: () => void;
  readonly logEvent?: LogEvent;
}

/** Time for which the end of a process can explain a broken call, in ms: its entry lapses in less. */
const brokenRetentionMs = 10_000;
/** The same for calls that ended otherwise, in ms: they were in flight until then only. */
const endedRetentionMs = 2_000;
const maxUnsettledPerProcess = 64;
const maxStoredCrashes = 32;

interface UnsettledCall {
  readonly call: ForwardCall;
  readonly why: Unsettled;
  readonly endedMs: number;
}

/** A process with unsettled calls. */
interface WatchedProcess {
  readonly endpoint: ListedEndpoint;
  readonly calls: UnsettledCall[];
}

/** Creates a watch without evidence. */
export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  const log = options.logEvent ?? logEvent;
  const evidence = createCrashEvidence({
    onVerdicts: (change) => logVerdicts(change, log),
    onChange: () => options.onChange?.(),
  });
  const news = createCrashNews(evidence);
  const watched = new Map<ProcessId, WatchedProcess>();
  /** The newest answer of each process. */
  const answers = new Map<ProcessId, AnswerTimes>();
  /** Processes that are known to have ended. */
  const ended = new Map<ProcessId, EndSign>();
  const trials = createTrials({ mayTry: options.mayTry, logEvent: log });

  function listTraits(call: ForwardCall): readonly Trait[] {
    return [...listPartTraits(call), buildRequestTrait(call)];
  }

  /** Traits to look up; without any crash, the request's own need not be computed. */
  function listKnownTraits(call: ForwardCall): readonly Trait[] {
    return evidence.hasSuspects() ? listTraits(call) : listPartTraits(call);
  }

  function recordSuccess(call: ForwardCall): void {
    for (const trait of listKnownTraits(call)) {
      if (evidence.addSuccess(trait)) news.addSuccess(trait);
    }
  }

  function addCrash(
    endpoint: ListedEndpoint,
    { calls, sign }: {
      readonly calls: readonly UnsettledCall[];
      readonly sign: EndSign;
    },
  ): void {
    const nowMs = performance.now();
    const firstMs = Math.min(nowMs, ...calls.map(({ endedMs }) => endedMs));
    const traits = new Set(calls.flatMap(({ call }) => listTraits(call)));
    const crash = {
      endpoint: endpoint.name,
      startedAtMs: endpoint.startedAtMs ?? 0,
      ageMs: nowMs - firstMs,
      traits: [...traits],
    };
    news.addOwn(crash);
    evidence.addCrash(crash);
    if (calls.length === 0) return;
    log(crashEvents.endpointCrashed, {
      endpoint: endpoint.name,
      startedAtMs: crash.startedAtMs,
      sign,
      ageMs: Math.round(crash.ageMs),
      calls: formatSome(calls.map(({ call }) => call.id)),
      parts: formatSome(calls.flatMap(({ call }) => listPartTraits(call))),
      requests: formatSome(calls.map(({ call }) => buildRequestTrait(call))),
    });
  }

  /** Whether the process has answered on an older connection since a reported crash: the reporter has lost its link only. */
  function isAlive(id: ProcessId, crashMs: number): boolean {
    const answer = answers.get(id);
    return answer !== undefined && answer.sentMs > crashMs &&
      answer.connectedMs < crashMs;
  }

  /** Logs which lost calls an answer explains. */
  function logExplained(
    endpoint: ListedEndpoint,
    { calls, sentMs, connectedMs }: AnswerTimes & {
      readonly calls: readonly UnsettledCall[];
    },
  ): void {
    const lost = calls.filter(({ why }) => why === Unsettled.Broken);
    const [first] = lost;
    if (!first) return;
    const nowMs = performance.now();
    log(crashEvents.lossesExplained, {
      endpoint: endpoint.name,
      startedAtMs: endpoint.startedAtMs,
      calls: formatSome(lost.map(({ call }) => call.id)),
      lostAgeMs: Math.round(nowMs - first.endedMs),
      sentAgeMs: Math.round(nowMs - sentMs),
      connectionAgeMs: Math.round(nowMs - connectedMs),
    });
  }

  function recordEnd(endpoint: ListedEndpoint, sign: EndSign): void {
    const id = getId(endpoint);
    const nowMs = performance.now();
    const isNew = !ended.has(id);
    setBounded(ended, { key: id, value: sign });
    const calls = watched.get(id)?.calls.filter(({ why, endedMs }) => {
      const retentionMs = why === Unsettled.Broken
        ? brokenRetentionMs
        : endedRetentionMs;
      return nowMs - endedMs <= retentionMs;
    }) ?? [];
    watched.delete(id);
    // Peers may have lost calls there even if this instance has not.
    const isNews = isNew && sign === EndSign.ConnectionRefused &&
      options.isAccepting(endpoint);
    if (calls.length > 0 || isNews) addCrash(endpoint, { calls, sign });
  }

  /** Tells a peer that refuses calls which of them have completed since a crash: its evidence may be that of a former run. */
  function answerRefusal(crash: CrashReport): void {
    for (const trait of evidence.listCleared(crash)) news.addSuccess(trait);
  }

  return {
    recordUnsettled(call, endpoint, { why }): void {
      const id = getId(endpoint);
      const unsettled = { call, why, endedMs: performance.now() };
      const sign = ended.get(id);
      if (sign) {
        if (why !== Unsettled.Broken) return;
        return addCrash(endpoint, { calls: [unsettled], sign });
      }
      if (!options.isAccepting(endpoint)) return;
      const calls = watched.get(id)?.calls ?? [];
      calls.push(unsettled);
      if (calls.length > maxUnsettledPerProcess) calls.shift();
      setBounded(watched, { key: id, value: { endpoint, calls } });
    },
    recordAnswer(endpoint, { sentMs, connectedMs }): void {
      const id = getId(endpoint);
      setBounded(answers, { key: id, value: { sentMs, connectedMs } });
      const process = watched.get(id);
      if (!process) return;
      const settled = process.calls.filter(({ endedMs }) =>
        endedMs <= sentMs && endedMs >= connectedMs
      );
      if (settled.length === 0) return;
      logExplained(endpoint, { calls: settled, sentMs, connectedMs });
      for (const { call, why } of settled) {
        if (why === Unsettled.Unframed) recordSuccess(call);
      }
      const open = process.calls.filter((call) => !settled.includes(call));
      if (open.length > 0) watched.set(id, { endpoint, calls: open });
      else watched.delete(id);
    },
    recordSend: trials.recordSend,
    recordEnd(endpoint, sign): void {
      const { confirmEnd } = options;
      if (sign !== EndSign.ConnectionRefused || !confirmEnd) {
        return recordEnd(endpoint, sign);
      }
      void confirmEnd(endpoint).then((confirmed) => {
        if (confirmed) recordEnd(endpoint, sign);
      });
    },
    recordSuccess,
    findVerdict(call): TraitVerdict | undefined {
      if (trials.has(call) || !evidence.hasVerdicts()) return undefined;
      const traits = listTraits(call);
      for (const trait of traits) {
        const verdict = evidence.getVerdict(trait);
        if (!verdict) continue;
        return trials.tryCall(call, verdict, { traits }) ? undefined : verdict;
      }
      return undefined;
    },
    listVerdicts: evidence.listVerdicts,
    collectReports: news.collect,
    getSnapshot: () => ({
      crashes: evidence.listCrashes((trait) =>
        evidence.countCrashes(trait) > 0
      ),
      successes: evidence.listSuccesses(evidence.listCrashTraits()),
    }),
    applyReports({ crashes, successes }, delayMs): void {
      for (const { trait, ageMs } of successes) {
        evidence.addSuccess(trait, ageMs + delayMs);
      }
      for (const crash of crashes) {
        const ageMs = crash.ageMs + delayMs;
        const id = getProcessId(crash);
        if (isAlive(id, performance.now() - ageMs)) continue;
        evidence.addCrash({ ...crash, ageMs });
        if (crash.refused) answerRefusal(crash);
        const process = watched.get(id);
        if (process) recordEnd(process.endpoint, EndSign.Peer);
      }
    },
    getStored: () => ({
      storedAtMs: Date.now(),
      crashes: evidence.listCrashes(
        (trait) => evidence.countCrashes(trait) > 1 && news.hasOwn(trait),
        { most: maxStoredCrashes },
      ),
    }),
    applyStored({ storedAtMs, crashes }, { from, own }): void {
      const storedAgeMs = Math.max(0, Date.now() - storedAtMs);
      const added = crashes.filter((stored) => {
        const crash = { ...stored, ageMs: stored.ageMs + storedAgeMs };
        if (own) news.addOwn(crash);
        return evidence.addCrash(crash);
      });
      if (added.length === 0) return;
      log(crashEvents.evidenceRestored, {
        from,
        crashes: added.length,
        storedAgeMs,
      });
    },
  };
}

function getId({ name, startedAtMs }: ListedEndpoint): ProcessId {
  return getProcessId({ endpoint: name, startedAtMs });
}
