/** Load tool: seeded open-loop workloads whose every answer is checked. */
export { type Balancer, createBalancer } from "./balancer.ts";
export {
  CallEnd,
  type Caller,
  type CallResult,
  createCaller,
} from "./caller.ts";
export { type ComparedSide, compareWithPipe } from "./compare.ts";
export { type LoadReportSummary, type Percentiles } from "./load_report.ts";
export { renderReports } from "./print_report.ts";
export { type LoadOptions, type LoadTarget, runLoad } from "./run_load.ts";
export { generateWorkload, MixName, type WorkloadOptions } from "./workload.ts";
