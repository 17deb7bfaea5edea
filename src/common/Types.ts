import type { IDisposable } from './Lifecycle.js';

/** A point in time or a duration, in milliseconds. Points in time are monotonic within one process. */
export type Millis = number;

/** Whether an endpoint ran a request or an attempt. `no` is used only if it is certain that none did. */
export type RanStatus = 'no' | 'yes' | 'unknown';

/** Scheduling priority that a caller asks for. */
export type Priority = 'low' | 'normal' | 'high';

/** Returns a number in the half-open interval from 0 to 1. */
export type RandomSource = () => number;

/** Source of time and of timers. Tests pass a manual clock. */
export interface IClock {
  now: () => Millis;
  /** Runs a callback once after a delay. Disposing of the result cancels it. */
  schedule: (delay: Millis, callback: () => void) => IDisposable;
}
