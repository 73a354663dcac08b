/** What an entry counts of its calls, where the settings name an operator. */
import {
  type ActivityRecorder,
  type AgreedTime,
  createActivityRecorder,
  createAgreedTime,
} from "@trefoildoor/core";
import { randomBytes } from "node:crypto";
import { getRetentionMs } from "./operator_calls.ts";
import type { EntrySettings } from "./settings.ts";

/** Counters of an entry and the time that windows are told by. */
export interface CountedActivity {
  readonly recorder: ActivityRecorder;
  readonly time: AgreedTime;
}

const msPerSecond = 1_000;
const startIdBytes = 4;

/** Creates the counters; undefined where no one asks for them. */
export function createCountedActivity(
  settings: EntrySettings,
): CountedActivity | undefined {
  if (!settings.operator) return undefined;
  const time = createAgreedTime();
  return {
    time,
    recorder: createActivityRecorder({
      start: randomBytes(startIdBytes).toString("hex"),
      windowMs: settings.usage && settings.usage.window_s * msPerSecond,
      retentionMs: getRetentionMs(settings),
      getDateMs: time.getMs,
    }),
  };
}
