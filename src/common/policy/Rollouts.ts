import type { IRolloutState, IServiceDocument } from '../config/Types.js';
import type { IRolloutProgress, QualityCounts, RolloutDecision, RolloutSignal } from '../rollout/Types.js';
import type { Millis } from '../Types.js';
import { addBatch, computeEvidence, createEvidence, type IOutcomeCounts } from './SequentialTest.js';

/**
 * Shares of a rollout. Even at the last one enough requests stay on the stable version for a quick
 * comparison: what is learned a second is bounded by the smaller group.
 */
export const ROLLOUT_SHARES: readonly number[] = [0.01, 0.05, 0.2, 0.5, 0.8];
/**
 * Share after the rollout has passed. The remaining 5 % stay on the stable version until the operator
 * marks the new one as stable: without a comparison at the same time, a change of the traffic would
 * look like a change of the version.
 */
const PASSED_SHARE = 0.95;
/** Shares of the baseline. */
const FIXED_SHARES: readonly number[] = [0.01, 0.05, 0.2, 0.5, 1];
/** Share that a suspected version falls back to; it still gets enough requests to decide soon. */
const SUSPECT_SHARE = 0.05;
/** E-value from which a version is suspected. A wrong suspicion costs time, not the version. */
const SUSPECT_EVIDENCE = 20;

const SIGNALS: readonly RolloutSignal[] = ['ratings', 'drafts', 'errors', 'latency'];
/** The share is not raised while the evidence against the version is above this e-value. */
const HOLD_EVIDENCE = 5;

/** What the decision on a rollout looks at. */
export interface IRolloutView {
  document: IServiceDocument;
  state: IRolloutState;
  progress: IRolloutProgress;
}

/** Decides on the next step of a rollout. */
export type DecideRollout = (view: IRolloutView) => RolloutDecision;

/** Progress of a rollout at the start of an attempt. */
export function createProgress(attempt: number, share: number): IRolloutProgress {
  const empty = createEvidence();
  const evidence = { ratings: empty, drafts: empty, errors: empty, latency: empty };
  return { attempt, share, elapsedMs: 0, ratings: 0, evidence };
}

/** Adds the outcomes of one interval to the progress of a rollout. */
export function addOutcomes(
  progress: IRolloutProgress,
  fresh: QualityCounts,
  stable: QualityCounts,
  elapsedMs: Millis,
): IRolloutProgress {
  const { evidence } = progress;
  const add = (signal: RolloutSignal): IRolloutProgress['evidence'][RolloutSignal] =>
    addBatch(evidence[signal], extractOutcomes(fresh, signal), extractOutcomes(stable, signal));
  return {
    ...progress,
    elapsedMs: progress.elapsedMs + elapsedMs,
    ratings: progress.ratings + fresh.good + fresh.bad,
    evidence: {
      ratings: add('ratings'),
      drafts: add('drafts'),
      errors: add('errors'),
      latency: add('latency'),
    },
  };
}

/**
 * Halts as soon as one signal's evidence passes its threshold; the allowed rate of false halts is split
 * evenly over the signals. Raises the share after the document's time and number of ratings.
 */
export const decideBySequentialTest: DecideRollout = ({ document, progress, state }) => {
  if (state.verdict === 'halted') return { kind: 'wait' };
  const threshold = SIGNALS.length / document.rollout.falseHaltRate;
  const values = SIGNALS.map((signal) => ({ signal, value: computeEvidence(progress.evidence[signal]) }));
  const worst = values.reduce((first, second) => (second.value > first.value ? second : first));
  if (worst.value >= threshold) {
    const reason = `${worst.signal} worse than the stable version (evidence ${formatEvidence(worst.value)}, limit ${Math.round(threshold)})`;
    return { kind: 'halt', reason };
  }
  if (worst.value >= SUSPECT_EVIDENCE && state.share > SUSPECT_SHARE) {
    return { kind: 'retreat', share: SUSPECT_SHARE, reason: `${worst.signal} suspected to be worse` };
  }
  if (state.verdict === 'passed' || worst.value >= HOLD_EVIDENCE) return { kind: 'wait' };
  return decideByTime({ document, progress, state });
};

/** Baseline: raises the share after fixed times and looks at nothing. */
export const decideByTimeOnly: DecideRollout = ({ document, progress, state }) => {
  if (state.verdict !== 'ramping' || progress.elapsedMs < document.rollout.stepMs) return { kind: 'wait' };
  return decideNextShare(document, state, FIXED_SHARES);
};

function decideByTime({ document, progress, state }: IRolloutView): RolloutDecision {
  const { stepMs, stepRatings } = document.rollout;
  if (progress.elapsedMs < stepMs || progress.ratings < stepRatings) return { kind: 'wait' };
  return decideNextShare(document, state, ROLLOUT_SHARES);
}

function decideNextShare(
  document: IServiceDocument,
  state: IRolloutState,
  shares: readonly number[],
): RolloutDecision {
  const next = shares.find((share) => share > state.share);
  if (next === undefined || state.share >= document.rolloutMaxShare) {
    const share = Math.min(document.rolloutMaxShare, Math.max(state.share, PASSED_SHARE));
    return { kind: 'pass', share, reason: 'no worse than the stable version at the largest share' };
  }
  return {
    kind: 'advance',
    share: Math.min(next, document.rolloutMaxShare),
    reason: 'step completed',
  };
}

function extractOutcomes(counts: QualityCounts, signal: RolloutSignal): IOutcomeCounts {
  switch (signal) {
    case 'ratings':
      return { bad: counts.bad, total: counts.good + counts.bad };
    case 'drafts':
      return { bad: counts.draftsRejected, total: counts.draftsAccepted + counts.draftsRejected };
    case 'errors':
      return { bad: counts.errors, total: counts.errors + counts.finished };
    case 'latency':
      return { bad: counts.slow, total: counts.finished };
  }
}

function formatEvidence(value: number): string {
  return value > 1e6 ? value.toExponential(1) : String(Math.round(value));
}
