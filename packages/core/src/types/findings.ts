/** Findings: what is wrong with an input, each with its place. */

/** Place of a finding in a text; line and column count from 1. */
export interface SourcePlace {
  /** File name, or another name of the input. */
  readonly source: string;
  readonly line?: number;
  readonly column?: number;
  /** Path inside the document, for instance `pools.0.name`. */
  readonly path?: string;
}

/** One fault of an input. */
export interface Finding {
  readonly place: SourcePlace;
  /** Sentence without a full stop. */
  readonly message: string;
  /** What to do about it, for instance the key that was probably meant. */
  readonly hint?: string;
}

/** Formats a finding as `source:line:column: message (hint)`. */
export function formatFinding(finding: Finding): string {
  const { source, line, column, path } = finding.place;
  const parts = [source, line, column].filter((part) => part !== undefined);
  const where = path ? `${path}: ` : "";
  const hint = finding.hint ? ` (${finding.hint})` : "";
  return `${parts.join(":")}: ${where}${finding.message}${hint}`;
}
