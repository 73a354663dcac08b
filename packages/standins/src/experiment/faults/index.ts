/** Random faults on real instances. */
export { callAppends } from "./call_appends.ts";
export { faults } from "./faults.ts";
