/** Findings: faults of an input document with their locations. */

/** Location of a finding in a text; line and column start at 1. */
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
  /** Suggested correction, for instance the valid key closest to an unknown one. */
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
