/** Outcomes of one group in one batch. */
export interface IOutcomeCounts {
  bad: number;
  total: number;
}

/** Evidence that a new version is worse than the stable one in one respect. */
export interface IEvidence {
  /** Batches seen so far. */
  batches: number;
  /** Log wealth for each drop of DROPS, summed over all moments at which the drop may have begun. */
  logWealth: readonly number[];
  /** Discounted outcomes of the stable version, from which the next batch's reference is estimated. */
  stable: IOutcomeCounts;
}

/**
 * Chance per batch that the version turns bad, for one half of the mixture over moments. A thousand
 * batches are a rollout of some minutes to hours; without this half, a late change costs twice as long.
 */
const HAZARD = 0.001;
/** Shares of good outcomes that a bad version may lose. The smallest bounds what is detected. */
const DROPS: readonly number[] = [0.05, 0.1, 0.25, 0.6];
/** Weight of older batches in the reference; the quality of all versions drifts with the traffic. */
const REFERENCE_DISCOUNT = 0.98;
/** Assumed outcomes before any: one bad in ten. */
const REFERENCE_PRIOR: IOutcomeCounts = { bad: 1, total: 10 };
/** Log of no wealth; finite, because JSON has no infinity. */
const NO_WEALTH = -1e6;
const RATE_BOUNDS = { least: 0.002, most: 0.95 };

/** Evidence before the first batch. */
export function createEvidence(): IEvidence {
  return { batches: 0, logWealth: DROPS.map(() => NO_WEALTH), stable: { bad: 0, total: 0 } };
}

/**
 * Adds one batch. The e-value of a batch is that of the 2x2 table against equal rates (Turner, Ly and
 * Grünwald): its expectation is at most 1 whenever the new version is not worse, whatever the common
 * rate. The alternative uses earlier batches only. Wealth is a mixture over drops and over the batch at
 * which the drop began, so it stays an e-process and also finds a version that turns bad later.
 */
export function addBatch(evidence: IEvidence, fresh: IOutcomeCounts, stable: IOutcomeCounts): IEvidence {
  if (fresh.total === 0 || stable.total === 0) {
    return { ...evidence, stable: combineReference(evidence.stable, stable) };
  }
  const batches = evidence.batches + 1;
  const logStart = Math.log(computeUnused(evidence.batches) - computeUnused(batches));
  const reference = estimateRate(evidence.stable);
  const logWealth = DROPS.map((drop, index) => {
    const capital = addLogs(evidence.logWealth[index] ?? NO_WEALTH, logStart);
    return capital + computeLogRatio(fresh, stable, reference, reference + drop * (1 - reference));
  });
  return { batches, logWealth, stable: combineReference(evidence.stable, stable) };
}

/**
 * Evidence as an e-value: under a version that is not worse, it ever exceeds 1/a with probability at
 * most a (Ville's inequality).
 */
export function computeEvidence(evidence: IEvidence): number {
  const unused = computeUnused(evidence.batches);
  const wealth = evidence.logWealth.map((value) => Math.exp(Math.min(value, 600)) + unused);
  return wealth.reduce((sum, value) => sum + value, 0) / wealth.length;
}

/** Weight of the moments after a number of batches: half as 1/(k + 1), half geometric. */
function computeUnused(batches: number): number {
  return 0.5 / (batches + 1) + 0.5 * (1 - HAZARD) ** batches;
}

function computeLogRatio(
  fresh: IOutcomeCounts,
  stable: IOutcomeCounts,
  stableRate: number,
  freshRate: number,
): number {
  const common = (fresh.total * freshRate + stable.total * stableRate) / (fresh.total + stable.total);
  return computeLogLikelihood(fresh, freshRate, common) + computeLogLikelihood(stable, stableRate, common);
}

function computeLogLikelihood(counts: IOutcomeCounts, rate: number, common: number): number {
  const good = counts.total - counts.bad;
  return counts.bad * Math.log(rate / common) + good * Math.log((1 - rate) / (1 - common));
}

function estimateRate(counts: IOutcomeCounts): number {
  const rate = (counts.bad + REFERENCE_PRIOR.bad) / (counts.total + REFERENCE_PRIOR.total);
  return Math.min(RATE_BOUNDS.most, Math.max(RATE_BOUNDS.least, rate));
}

function combineReference(known: IOutcomeCounts, batch: IOutcomeCounts): IOutcomeCounts {
  return {
    bad: known.bad * REFERENCE_DISCOUNT + batch.bad,
    total: known.total * REFERENCE_DISCOUNT + batch.total,
  };
}

function addLogs(first: number, second: number): number {
  const larger = Math.max(first, second);
  return larger + Math.log(Math.exp(first - larger) + Math.exp(second - larger));
}
