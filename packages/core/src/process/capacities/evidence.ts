/** A mean of logarithms whose samples lose weight with their age and number. */

/** Time after which a sample has lost two thirds of its weight, in ms. */
const agingMs = 3_000;
/** Most samples that count, so that changes show soon where samples are many. */
const maxWeight = 12;
/** Difference from the mean that counts as a surprise, as a logarithm; a second one on the same side discards what was known. */
const surprise = Math.log(1.8);

/** A mean and the samples that it stands on. */
export interface Evidence {
  mean: number;
  /** Weight of the samples when the newest was added. */
  weight: number;
  updatedMs: number;
  /** The last sample, if it was a surprise. */
  surprising: number | undefined;
}

/** Creates evidence without samples. */
export function createEvidence(): Evidence {
  return { mean: 0, weight: 0, updatedMs: -Infinity, surprising: undefined };
}

/** Weight of the samples now. */
export function getWeight({ weight, updatedMs }: Evidence): number {
  if (weight === 0) return 0;
  return weight * Math.exp((updatedMs - performance.now()) / agingMs);
}

/** Adds a sample. */
export function addSample(evidence: Evidence, sample: number): void {
  const known = getWeight(evidence);
  const difference = sample - evidence.mean;
  const former = evidence.surprising;
  const isSurprise = known > 1 && Math.abs(difference) > surprise;
  if (
    isSurprise && former !== undefined &&
    (former > evidence.mean) === (difference > 0)
  ) {
    evidence.mean = (former + sample) / 2;
    evidence.weight = 2;
    evidence.surprising = undefined;
  } else {
    const weight = Math.min(known, maxWeight - 1) + 1;
    evidence.mean += difference / weight;
    evidence.weight = weight;
    evidence.surprising = isSurprise ? sample : undefined;
  }
  evidence.updatedMs = performance.now();
}
