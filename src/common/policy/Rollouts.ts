import type { IRolloutState, IServiceDocument } from '../config/Types.js';
import type { IRolloutProgress, QualityCounts, RolloutDecision, RolloutSignal } from '../rollout/Types.js';
import type { Millis } from '../Types.js';
import { addBatch, computeEValue, createEvidence, type IOutcomeCounts } from './SequentialTest.js';

/**
 * Shares of requests that a rollout steps through. Even at the last step, enough requests stay on the stable
 * version for a quick comparison, because the smaller group limits how fast evidence accumulates.
 */
export const ROLLOUT_SHARES: readonly number[] = [0.01, 0.05, 0.2, 0.5, 0.8];
/**
 * Share after the rollout has passed. The remaining 5 % of requests stay on the stable version until the
 * operator marks the new version as stable. Without a simultaneous comparison, a change of the traffic could
 * not be told from a change of the version's quality.
 */
const PASSED_SHARE = 0.95;
/** Shares that the baseline `decideByTimeOnly` steps through. */
const FIXED_SHARES: readonly number[] = [0.01, 0.05, 0.2, 0.5, 1];
/** Share of a version that is suspected to be worse. It still gets enough requests for a quick decision. */
const SUSPECTED_SHARE = 0.05;
/** E-value from which a version is suspected to be worse. A false suspicion only delays the rollout. */
const SUSPECT_E_VALUE = 20;

const SIGNALS: readonly RolloutSignal[] = ['ratings', 'drafts', 'errors', 'latency'];
/** The share is not raised while the e-value of any signal is at least this. */
const HOLD_E_VALUE = 5;

/** Input of the decision on the rollout of a version. */
export interface IRolloutView {
  document: IServiceDocument;
  state: IRolloutState;
  progress: IRolloutProgress;
}

/** Decides on the next step of the rollout of a version. */
export type DecideRollout = (view: IRolloutView) => RolloutDecision;

/** Creates the progress of a rollout at the start of an attempt. */
export function createProgress(attempt: number, share: number): IRolloutProgress {
  const empty = createEvidence();
  const evidence = { ratings: empty, drafts: empty, errors: empty, latency: empty };
  return { attempt, share, elapsedMs: 0, ratings: 0, evidence };
}

/** Adds the outcomes of one interval to the progress of a rollout. */
export function addOutcomes(
  progress: IRolloutProgress,
  newCounts: QualityCounts,
  stableCounts: QualityCounts,
  elapsedMs: Millis,
): IRolloutProgress {
  const { evidence } = progress;
  const add = (signal: RolloutSignal): IRolloutProgress['evidence'][RolloutSignal] =>
    addBatch(evidence[signal], extractOutcomes(newCounts, signal), extractOutcomes(stableCounts, signal));
  return {
    ...progress,
    elapsedMs: progress.elapsedMs + elapsedMs,
    ratings: progress.ratings + newCounts.good + newCounts.bad,
    evidence: {
      ratings: add('ratings'),
      drafts: add('drafts'),
      errors: add('errors'),
      latency: add('latency'),
    },
  };
}

/**
 * Halts the rollout as soon as the e-value of one signal reaches the threshold. The allowed rate of false
 * halts is split evenly over the signals. Lowers the share of a suspected version, and otherwise raises it
 * after the time and the number of ratings that the service document sets for a step.
 */
export const decideBySequentialTest: DecideRollout = ({ document, progress, state }) => {
  if (state.verdict === 'halted') return { kind: 'wait' };
  const threshold = SIGNALS.length / document.rollout.falseHaltRate;
  const eValues = SIGNALS.map((signal) => ({ signal, value: computeEValue(progress.evidence[signal]) }));
  const worst = eValues.reduce((first, second) => (second.value > first.value ? second : first));
  if (worst.value >= threshold) {
    const reason = `${worst.signal} worse than the stable version (evidence ${formatEValue(worst.value)}, limit ${Math.round(threshold)})`;
    return { kind: 'halt', reason };
  }
  if (worst.value >= SUSPECT_E_VALUE && state.share > SUSPECTED_SHARE) {
    return { kind: 'retreat', share: SUSPECTED_SHARE, reason: `${worst.signal} suspected to be worse` };
  }
  if (state.verdict === 'passed' || worst.value >= HOLD_E_VALUE) return { kind: 'wait' };
  return decideByTimeAndRatings({ document, progress, state });
};

/** Baseline: raises the share after the configured time and ignores all evidence. */
export const decideByTimeOnly: DecideRollout = ({ document, progress, state }) => {
  if (state.verdict !== 'ramping' || progress.elapsedMs < document.rollout.stepMs) return { kind: 'wait' };
  return decideNextShare(document, state, FIXED_SHARES);
};

function decideByTimeAndRatings({ document, progress, state }: IRolloutView): RolloutDecision {
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

function formatEValue(value: number): string {
  return value > 1e6 ? value.toExponential(1) : String(Math.round(value));
}
