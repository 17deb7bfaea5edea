import type { DecideAcceptance } from '../request/Types.js';

/**
 * Accepts the answer of the last version of a plan. The answer of an earlier version is a draft that is
 * checked first.
 */
export const decideAcceptance: DecideAcceptance = (request, attempt) => {
  const steps = request.plan?.steps ?? [];
  const position = steps.findIndex((step) => step === attempt.version);
  const next = position < 0 ? undefined : steps[position + 1];
  if (next === undefined || attempt.answer?.kind !== 'model') return { kind: 'accept' };
  return { kind: 'check', escalatesTo: next };
};

/** Baseline: every answer is final. */
export const acceptAlways: DecideAcceptance = () => ({ kind: 'accept' });

/** Input of the decision on a checked draft. */
export interface IDraftView {
  /** Score of the draft, 0 to 1; `undefined` if the check did not return it in time. */
  score: number | undefined;
  /** Lowest score at which the service document accepts a draft. */
  acceptScore: number;
  /**
   * Whether the service document allows the next version of the plan and an endpoint takes new work for it.
   */
  canEscalate: boolean;
}

/**
 * Decides whether a draft is delivered. A draft without a score is escalated, because it is not known to meet
 * the quality target. If escalation is not possible, the draft is delivered whatever its score.
 */
export function decideDraft(view: IDraftView): 'deliver' | 'escalate' {
  if (!view.canEscalate) return 'deliver';
  return view.score !== undefined && view.score >= view.acceptScore ? 'deliver' : 'escalate';
}
