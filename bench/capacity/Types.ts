/** One measured point: the load on the x axis and the figures found there. */
export interface IPoint {
  x: number;
  /** Processor time in milliseconds per second, or per request for controllers alone; absent where it was not measured. */
  cpuMs?: number;
  /** Resident memory; absent for controllers alone. */
  megabytes?: number;
  /** Store calls per second; absent where they were not counted. */
  storeCalls?: number;
}

/** A series of points over one kind of load. */
export interface ISeries {
  name: string;
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
