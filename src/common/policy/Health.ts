import type { DecideHealth, IHealthView } from '../request/Types.js';
import type { Millis } from '../Types.js';

/** Time between tokens, relative to the peers' median, above which an endpoint is slow. */
const SLOW_PACE_RATIO = 3;

/** Time between tokens, relative to the peers' median, below which an endpoint counts as recovered. */
const RECOVERED_PACE_RATIO = 1.6;

/** Tokens that must have been due before a pace is compared; chunks of several tokens come unevenly. */
const MIN_EXPECTED_TOKENS = 12;

/** Wait for the first token, relative to the peers' median, above which an endpoint is slow. */
const SLOW_WAIT_RATIO = 4;

/** Waits for the first token below this are never slow; timers and queues vary by as much. */
const MIN_SLOW_WAIT_MS = 150;

/** Failed attempts in a row that make an endpoint suspect. */
const MAX_FAILURES = 3;

/** Largest share of a pool out of normal use, so that slowness of all does not empty the pool. */
const MAX_EJECTED_SHARE = 0.34;

/** Slowness is relative, so it takes at least two peers to tell which side is slow. */
const MIN_POOL_FOR_SLOWNESS = 3;

const FIRST_PROBE_DELAY_MS = 400;
const MAX_PROBE_DELAY_MS = 5000;

/**
 * Decides on health by what this host sees of its own attempts in flight, relative to the peers of the
 * same versions: `healthy` to `suspect` when slow or failing, to `probing` after a growing delay once the
 * streams still open there run well, and back to `healthy`.
 */
export const decideHealth: DecideHealth = (view) => {
  switch (view.endpoint.health) {
    case 'healthy':
      return isFaulty(view) && isEjectionAllowed(view) ? 'suspect' : 'healthy';
    case 'suspect':
      return isProbeDue(view) ? 'probing' : 'suspect';
    case 'probing':
      if (isFaulty(view)) return 'suspect';
      return isRecovered(view) ? 'healthy' : 'probing';
    default:
      return view.endpoint.health;
  }
};

/**
 * Decides on health by failures in a row alone, for endpoints that run models of unlike pace: there a
 * long time between tokens tells of the model, not of the endpoint.
 */
export const decideHealthByFailures: DecideHealth = (view) => {
  const { consecutiveFailures, health } = view.endpoint;
  const isFailing = consecutiveFailures >= MAX_FAILURES;
  if (health === 'healthy') return isFailing && isEjectionAllowed(view) ? 'suspect' : 'healthy';
  if (health === 'suspect') return hasProbeDelayPassed(view) ? 'probing' : 'suspect';
  if (health !== 'probing') return health;
  if (consecutiveFailures > 0) return 'suspect';
  return view.hasProbeSucceeded ? 'healthy' : 'probing';
};

/** Baseline: health never changes by what this host sees. */
export const decideSameHealth: DecideHealth = ({ endpoint }) => endpoint.health;

/** Computes the delay before an endpoint that became suspect is probed. */
export function computeProbeDelay(failedProbes: number): Millis {
  return Math.min(MAX_PROBE_DELAY_MS, FIRST_PROBE_DELAY_MS * 2 ** failedProbes);
}

function isFaulty(view: IHealthView): boolean {
  return view.endpoint.consecutiveFailures >= MAX_FAILURES || isSlow(view);
}

function isSlow(view: IHealthView): boolean {
  const { endpoint, peerFirstTokenMs, poolSize } = view;
  if (poolSize < MIN_POOL_FOR_SLOWNESS) return false;
  const paceRatio = computePaceRatio(view);
  if (paceRatio !== undefined && paceRatio > SLOW_PACE_RATIO) return true;
  if (endpoint.firstTokenWaitMs === undefined || peerFirstTokenMs === undefined) return false;
  return endpoint.firstTokenWaitMs > Math.max(MIN_SLOW_WAIT_MS, SLOW_WAIT_RATIO * peerFirstTokenMs);
}

function isEjectionAllowed({ ejected, poolSize }: IHealthView): boolean {
  return poolSize > 1 && ejected + 1 <= Math.max(1, Math.floor(poolSize * MAX_EJECTED_SHARE));
}

function isProbeDue(view: IHealthView): boolean {
  if (!hasProbeDelayPassed(view)) return false;
  const paceRatio = computePaceRatio(view);
  return paceRatio === undefined || paceRatio < RECOVERED_PACE_RATIO;
}

function hasProbeDelayPassed({ endpoint, failedProbes, now }: IHealthView): boolean {
  return now - endpoint.healthChangedAt >= computeProbeDelay(failedProbes);
}

function isRecovered(view: IHealthView): boolean {
  if (view.hasProbeSucceeded) return true;
  const paceRatio = computePaceRatio(view);
  return (
    paceRatio !== undefined && paceRatio < RECOVERED_PACE_RATIO && view.endpoint.consecutiveFailures === 0
  );
}

function computePaceRatio({ endpoint, peerPaceMs }: IHealthView): number | undefined {
  if (endpoint.paceMs === undefined || peerPaceMs === undefined || peerPaceMs <= 0) return undefined;
  if ((endpoint.streamMs ?? 0) < MIN_EXPECTED_TOKENS * peerPaceMs) return undefined;
  return endpoint.paceMs / peerPaceMs;
}
