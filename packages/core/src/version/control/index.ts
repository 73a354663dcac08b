/**
 * Fold of the control stream, and the rules that decide which of its records
 * are valid.
 */
export {
  buildControlCheckpoint,
  parseControlState,
  readControlCheckpoint,
} from "./control_schema.ts";
export {
  emptyControlState,
  foldControl,
  type FoldControlOptions,
} from "./fold_control.ts";
export {
  canClaimLease,
  canCloseOrder,
  canConfirmDrain,
  canOpenOrder,
  findBundleRejection,
  findOpenOrder,
  findPoolOfEngine,
  getVersionInForce,
  isDraining,
  isEpochCurrent,
  isReached,
  isRegistered,
  isSendersResult,
  type PositionedRecordOf,
  type VerifySignature,
} from "./rules.ts";
