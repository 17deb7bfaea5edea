/** Limit on the iterations of the continued fraction. */
const MAX_TERMS = 300;
/** The continued fraction has converged when a step changes it by less than this ratio. */
const CONVERGENCE_TOLERANCE = 1e-10;
/** Replaces denominators that are almost zero. */
const MIN_MAGNITUDE = 1e-300;

/** Probability that a Beta(alpha, beta) variable is at least `x`, for `x` from 0 to 1. */
export function computeBetaTail(alpha: number, beta: number, x: number): number {
  if (x <= 0) return 1;
  if (x >= 1) return 0;
  const prefactor = Math.exp(
    computeLogGamma(alpha + beta) -
      computeLogGamma(alpha) -
      computeLogGamma(beta) +
      alpha * Math.log(x) +
      beta * Math.log(1 - x),
  );
  // The continued fraction converges fast only for x below about the mean. Above it, the symmetry
  // I_x(alpha, beta) = 1 - I_(1-x)(beta, alpha) is used.
  if (x < (alpha + 1) / (alpha + beta + 2))
    return 1 - (prefactor * computeContinuedFraction(alpha, beta, x)) / alpha;
  return (prefactor * computeContinuedFraction(beta, alpha, 1 - x)) / beta;
}

/**
 * Evaluates the continued fraction of the regularized incomplete beta function with the modified Lentz
 * method.
 */
function computeContinuedFraction(alpha: number, beta: number, x: number): number {
  let c = 1;
  let d = 1 / replaceNearZero(1 - ((alpha + beta) * x) / (alpha + 1));
  let fraction = d;
  for (let m = 1; m <= MAX_TERMS; m += 1) {
    const evenCoefficient = (m * (beta - m) * x) / ((alpha + 2 * m - 1) * (alpha + 2 * m));
    d = 1 / replaceNearZero(1 + evenCoefficient * d);
    c = replaceNearZero(1 + evenCoefficient / c);
    fraction *= d * c;
    const oddCoefficient = (-(alpha + m) * (alpha + beta + m) * x) / ((alpha + 2 * m) * (alpha + 2 * m + 1));
    d = 1 / replaceNearZero(1 + oddCoefficient * d);
    c = replaceNearZero(1 + oddCoefficient / c);
    const factor = d * c;
    fraction *= factor;
    if (Math.abs(factor - 1) < CONVERGENCE_TOLERANCE) break;
  }
  return fraction;
}

function replaceNearZero(value: number): number {
  return Math.abs(value) < MIN_MAGNITUDE ? MIN_MAGNITUDE : value;
}

/**
 * Computes the logarithm of the gamma function with the Stirling series. The recurrence of the gamma function
 * first raises the argument to 8 or more, where the error of the series is below 1e-10.
 */
function computeLogGamma(value: number): number {
  let logShift = 0;
  let z = value;
  for (; z < 8; z += 1) logShift += Math.log(z);
  const inverse = 1 / (z * z);
  const series = (1 / 12 - inverse * (1 / 360 - inverse * (1 / 1260 - inverse / 1680))) / z;
  return (z - 0.5) * Math.log(z) - z + 0.5 * Math.log(2 * Math.PI) + series - logShift;
}
