/** What an experiment is, and what it reports. */

/** Settings of one run of the experiment tool. */
export interface ExperimentOptions {
  /** Names of policies, with commas; all of the experiment's where absent. */
  readonly policy: string | undefined;
  /** Name of one fleet; both where absent. */
  readonly fleet: string | undefined;
  /** Seeds to run, 1 to this number. */
  readonly seeds: number;
  /** The only seed to run, where one run is repeated. */
  readonly seed?: number;
}

/** A table of results. */
export interface ReportTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

/** A plot as a Vega-Lite specification. */
export interface ReportPlot {
  /** File name without its ending. */
  readonly name: string;
  readonly title: string;
  readonly specification: Readonly<Record<string, unknown>>;
}

/** Results of an experiment. */
export interface ExperimentReport {
  readonly title: string;
  /** Sentences on what was run and what it shows. */
  readonly notes: readonly string[];
  readonly tables: readonly ReportTable[];
  readonly plots: readonly ReportPlot[];
  /** Raw figures, for `--json`. */
  readonly data: unknown;
}

/** An experiment by name. */
export interface Experiment {
  readonly name: string;
  readonly describe: string;
  readonly defaultSeeds: number;
  readonly run: (options: ExperimentOptions) => Promise<ExperimentReport>;
}
