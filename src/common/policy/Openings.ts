import type { DecideOpening } from '../request/OpeningController.js';
import type { Millis } from '../Types.js';

/** Options of the decision on the beginning of an answer. */
export interface IOpeningThresholds {
  /** Confidence below which a larger model answers, 0 to 1. Default 0.5. */
  minConfidence?: number;
  /** Time that a larger model needs to begin; with less left the answer is delivered. Default 400. */
  minLeftMs?: Millis;
}

/** Creates the decision by a fixed confidence. */
export function createDecideOpening({
  minConfidence = 0.5,
  minLeftMs = 400,
}: IOpeningThresholds = {}): DecideOpening {
  return ({ confidence, leftMs }) =>
    confidence < minConfidence && leftMs > minLeftMs ? 'escalate' : 'deliver';
}

/** Baseline: the first answer is delivered. */
export const deliverAlways: DecideOpening = () => 'deliver';
