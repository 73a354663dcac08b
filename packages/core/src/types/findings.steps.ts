/** Steps of `findings.feature`. */
import { Given, Then } from "@cucumber/cucumber";
import { type Finding, formatFinding } from "./findings.ts";

/** State of one scenario. */
interface FindingWorld {
  finding: Finding;
  matchSnapshot: (received: unknown) => void;
}

Given(
  "a finding at line {int} and column {int} with the hint {string}",
  function (
    this: FindingWorld,
    line: number,
    column: number,
    hint: string,
  ): void {
    this.finding = {
      place: { source: "settings.yaml", line, column, path: "listen.prot" },
      message: "key is not known",
      hint,
    };
  },
);

Then(
  "the formatted finding matches the snapshot",
  function (this: FindingWorld): void {
    this.matchSnapshot(formatFinding(this.finding));
  },
);
