/** How long the answers of plain services usually take. */
export {
  type AnswerTime,
  createUsualTimes,
  type TimedWork,
  type UsualTimes,
} from "./usual_times.ts";
