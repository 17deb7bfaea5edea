const MAX_TERMS = 300;
const PRECISION = 1e-10;
const SMALLEST = 1e-300;

/** Probability that a Beta(alpha, beta) variable is at least `x`, for `x` from 0 to 1. */
export function computeBetaTail(alpha: number, beta: number, x: number): number {
  if (x <= 0) return 1;
  if (x >= 1) return 0;
  const front = Math.exp(
    computeLogGamma(alpha + beta) -
      computeLogGamma(alpha) -
      computeLogGamma(beta) +
      alpha * Math.log(x) +
      beta * Math.log(1 - x),
  );
  // The continued fraction converges fast only below the mean; above it the symmetric form is used.
  if (x < (alpha + 1) / (alpha + beta + 2)) return 1 - (front * computeFraction(alpha, beta, x)) / alpha;
  return (front * computeFraction(beta, alpha, 1 - x)) / beta;
}

/** Continued fraction of the regularized incomplete beta function, by the modified Lentz method. */
function computeFraction(alpha: number, beta: number, x: number): number {
  let c = 1;
  let d = 1 / protectZero(1 - ((alpha + beta) * x) / (alpha + 1));
  let fraction = d;
  for (let m = 1; m <= MAX_TERMS; m += 1) {
    const even = (m * (beta - m) * x) / ((alpha + 2 * m - 1) * (alpha + 2 * m));
    d = 1 / protectZero(1 + even * d);
    c = protectZero(1 + even / c);
    fraction *= d * c;
    const odd = (-(alpha + m) * (alpha + beta + m) * x) / ((alpha + 2 * m) * (alpha + 2 * m + 1));
    d = 1 / protectZero(1 + odd * d);
    c = protectZero(1 + odd / c);
    const factor = d * c;
    fraction *= factor;
    if (Math.abs(factor - 1) < PRECISION) break;
  }
  return fraction;
}

function protectZero(value: number): number {
  return Math.abs(value) < SMALLEST ? SMALLEST : value;
}

/** Stirling series; the argument is first raised above 8, where the series is exact to 1e-10. */
function computeLogGamma(value: number): number {
  let shift = 0;
  let z = value;
  for (; z < 8; z += 1) shift += Math.log(z);
  const inverse = 1 / (z * z);
  const series = (1 / 12 - inverse * (1 / 360 - inverse * (1 / 1260 - inverse / 1680))) / z;
  return (z - 0.5) * Math.log(z) - z + 0.5 * Math.log(2 * Math.PI) + series - shift;
}
