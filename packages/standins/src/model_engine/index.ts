/** Stand-in for a model engine. */
export { buildOutput, buildToken } from "./batch.ts";
export {
  type EngineStandinOptions,
  GenerationEnd,
  OrderVerdict,
  type RecordedGeneration,
  type RecordedOrder,
} from "./engine_options.ts";
export { type EngineStandin, startEngineStandin } from "./engine_standin.ts";
