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
  /**
   * The same confidence where the larger model's answer is expected to begin too late for the request's target. A good
   * answer that is late is worth less than one on time that is good by chance. Default 0.3.
   */
  minConfidenceIfLate?: number;
}

/** Creates the decision that compares the confidence and the remaining time with fixed thresholds. */
export function createDecideEarlyEscalation({
  minConfidence = 0.5,
  minLeftMs = 400,
}: IEarlyEscalationThresholds = {}): DecideEarlyEscalation {
  return ({ confidence, leftMs }) =>
    confidence < minConfidence && leftMs > minLeftMs ? 'escalate' : 'deliver';
}

/**
 * Creates the decision that also asks whether the larger model's answer would be of use. The answer at hand is
 * delivered if the larger model's is expected to end after the deadline, and, with some confidence, if that is expected
 * to begin too late. It answers load under which large models take longer than a request can wait.
 * @example
 * const decide = createDecideEscalationByEstimate();
 * decide({ request, confidence: 0.2, nextVersion, leftMs: 4000, expected: { startMs: 900, endMs: 5000 } }); // 'deliver'
 */
export function createDecideEscalationByEstimate(
  thresholds: IEarlyEscalationThresholds = {},
): DecideEarlyEscalation {
  const { minConfidenceIfLate = 0.3 } = thresholds;
  const decideByThresholds = createDecideEarlyEscalation(thresholds);
  return (view) => {
    const { confidence, expected, leftMs, onTimeLeftMs = Infinity } = view;
    if (!expected) return decideByThresholds(view);
    if (expected.endMs > leftMs) return 'deliver';
    // An answer that is late already loses nothing more by the escalation.
    const wouldBecomeLate = onTimeLeftMs > 0 && expected.startMs > onTimeLeftMs;
    if (wouldBecomeLate && confidence >= minConfidenceIfLate) return 'deliver';
    return decideByThresholds(view);
  };
}

/** Baseline: the answer of the first model is always delivered. */
export const deliverAlways: DecideEarlyEscalation = () => 'deliver';
