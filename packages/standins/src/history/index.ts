/** Check of recorded histories against the model's rules. */
export {
  checkHistory,
  type EndpointRecords,
  type EngineRecords,
  type HistoryEntries,
} from "./check_history.ts";
export {
  type ModelHistory,
  type ModelOrder,
  replayModel,
} from "./replay_model.ts";
