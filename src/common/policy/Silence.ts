import type { IRequestEntry } from '../blackboard/Types.js';
import type { DecideSilence, ISilenceView, SilenceDecision } from '../request/Types.js';
import type { Millis } from '../Types.js';

/** Factor on the wanted time after which an idempotent whole answer is asked for elsewhere. */
const WHOLE_ANSWER_FACTOR = 1.5;

/** Silence after which the endpoint of a stream that has output is asked. */
const CHECK_AFTER_MS: Millis = 800;

/**
 * Share of the wanted time after which an endpoint without output is asked: late enough that most prompts have
 * been read, and early enough that another attempt can be on time.
 */
const FIRST_CHECK_SHARE = 0.5;

/** Time between two questions after the endpoint has said that it runs the stream. */
const RECHECK_AFTER_MS: Millis = 1600;

/** Silence of a stream that its endpoint does not know; reports are late by some hundred milliseconds. */
const UNKNOWN_LIMIT_MS: Millis = 1500;

/** Silence of a stream that its endpoint claims to run, before and after its first output. */
const FIRST_OUTPUT_FACTOR = 2;
const PAUSE_LIMIT_MS: Millis = 4000;

/** Silence below this is within what a busy endpoint or network shows. */
const MIN_SILENCE_MS: Millis = 300;

/** Options of the decision on silence. */
export interface ISilenceOptions {
  /** Tells whether the retry budget has room for another attempt of a request. */
  hasBudget: (request: IRequestEntry) => boolean;
}

/**
 * Creates the decision that asks the endpoint before it gives up a stream. An attempt that none can
 * follow, since it is the last or must not be repeated, is left until the deadline.
 */
export function createDecideSilence({ hasBudget }: ISilenceOptions): DecideSilence {
  return (view) => {
    const { request } = view;
    const isLast = request.attemptCount >= (request.maxAttempts ?? Infinity);
    const canRepeat = request.isIdempotent && !isLast && hasBudget(request);
    if (!canRepeat || request.targetLatencyMs === undefined) return { kind: 'wait', afterMs: CHECK_AFTER_MS };
    return request.target.kind === 'plain'
      ? decideOnWhole(view, request.targetLatencyMs)
      : decideOnStream(view, request.targetLatencyMs);
  };
}

function decideOnWhole({ silentMs }: ISilenceView, targetLatencyMs: Millis): SilenceDecision {
  const leftMs = Math.max(MIN_SILENCE_MS, WHOLE_ANSWER_FACTOR * targetLatencyMs) - silentMs;
  return leftMs > 0 ? { kind: 'wait', afterMs: leftMs } : { kind: 'fail' };
}

function decideOnStream(
  { check, hasOutput, silentMs }: ISilenceView,
  targetLatencyMs: Millis,
): SilenceDecision {
  const limitMs = hasOutput ? PAUSE_LIMIT_MS : FIRST_OUTPUT_FACTOR * targetLatencyMs;
  if (silentMs >= limitMs || check === 'unreachable' || check === 'ahead') return { kind: 'fail' };
  if (check === 'unknown' && silentMs >= UNKNOWN_LIMIT_MS) return { kind: 'fail' };
  if (check === 'running') return { kind: 'check', afterMs: RECHECK_AFTER_MS };
  const firstMs = Math.max(CHECK_AFTER_MS, FIRST_CHECK_SHARE * targetLatencyMs - silentMs);
  return { kind: 'check', afterMs: hasOutput ? CHECK_AFTER_MS : firstMs };
}
