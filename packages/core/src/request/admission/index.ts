/** Admission control: a fair queue with priorities and deadlines, limited by engine capacity. */
export {
  type Admission,
  type AdmissionOptions,
  type AdmissionRequest,
  type AdmissionResult,
  type AdmissionState,
  type AdmissionTicket,
  createAdmission,
} from "./admission.ts";
export {
  type AdmissionCapacity,
  type AdmissionUse,
  computeCapacity,
} from "./capacity.ts";
export { createFairQueue, type FairQueue, type QueuedWork } from "./queue.ts";
