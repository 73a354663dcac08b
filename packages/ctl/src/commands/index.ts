/** All commands of the command line. */
import type { Command } from "../command.ts";
import { publishBundle, rollBack } from "./bundle_changes.ts";
import {
  checkBundleFile,
  initBundle,
  rebaseBundleFile,
  showBundle,
  signBundleFile,
} from "./bundle_files.ts";
import { showDiff, showHistory, showStatus } from "./bundle_views.ts";
import { showBurn } from "./burn.ts";
import { showCalls } from "./calls.ts";
import {
  showEndpoints,
  showInstances,
  showOrders,
  showRollout,
} from "./fleet_views.ts";
import { createCallerKey, createOperatorKey } from "./keys.ts";
import { resumeRollout } from "./resume_rollout.ts";

/** Commands in the order of the help. */
export const commands: readonly Command[] = [
  initBundle,
  checkBundleFile,
  signBundleFile,
  publishBundle,
  showStatus,
  showHistory,
  showDiff,
  showBundle,
  rebaseBundleFile,
  rollBack,
  showRollout,
  resumeRollout,
  showInstances,
  showEndpoints,
  showOrders,
  showCalls,
  showBurn,
  createOperatorKey,
  createCallerKey,
];
