/** Orders of the engine stand-in: fencing numbers, changes that take time, conflicts. */
import {
  Effect,
  type EngineOrder,
  type EngineTarget,
  FenceCheck,
  OrderProgress,
} from "@trefoildoor/core";
import { StandinError } from "../shared/index.ts";
import {
  type EngineSettings,
  OrderVerdict,
  type RecordedOrder,
} from "./engine_options.ts";

/** State that orders change. */
export interface OrderState {
  readonly target: EngineTarget;
  readonly fence: number;
  readonly order: number;
  readonly progress: OrderProgress;
  readonly changing: boolean;
}

/** The orders of one engine. */
export interface EngineOrders {
  readonly getState: () => OrderState;
  readonly receive: (order: EngineOrder) => void;
  /** Fails what runs, as a crash does; the number and the last finished target stay. */
  readonly crash: () => void;
  readonly records: readonly RecordedOrder[];
  /** Pairs of fencing numbers whose changes ran at the same time. */
  readonly listConflicts: () => readonly (readonly [number, number])[];
}

interface RunningOrder {
  readonly record: RecordedOrder;
  readonly timer: NodeJS.Timeout;
}

/** Creates the order book; `onChange` ends what runs and returns its count. */
export function createOrders(
  settings: EngineSettings,
  options: { readonly onChange: () => number },
): EngineOrders {
  const records: RecordedOrder[] = [];
  const conflicts: (readonly [number, number])[] = [];
  const running = new Set<RunningOrder>();
  let target = settings.target;
  let fence = 0;
  let newest: RecordedOrder | undefined;

  const checkFence = (order: EngineOrder): void => {
    if (settings.fenceCheck === FenceCheck.Ignored) return;
    if (order.fence >= fence) {
      fence = order.fence;
      return;
    }
    records.push(buildRecord(order, OrderVerdict.Fenced));
    throw new StandinError(409, "fenced", {
      message: `number ${order.fence} is below ${fence}`,
      effect: Effect.None,
    });
  };
  const finish = (entry: RunningOrder): void => {
    running.delete(entry);
    target = entry.record.target;
    entry.record.progress = OrderProgress.Finished;
    entry.record.endedMs = performance.now();
  };
  const startChange = (record: RecordedOrder): void => {
    for (const other of running) {
      conflicts.push([other.record.fence, record.fence]);
    }
    const durationMs = computeChangeMs(target, record.target, { settings });
    if (durationMs === 0) {
      record.progress = OrderProgress.Finished;
      record.endedMs = performance.now();
      return;
    }
    record.cut = options.onChange();
    const entry: RunningOrder = {
      record,
      timer: setTimeout(() => finish(entry), durationMs),
    };
    running.add(entry);
  };
  return {
    getState: () => ({
      target,
      fence: settings.fenceCheck === FenceCheck.Checked ? fence : 0,
      order: newest?.fence ?? 0,
      progress: newest?.progress ?? OrderProgress.None,
      changing: running.size > 0,
    }),
    receive: (order) => {
      checkFence(order);
      if (order.fenceOnly) {
        const record = buildRecord(order, OrderVerdict.Accepted);
        record.progress = OrderProgress.Finished;
        record.endedMs = performance.now();
        records.push(record);
        return;
      }
      if (newest?.fence === order.fence) {
        records.push(buildRecord(order, OrderVerdict.Repeated));
        return;
      }
      newest = buildRecord(order, OrderVerdict.Accepted);
      records.push(newest);
      startChange(newest);
    },
    crash: () => {
      for (const { record, timer } of running) {
        clearTimeout(timer);
        record.progress = OrderProgress.Failed;
        record.endedMs = performance.now();
      }
      running.clear();
    },
    records,
    listConflicts: () => conflicts,
  };
}

function buildRecord(
  order: EngineOrder,
  verdict: OrderVerdict,
): RecordedOrder {
  return {
    ...order,
    verdict,
    receivedMs: performance.now(),
    progress: verdict === OrderVerdict.Accepted
      ? OrderProgress.Running
      : OrderProgress.None,
    cut: 0,
  };
}

function computeChangeMs(
  from: EngineTarget,
  to: EngineTarget,
  { settings }: { readonly settings: EngineSettings },
): number {
  const loaded = new Set(from.models.map((model) => JSON.stringify(model)));
  const loads = to.models.filter((model) => !loaded.has(JSON.stringify(model)));
  const roleMs = from.role === to.role ? 0 : settings.roleChangeMs;
  return roleMs + loads.length * settings.modelLoadMs;
}
