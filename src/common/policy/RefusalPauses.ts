import type { Millis } from '../Types.js';

/** Input of the computation of the pause after a refusal. */
export interface IRefusalPauseView {
  /** Refusals in a second that the endpoint bears from all hosts together. */
  maxRefusalsPerS: number;
  /** Number of hosts that may send to the endpoint, this one included. */
  hostCount: number;
}

/** Computes how long a host sends an endpoint nothing after a refusal. */
export type ComputeRefusalPause = (view: IRefusalPauseView) => Millis;

/** Share of the refusals that the hosts use together. Several may find an endpoint full at the same moment. */
const REFUSAL_SHARE = 0.5;

/** Longest pause, so that an odd figure does not exclude an endpoint for long. */
const MAX_PAUSE_MS: Millis = 15_000;

/**
 * Computes a pause by which all hosts together cause half of the refusals that the endpoint bears.
 * @example
 * computeRefusalPause({ maxRefusalsPerS: 10, hostCount: 7 }); // 1400 ms
 */
export const computeRefusalPause: ComputeRefusalPause = ({ hostCount, maxRefusalsPerS }) =>
  Math.min(MAX_PAUSE_MS, (1000 * Math.max(1, hostCount)) / (REFUSAL_SHARE * maxRefusalsPerS));

/**
 * Computes the attempts that a host has in flight at a brittle endpoint, so that all hosts together rarely find it full.
 * @example
 * computeSlotShare(64, 7); // 9
 */
export function computeSlotShare(slots: number, hostCount: number): number {
  return Math.max(1, Math.floor(slots / hostCount));
}
