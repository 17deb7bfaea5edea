import type { IDisposable } from './Lifecycle.js';

/** A point in time or a duration, in milliseconds. Points are monotonic within one process. */
export type Millis = number;

/** Whether a refused request was run by an endpoint. `no` is said only when it is provably true. */
export type Ran = 'no' | 'yes' | 'unknown';

/** Scheduling class that a caller asks for. */
export type Priority = 'low' | 'normal' | 'high';

/** Returns a number in the half-open interval from 0 to 1. */
export type RandomSource = () => number;

/** Reads the time and runs callbacks later. Tests pass a manual clock. */
export interface IClock {
  now: () => Millis;
  schedule: (delay: Millis, callback: () => void) => IDisposable;
}
