import type { DecideSilence } from '../request/Types.js';
import type { Millis } from '../Types.js';

/** Share of the wanted first-output time after which a stream is started elsewhere. */
const FIRST_OUTPUT_SHARE = 1.5;

/** Factor on the wanted time after which an idempotent whole answer is asked for elsewhere. */
const WHOLE_ANSWER_FACTOR = 1.5;

/** Share of the longest pause after which a stream is resumed elsewhere: the rest is for the new start. */
const PAUSE_SHARE = 2.5;

/** Silence below this is within what a busy endpoint or network shows. */
const MIN_SILENCE_MS: Millis = 300;

/**
 * Limits silence where another attempt may follow: before the first output by the wanted latency, after
 * it by the longest pause. A last attempt and one that may not be repeated wait up to the deadline.
 */
export const limitSilenceByTarget: DecideSilence = ({ request, hasOutput }) => {
  const { attemptCount, isIdempotent, isResumable, maxAttempts, maxPauseMs, target, targetLatencyMs } =
    request;
  const isLast = attemptCount >= (maxAttempts ?? Infinity);
  if (isLast || targetLatencyMs === undefined) return undefined;
  if (target.kind === 'plain') {
    return isIdempotent ? Math.max(MIN_SILENCE_MS, WHOLE_ANSWER_FACTOR * targetLatencyMs) : undefined;
  }
  if (!hasOutput)
    return isIdempotent ? Math.max(MIN_SILENCE_MS, FIRST_OUTPUT_SHARE * targetLatencyMs) : undefined;
  if (isResumable !== true || maxPauseMs === undefined) return undefined;
  return Math.max(MIN_SILENCE_MS, PAUSE_SHARE * maxPauseMs);
};
