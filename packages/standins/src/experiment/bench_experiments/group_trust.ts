/**
 * May a pool lose an engine now? Compares a plain count of live engines with
 * the trust level of Rossetto et al., Impact FD: the sum of the impact factors
 * of trusted engines against a threshold, per group of engines.
 */
import { createRandom } from "../bench/random.ts";
import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
} from "../experiment.ts";
import { formatSpread } from "./summary.ts";

/** Both rules on the same beliefs. */
export const groupTrust: Experiment = {
  name: "group_trust",
  describe: "may a pool lose an engine: plain count against group trust",
  defaultSeeds: 5,
  run: (options) => Promise.resolve(compareRules(options)),
};

/** An engine as it is and as the reports show it. */
interface TrustEngine {
  readonly alive: boolean;
  readonly speed: number;
  readonly trusted: boolean;
  readonly reportedSpeed: number;
}

interface Tally {
  allowedWrongly: number;
  deniedWrongly: number;
  asked: number;
}

interface RuleTallies {
  readonly count: Tally;
  readonly trust: Tally;
}

const draws = 20_000;
const poolSizes = [6, 8];
/** Relative spread of the engines' true speeds. */
const spreads = [0, 0.2, 0.5];
/** Relative error of a reported speed. */
const reportError = 0.15;
const crashedShare = 0.08;
/** Part of crashed engines whose crash is not yet noticed. */
const unnoticedShare = 0.3;
/** Part of live engines whose reports are late. */
const lateShare = 0.05;
const nominalSpeed = 1;

function compareRules(options: ExperimentOptions): ExperimentReport {
  const rows: string[][] = [];
  for (const engines of poolSizes) {
    for (const spread of spreads) {
      const results = Array.from(
        { length: options.seeds },
        (_, index) => runDraws({ engines, spread, seed: index + 1 }),
      );
      for (const rule of ["count", "trust"] as const) {
        rows.push([
          String(engines),
          String(spread),
          rule,
          formatShares(results.map((each) => each[rule]), "allowedWrongly"),
          formatShares(results.map((each) => each[rule]), "deniedWrongly"),
        ]);
      }
    }
  }
  return {
    title: "group_trust",
    notes: [
      `Seeds 1 to ${options.seeds}, ${draws} draws each. Both rules see the same trusted engines; reported speeds err by up to ${reportError}.`,
    ],
    tables: [{
      title: "Wrong answers to whether the pool may lose an engine",
      columns: [
        "engines",
        "spread of speeds",
        "rule",
        "allowed wrongly %",
        "denied wrongly %",
      ],
      rows,
    }],
    plots: [],
    data: rows,
  };
}

function runDraws(
  setting: {
    readonly engines: number;
    readonly spread: number;
    readonly seed: number;
  },
): RuleTallies {
  const random = createRandom(setting.seed);
  const tallies = { count: createTally(), trust: createTally() };
  for (let draw = 0; draw < draws; draw++) {
    const engines = Array.from(
      { length: setting.engines },
      () => drawEngine(random, setting.spread),
    );
    const needed = random() * setting.engines * nominalSpeed;
    const leaving = engines.findIndex((engine) => engine.trusted);
    if (leaving < 0) continue;
    const rest = engines.filter((_, index) => index !== leaving);
    const truth = sumSpeeds(rest, (each) => each.alive ? each.speed : 0) >=
      needed;
    const live = rest.filter((each) => each.trusted).length;
    noteAnswer(tallies.count, live * nominalSpeed >= needed, { truth });
    const trust = sumSpeeds(
      rest,
      (each) => each.trusted ? each.reportedSpeed : 0,
    );
    noteAnswer(tallies.trust, trust >= needed, { truth });
  }
  return tallies;
}

function drawEngine(random: () => number, spread: number): TrustEngine {
  const alive = random() >= crashedShare;
  const speed = nominalSpeed * (1 + (2 * random() - 1) * spread);
  const trusted = alive ? random() >= lateShare : random() < unnoticedShare;
  const reportedSpeed = speed * (1 + (2 * random() - 1) * reportError);
  return { alive, speed, trusted, reportedSpeed };
}

function sumSpeeds(
  engines: readonly TrustEngine[],
  get: (engine: TrustEngine) => number,
): number {
  return engines.reduce((sum, engine) => sum + get(engine), 0);
}

function createTally(): Tally {
  return { allowedWrongly: 0, deniedWrongly: 0, asked: 0 };
}

function noteAnswer(
  tally: Tally,
  allowed: boolean,
  { truth }: { readonly truth: boolean },
): void {
  tally.asked += 1;
  if (allowed && !truth) tally.allowedWrongly += 1;
  if (!allowed && truth) tally.deniedWrongly += 1;
}

function formatShares(
  tallies: readonly Tally[],
  key: "allowedWrongly" | "deniedWrongly",
): string {
  return formatSpread(tallies.map((each) => each[key] * 100 / each.asked));
}
