import type { DecideEarlyEscalation } from '../request/EarlyEscalationController.js';
import type { Millis } from '../Types.js';

/**
 * Thresholds of the decision whether an answer that has just begun is delivered or replaced by a larger
 * model's.
 */
export interface IEarlyEscalationThresholds {
  /** Confidence, 0 to 1, below which the request is escalated to a larger model. Default 0.5. */
  minConfidence?: number;
  /**
   * Time that a larger model needs to begin its answer. If no more than this is left, the answer is delivered
   * whatever its confidence. Default 400 ms.
   */
  minLeftMs?: Millis;
}

/** Creates the decision that compares the confidence and the remaining time with fixed thresholds. */
export function createDecideEarlyEscalation({
  minConfidence = 0.5,
  minLeftMs = 400,
}: IEarlyEscalationThresholds = {}): DecideEarlyEscalation {
  return ({ confidence, leftMs }) =>
    confidence < minConfidence && leftMs > minLeftMs ? 'escalate' : 'deliver';
}

/** Baseline: the answer of the first model is always delivered. */
export const deliverAlways: DecideEarlyEscalation = () => 'deliver';
