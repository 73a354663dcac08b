/** Stand-in for a model engine: HTTP interface, faults and records. */
import { randomUUID } from "node:crypto";
import {
  digestText,
  Effect,
  type EngineState,
  type EngineTarget,
  type LoadReport,
} from "@trefoildoor/core";
import {
  createFaults,
  createGate,
  createRandom,
  type Faults,
  type StandinAnswer,
  type StandinCall,
  StandinError,
  startStandinServer,
} from "../shared/index.ts";
import { type Batch, createBatch, type Sequence } from "./batch.ts";
import { admitRequest, WorkKind } from "./engine_admission.ts";
import {
  buildSettings,
  type EngineStandinOptions,
  GenerationEnd,
  type RecordedGeneration,
  type RecordedOrder,
} from "./engine_options.ts";
import { createOrders } from "./engine_orders.ts";
import {
  completionSchema,
  convertCompletion,
  orderSchema,
} from "./engine_schemas.ts";
import { createKvExports, fetchKv } from "./kv_exports.ts";
import { type LoadFigures, startLoadReporter } from "./load_reports.ts";
import { startTokenStream, type TokenStream } from "./token_stream.ts";

/** A running engine stand-in with its records and faults. */
export interface EngineStandin {
  readonly address: string;
  readonly faults: Faults;
  readonly listOrders: () => readonly RecordedOrder[];
  /** Pairs of fencing numbers whose changes ran at the same time. */
  readonly listConflicts: () => readonly (readonly [number, number])[];
  readonly listGenerations: () => readonly RecordedGeneration[];
  readonly getTarget: () => EngineTarget;
  readonly getState: () => EngineState;
  /** Prompt digests (SHA-256) that crash the engine when they are run. */
  readonly crashDigests: Set<string>;
  readonly crash: () => Promise<void>;
  /** Starts again after a crash; does nothing while it runs. */
  readonly restart: () => Promise<void>;
  /** Stops all work and answers, as a suspended process does. */
  readonly pause: () => void;
  readonly resume: () => void;
  /** Refuses new work as leaving while true. */
  readonly setLeaving: (leaving: boolean) => void;
  /** Reports a limit of requests a second from now on; none if undefined. */
  readonly setLimit: (perSecond: number | undefined) => void;
  /** Reports this version of its software from now on. */
  readonly setSoftwareVersion: (version: string) => void;
  /** When each completion, export and resume arrived, in ms of `performance.now()`. */
  readonly arrivals: readonly number[];
  readonly setReportLag: (lagMs: number) => void;
  /** Calls the listener with each order before it is answered; returns its removal. */
  readonly onOrder: (listener: (order: RecordedOrder) => void) => () => void;
  readonly close: () => Promise<void>;
}

/** Starts the engine stand-in. */
export async function startEngineStandin(
  options: EngineStandinOptions = {},
): Promise<EngineStandin> {
  const settings = buildSettings(options);
  const faults = createFaults();
  const gate = createGate();
  const crashDigests = new Set<string>();
  const orderListeners = new Set<(order: RecordedOrder) => void>();
  const streams = new Set<TokenStream>();
  const random = createRandom(settings.seed);
  let startId = randomUUID();
  let leaving = false;
  let requestsPerSecond: number | undefined;
  let softwareVersion: string | undefined;
  const arrivals: number[] = [];
  let crashed: Promise<void> | undefined;
  let restartTimer: NodeJS.Timeout | undefined;

  const batch: Batch = createBatch(settings, {
    random,
    onPrefill: ({ record }) => {
      if (crashDigests.has(record.promptDigest)) void crash();
    },
  });
  const orders = createOrders(settings, {
    onChange: () => batch.endAll(GenerationEnd.CutByOrder),
  });
  const kvExports = createKvExports(batch.holdBlocks);
  const measureLoad = (): LoadFigures => ({
    startId,
    role: orders.getState().target.role,
    changing: orders.getState().changing || leaving,
    running: batch.countRunning(),
    queued: batch.countQueued(),
    queuedPromptTokens: batch.countPromptTokens(),
    kvBlocksUsed: batch.countBlocks(),
    kvBlocksTotal: settings.kvBlocks,
    prefillTokensPerSecond: settings.prefillTokensPerSecond,
    decodeTokensPerSecond: computeDecodeSpeed(settings),
    cachedPrefixes: batch.cache.listReported(),
    requestsPerSecond,
    softwareVersion,
  });
  const reporter = startLoadReporter(measureLoad, settings.reportLagMs);

  const crash = async (): Promise<void> => {
    if (crashed) return crashed;
    batch.clear();
    kvExports.clear();
    orders.crash();
    crashed = server.cut();
    if (settings.restartMs >= 0) {
      restartTimer = setTimeout(() => void restart(), settings.restartMs);
    }
    await crashed;
  };
  const restart = async (): Promise<void> => {
    if (!crashed) return;
    clearTimeout(restartTimer);
    await crashed;
    crashed = undefined;
    startId = randomUUID();
    await server.restore();
  };
  const getState = (): EngineState => {
    const { target, fence, order, progress } = orders.getState();
    return {
      startId,
      target,
      fence,
      order,
      progress,
      running: batch.countRunning(),
      queued: batch.countQueued(),
      sequence: reporter.advanceSequence(),
    };
  };
  const admit = (
    call: StandinCall,
    kind: WorkKind,
  ): Parameters<Batch["add"]>[0] => {
    const request = convertCompletion(completionSchema.parse(call.body));
    const model = admitRequest(request, kind, {
      settings,
      orders: orders.getState(),
      batch,
      leaving,
    });
    return { request, version: model.version };
  };
  const stream = (
    sequence: Sequence,
    call: StandinCall,
    { fromIndex }: { readonly fromIndex: number },
  ): undefined => {
    const tokens = startTokenStream(call.response, sequence, {
      fromIndex,
      buildLoad: reporter.build,
      isOpen: gate.isOpen,
      onClose: () => {
        streams.delete(tokens);
        expireSequence(batch, sequence, settings);
      },
    });
    streams.add(tokens);
  };
  const handleCompletion = async (call: StandinCall): Promise<undefined> => {
    arrivals.push(performance.now());
    await gate.wait();
    const start = admit(call, WorkKind.Generate);
    const { kvHandle, prompt } = start.request;
    if (!kvHandle) {
      const sequence = batch.add(start);
      return stream(sequence, call, { fromIndex: sequence.firstIndex });
    }
    await fetchKv(kvHandle, {
      promptDigest: digestText(prompt),
      msPerBlock: settings.kvTransferMsPerBlock,
    });
    const sequence = batch.add({
      ...admit(call, WorkKind.Generate),
      imported: true,
    });
    return stream(sequence, call, { fromIndex: sequence.firstIndex });
  };
  const handleResume = async (call: StandinCall): Promise<undefined> => {
    arrivals.push(performance.now());
    await gate.wait();
    const sequence = batch.find(call.params.attempt ?? "");
    const fromIndex = Number(call.params.from_index ?? 0);
    if (!sequence || !(fromIndex >= sequence.firstIndex)) {
      throw new StandinError(404, "unknown_attempt", {
        message: "engine does not hold this attempt",
        effect: Effect.None,
      });
    }
    return stream(sequence, call, { fromIndex });
  };
  const handleCancel = async (call: StandinCall): Promise<StandinAnswer> => {
    await gate.wait();
    const sequence = batch.find(call.params.attempt ?? "");
    if (sequence) batch.end(sequence, GenerationEnd.Cancelled);
    return { status: 200, body: {} };
  };
  const handleOrder = async (call: StandinCall): Promise<StandinAnswer> => {
    await gate.wait();
    const count = orders.records.length;
    try {
      orders.receive(orderSchema.parse(call.body));
    } finally {
      const record = orders.records[count];
      if (record) { for (const listener of orderListeners) listener(record); }
    }
    return { status: 202, body: getState() };
  };
  const handleExport = async (call: StandinCall): Promise<StandinAnswer> => {
    arrivals.push(performance.now());
    await gate.wait();
    const start = admit(call, WorkKind.Export);
    const sequence = batch.add({ ...start, prefillOnly: true });
    await waitForEnd(sequence);
    if (sequence.record.end !== GenerationEnd.Finished) {
      throw new StandinError(409, "cut", { message: "prefill was cut short" });
    }
    const id = kvExports.add({
      promptDigest: sequence.record.promptDigest,
      blocks: sequence.blocks,
    });
    return { status: 200, body: { handle: `${server.address}/${id}` } };
  };
  const handleImport = async (call: StandinCall): Promise<StandinAnswer> => {
    await gate.wait();
    const kv = kvExports.remove(call.params.id ?? "");
    return kv
      ? { status: 200, body: kv }
      : { status: 404, body: { error: { code: "kv_gone" } } };
  };
  const answerWhenOpen =
    (build: () => unknown) => async (): Promise<StandinAnswer> => {
      await gate.wait();
      return { status: 200, body: build() };
    };
  const server = await startStandinServer({
    faults,
    routes: {
      "GET /ping": answerWhenOpen(() => ({ leaving })),
      "GET /v1/load": answerWhenOpen((): LoadReport => reporter.build()),
      "GET /v1/state": answerWhenOpen(getState),
      "POST /v1/completions": handleCompletion,
      "GET /v1/generations/:attempt": handleResume,
      "DELETE /v1/generations/:attempt": handleCancel,
      "POST /v1/orders": handleOrder,
      "POST /v1/kv": handleExport,
      "DELETE /v1/kv/:id": handleImport,
    },
  });
  return {
    address: server.address,
    faults,
    listOrders: () => orders.records,
    listConflicts: orders.listConflicts,
    listGenerations: () => batch.records,
    getTarget: () => orders.getState().target,
    getState,
    crashDigests,
    crash,
    restart,
    pause: () => {
      gate.close();
      batch.pause();
    },
    resume: () => {
      gate.open();
      batch.resume();
      for (const tokens of streams) tokens.flush();
    },
    setLeaving: (value) => {
      leaving = value;
    },
    setLimit: (perSecond) => {
      requestsPerSecond = perSecond;
    },
    setSoftwareVersion: (version) => {
      softwareVersion = version;
    },
    arrivals,
    setReportLag: reporter.setLag,
    onOrder: (listener) => {
      orderListeners.add(listener);
      return () => orderListeners.delete(listener);
    },
    close: async () => {
      clearTimeout(restartTimer);
      reporter.stop();
      batch.endAll(GenerationEnd.Cancelled);
      orders.crash();
      await server.close();
    },
  };
}

function computeDecodeSpeed(
  settings: ReturnType<typeof buildSettings>,
): number {
  const { maxRunning, decodeStepMs, decodeStepMsPerSequence } = settings;
  const stepMs = decodeStepMs + decodeStepMsPerSequence * (maxRunning - 1);
  return maxRunning / stepMs * 1_000;
}

/** Ends a generation that nobody reads, and forgets one that has ended. */
function expireSequence(
  batch: Batch,
  sequence: Sequence,
  { holdMs }: { readonly holdMs: number },
): void {
  setTimeout(() => {
    if (sequence.listeners.size > 0) return;
    batch.end(sequence, GenerationEnd.Abandoned);
    batch.forget(sequence.request.attemptId);
  }, holdMs).unref();
}

function waitForEnd(sequence: Sequence): Promise<void> {
  return new Promise((resolve) => {
    if (sequence.record.end) return resolve();
    const listener = (): void => {
      if (!sequence.record.end) return;
      sequence.listeners.delete(listener);
      resolve();
    };
    sequence.listeners.add(listener);
  });
}
