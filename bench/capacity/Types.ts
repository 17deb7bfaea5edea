/** One measured point: the varied quantity x, and the values measured there. */
export interface IPoint {
  x: number;
  /** Milliseconds of processor time per second, or per request for controllers; absent where not measured. */
  cpuMs?: number;
  /** MiB of resident memory of a daemon, or of heap for journal records; absent where not measured. */
  megabytes?: number;
  /** Store calls per second; absent where not measured. */
  storeCalls?: number;
}

/** Points that differ in one quantity, x. */
export interface ISeries {
  name: string;
  /** Unit of x. */
  xUnit: string;
  cpuUnit: string;
  points: readonly IPoint[];
}

/** A fitted line with the standard error of its slope. */
export interface ILine {
  intercept: number;
  slope: number;
  slopeError: number;
  /** Share of the variance that the line explains, 0 to 1. */
  rSquared: number;
}
