/** Times at which refused callers come back. */
export {
  createReturnTimes,
  type ExpectedRoom,
  type ReturnTimes,
} from "./return_times.ts";
