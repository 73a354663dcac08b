/** Slopes: what one more of something costs, fitted to measurements. */
import {
  linearRegression,
  linearRegressionLine,
  rSquared,
} from "simple-statistics";

/** What a slope counts. */
export enum Quantity {
  /** Processor time, in µs. */
  Processor = "µs",
  /** Bytes on the wire, both ways. */
  Wire = "bytes",
  /** Bytes of the garbage-collected heap. */
  Heap = "heap bytes",
}

/** One measurement at one size. */
export interface SlopePoint {
  readonly size: number;
  readonly value: number;
}

/** What is measured, at which sizes. */
export interface SlopeSeries {
  /** Name that docs/CAPACITY.md uses. */
  readonly name: string;
  readonly quantity: Quantity;
  /** What the value is of, for instance `request`. */
  readonly of: string;
  /** What the size counts, for instance `endpoint`. */
  readonly per: string;
  readonly points: readonly SlopePoint[];
}

/** A series with its fitted line. */
export interface Slope extends SlopeSeries {
  readonly slope: number;
  readonly intercept: number;
  /** Standard error of the slope. */
  readonly slopeError: number;
  /** Share of the variance that the line explains. */
  readonly rSquared: number;
}

/** Fits a line through a series of at least three sizes. */
export function fitSlope(series: SlopeSeries): Slope {
  const pairs = series.points.map(({ size, value }) => [size, value]);
  if (pairs.length < 3) throw new RangeError("a slope needs three sizes");
  const { m, b } = linearRegression(pairs);
  const line = linearRegressionLine({ m, b });
  return {
    ...series,
    slope: m,
    intercept: b,
    slopeError: computeSlopeError(series.points, line),
    rSquared: rSquared(pairs, line),
  };
}

/** Standard error of the slope of a least-squares line. */
function computeSlopeError(
  points: readonly SlopePoint[],
  line: (size: number) => number,
): number {
  const mean = points.reduce((sum, { size }) => sum + size, 0) / points.length;
  const spread = points.reduce(
    (sum, { size }) => sum + (size - mean) ** 2,
    0,
  );
  const residual = points.reduce(
    (sum, { size, value }) => sum + (value - line(size)) ** 2,
    0,
  );
  return Math.sqrt(residual / (points.length - 2) / spread);
}
