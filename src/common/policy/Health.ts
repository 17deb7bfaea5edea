import type { DecideHealth, IHealthView } from '../request/Types.js';
import type { Millis } from '../Types.js';

/** An endpoint is slow if its time between tokens exceeds this multiple of the peers' median. */
const SLOW_INTERVAL_RATIO = 3;

/** An endpoint has recovered if its time between tokens is below this multiple of the peers' median. */
const RECOVERED_INTERVAL_RATIO = 1.6;

/**
 * The time between tokens is compared only after streams have run long enough for this many tokens at the
 * peers' median. Chunks of several tokens arrive unevenly, so a shorter time gives false results.
 */
const MIN_EXPECTED_TOKENS = 12;

/**
 * An endpoint is slow if an attempt waits for its first token longer than this multiple of the peers' median.
 */
const SLOW_FIRST_TOKEN_RATIO = 4;

/**
 * Waits for the first token up to this time never count as slow, because timers and queues vary by as much.
 */
const MIN_SLOW_WAIT_MS = 150;

/** Number of consecutive failed attempts after which an endpoint becomes suspect. */
const MAX_CONSECUTIVE_FAILURES = 3;

/**
 * Largest share of a pool that may be ejected at once, so that a slowdown of all endpoints does not empty the
 * pool.
 */
const MAX_EJECTED_SHARE = 0.34;

/**
 * Smallest pool in which slowness is judged. It is relative: with a single peer, either of the two could be
 * the slow one.
 */
const MIN_POOL_SIZE_FOR_SLOWNESS = 3;

/** The probe delay starts at this value and doubles with each failed probe, up to the maximum. */
const FIRST_PROBE_DELAY_MS = 400;
const MAX_PROBE_DELAY_MS = 5000;

/**
 * Decides on the health of an endpoint from this host's own attempts, compared with peers that have the same
 * versions. A slow or failing endpoint goes from `healthy` to `suspect`. After a delay that grows with each
 * failed probe, and once its open streams are no longer slow, it goes to `probing`, and from there back to
 * `healthy` or to `suspect`.
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
 * Decides on health from consecutive failures alone. This suits endpoints that run models of different speed,
 * where a long time between tokens may be normal for the model and does not show a slow endpoint.
 */
export const decideHealthByFailures: DecideHealth = (view) => {
  const { consecutiveFailures, health } = view.endpoint;
  const isFailing = consecutiveFailures >= MAX_CONSECUTIVE_FAILURES;
  if (health === 'healthy') return isFailing && isEjectionAllowed(view) ? 'suspect' : 'healthy';
  if (health === 'suspect') return hasProbeDelayPassed(view) ? 'probing' : 'suspect';
  if (health !== 'probing') return health;
  if (consecutiveFailures > 0) return 'suspect';
  return view.hasProbeSucceeded ? 'healthy' : 'probing';
};

/** Baseline: the observations of this host never change the health. */
export const decideUnchangedHealth: DecideHealth = ({ endpoint }) => endpoint.health;

/** Computes how long an endpoint stays suspect before it is probed. */
export function computeProbeDelay(failedProbes: number): Millis {
  return Math.min(MAX_PROBE_DELAY_MS, FIRST_PROBE_DELAY_MS * 2 ** failedProbes);
}

function isFaulty(view: IHealthView): boolean {
  return view.endpoint.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES || isSlow(view);
}

function isSlow(view: IHealthView): boolean {
  const { endpoint, peerFirstTokenMs, poolSize } = view;
  if (poolSize < MIN_POOL_SIZE_FOR_SLOWNESS) return false;
  const intervalRatio = computeIntervalRatio(view);
  if (intervalRatio !== undefined && intervalRatio > SLOW_INTERVAL_RATIO) return true;
  if (endpoint.firstTokenWaitMs === undefined || peerFirstTokenMs === undefined) return false;
  return endpoint.firstTokenWaitMs > Math.max(MIN_SLOW_WAIT_MS, SLOW_FIRST_TOKEN_RATIO * peerFirstTokenMs);
}

function isEjectionAllowed({ ejectedPeers, poolSize }: IHealthView): boolean {
  return poolSize > 1 && ejectedPeers + 1 <= Math.max(1, Math.floor(poolSize * MAX_EJECTED_SHARE));
}

function isProbeDue(view: IHealthView): boolean {
  if (!hasProbeDelayPassed(view)) return false;
  const intervalRatio = computeIntervalRatio(view);
  return intervalRatio === undefined || intervalRatio < RECOVERED_INTERVAL_RATIO;
}

function hasProbeDelayPassed({ endpoint, failedProbes, now }: IHealthView): boolean {
  return now - endpoint.healthChangedAt >= computeProbeDelay(failedProbes);
}

function isRecovered(view: IHealthView): boolean {
  if (view.hasProbeSucceeded) return true;
  const intervalRatio = computeIntervalRatio(view);
  return (
    intervalRatio !== undefined &&
    intervalRatio < RECOVERED_INTERVAL_RATIO &&
    view.endpoint.consecutiveFailures === 0
  );
}

/**
 * Computes the time between tokens relative to the peers' median; `undefined` while too little has been
 * measured.
 */
function computeIntervalRatio({ endpoint, peerTokenMs }: IHealthView): number | undefined {
  if (endpoint.recentTokenMs === undefined || peerTokenMs === undefined || peerTokenMs <= 0) return undefined;
  if ((endpoint.recentStreamMs ?? 0) < MIN_EXPECTED_TOKENS * peerTokenMs) return undefined;
  return endpoint.recentTokenMs / peerTokenMs;
}
