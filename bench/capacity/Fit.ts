import type { ILine } from './Types.js';

/** Fits a line by least squares. Throws for fewer than three points, or if all of them have the same x. */
export function estimateLine(points: readonly { x: number; y: number }[]): ILine {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const sxx = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  if (count < 3 || sxx === 0)
    throw new RangeError('Fitting a line needs at least three points, not all with the same x.');
  const sxy = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const syy = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0);
  const slope = sxy / sxx;
  const intercept = meanY - slope * meanX;
  const residualSumOfSquares = points.reduce((sum, { x, y }) => sum + (y - intercept - slope * x) ** 2, 0);
  const slopeError = Math.sqrt(residualSumOfSquares / (count - 2) / sxx);
  return { intercept, slope, slopeError, rSquared: syy === 0 ? 1 : 1 - residualSumOfSquares / syy };
}
