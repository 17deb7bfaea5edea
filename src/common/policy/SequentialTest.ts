/** Outcomes of one version in one batch. */
export interface IOutcomeCounts {
  bad: number;
  total: number;
}

/** Evidence that a new version is worse than the stable one in one signal. */
export interface IEvidence {
  /** Number of batches added so far. */
  batches: number;
  /**
   * Log wealth for each drop of `QUALITY_DROPS`, summed over all batches at which the drop may have begun.
   */
  logWealth: readonly number[];
  /**
   * Discounted outcomes of the stable version, from which the reference rate for the next batch is estimated.
   */
  stable: IOutcomeCounts;
}

/**
 * Probability per batch that the version turns bad, for the geometric half of the mixture over starting
 * batches. A thousand batches cover a rollout of minutes to hours. Without this half, it would take twice as
 * long to detect a late change.
 */
const HAZARD_RATE = 0.001;
/**
 * Shares of good outcomes that a bad version is assumed to lose. Losses below the smallest may not be
 * detected.
 */
const QUALITY_DROPS: readonly number[] = [0.05, 0.1, 0.25, 0.6];
/**
 * Factor by which each batch discounts the older ones in the reference, because quality changes with the
 * traffic.
 */
const REFERENCE_DISCOUNT = 0.98;
/** Outcomes that are assumed before the first batch: one bad in ten. */
const REFERENCE_PRIOR: IOutcomeCounts = { bad: 1, total: 10 };
/** Stands for the logarithm of zero. It is finite because JSON has no infinity. */
const LOG_ZERO_WEALTH = -1e6;
/** Bounds on the estimated rate of bad outcomes of the stable version. */
const RATE_BOUNDS = { min: 0.002, max: 0.95 };

/** Creates the evidence before the first batch. */
export function createEvidence(): IEvidence {
  return { batches: 0, logWealth: QUALITY_DROPS.map(() => LOG_ZERO_WEALTH), stable: { bad: 0, total: 0 } };
}

/**
 * Adds the outcomes of one batch. The e-value of a batch is that of the 2x2 table against equal rates
 * (Turner, Ly and Grünwald): its expectation is at most 1 if the new version is not worse, whatever the
 * common rate. The alternative hypothesis is built from earlier batches only. The wealth is a mixture over
 * drops and over the batch at which the drop began. It therefore remains an e-process, and also detects a
 * version that turns bad later.
 */
export function addBatch(
  evidence: IEvidence,
  newCounts: IOutcomeCounts,
  stableCounts: IOutcomeCounts,
): IEvidence {
  if (newCounts.total === 0 || stableCounts.total === 0) {
    return { ...evidence, stable: combineReference(evidence.stable, stableCounts) };
  }
  const batches = evidence.batches + 1;
  const logStartWeight = Math.log(computeReservedWeight(evidence.batches) - computeReservedWeight(batches));
  const baseRate = estimateBadRate(evidence.stable);
  const logWealth = QUALITY_DROPS.map((drop, index) => {
    const logCapital = computeLogOfSum(evidence.logWealth[index] ?? LOG_ZERO_WEALTH, logStartWeight);
    return logCapital + computeLogEValue(newCounts, stableCounts, baseRate, baseRate + drop * (1 - baseRate));
  });
  return { batches, logWealth, stable: combineReference(evidence.stable, stableCounts) };
}

/**
 * Computes the e-value of the evidence. If the new version is not worse, the probability that the e-value
 * ever exceeds 1/a is at most a (Ville's inequality).
 */
export function computeEValue(evidence: IEvidence): number {
  const reservedWeight = computeReservedWeight(evidence.batches);
  const wealths = evidence.logWealth.map((value) => Math.exp(Math.min(value, 600)) + reservedWeight);
  return wealths.reduce((sum, value) => sum + value, 0) / wealths.length;
}

/**
 * Computes the weight of the mixture that is reserved for drops which begin after a number of batches k: one
 * half falls as 1/(k + 1), the other geometrically.
 */
function computeReservedWeight(batches: number): number {
  return 0.5 / (batches + 1) + 0.5 * (1 - HAZARD_RATE) ** batches;
}

/** Computes the log e-value of one batch for assumed rates of bad outcomes, against one pooled rate. */
function computeLogEValue(
  newCounts: IOutcomeCounts,
  stableCounts: IOutcomeCounts,
  stableRate: number,
  newRate: number,
): number {
  const pooled =
    (newCounts.total * newRate + stableCounts.total * stableRate) / (newCounts.total + stableCounts.total);
  return computeLogRatio(newCounts, newRate, pooled) + computeLogRatio(stableCounts, stableRate, pooled);
}

/** Computes the log likelihood ratio of some outcomes at a rate of bad ones, against the pooled rate. */
function computeLogRatio(counts: IOutcomeCounts, rate: number, pooled: number): number {
  const good = counts.total - counts.bad;
  return counts.bad * Math.log(rate / pooled) + good * Math.log((1 - rate) / (1 - pooled));
}

function estimateBadRate(counts: IOutcomeCounts): number {
  const rate = (counts.bad + REFERENCE_PRIOR.bad) / (counts.total + REFERENCE_PRIOR.total);
  return Math.min(RATE_BOUNDS.max, Math.max(RATE_BOUNDS.min, rate));
}

function combineReference(known: IOutcomeCounts, batch: IOutcomeCounts): IOutcomeCounts {
  return {
    bad: known.bad * REFERENCE_DISCOUNT + batch.bad,
    total: known.total * REFERENCE_DISCOUNT + batch.total,
  };
}

/** Computes the logarithm of a sum from the logarithms of its two terms, without overflow. */
function computeLogOfSum(first: number, second: number): number {
  const larger = Math.max(first, second);
  return larger + Math.log(Math.exp(first - larger) + Math.exp(second - larger));
}
