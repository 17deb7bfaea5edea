import type { DecideAcceptance } from '../request/Types.js';

/** Accepts the answer of a plan's last version; the answer of an earlier one is a draft to check. */
export const decideAcceptance: DecideAcceptance = (request, attempt) => {
  const steps = request.plan?.steps ?? [];
  const position = steps.findIndex((step) => step === attempt.version);
  const next = position < 0 ? undefined : steps[position + 1];
  if (next === undefined || attempt.answer?.kind !== 'model') return { kind: 'accept' };
  return { kind: 'check', escalatesTo: next };
};

/** Baseline: every answer is final. */
export const acceptAlways: DecideAcceptance = () => ({ kind: 'accept' });

/** What the decision on a checked draft looks at. */
export interface IDraftView {
  /** Score of the draft, 0 to 1; `undefined` when it did not arrive in time. */
  score: number | undefined;
  /** Lowest score that the document accepts. */
  acceptScore: number;
  /** Whether an endpoint takes new work of the version to escalate to, and the document still allows it. */
  canEscalate: boolean;
}

/** Decides whether a draft is delivered. A draft without a score is not known to meet the target. */
export function decideDraft(view: IDraftView): 'deliver' | 'escalate' {
  if (!view.canEscalate) return 'deliver';
  return view.score !== undefined && view.score >= view.acceptScore ? 'deliver' : 'escalate';
}
