import type { IRequestEntry } from '../blackboard/Types.js';
import type { DecideSilence, ISilenceView, RunCheckResult, SilenceDecision } from '../request/Types.js';
import type { Millis } from '../Types.js';

/**
 * An idempotent attempt at a plain service is given up, so that another can follow, after a silence of this
 * multiple of the target latency.
 */
const PLAIN_ANSWER_LIMIT_FACTOR = 1.5;

/**
 * Delay before the endpoint of a stream with output is checked. For a stream without output it is the lower
 * bound of the delay before the first check.
 */
const CHECK_DELAY_MS: Millis = 800;

/**
 * Share of the target latency after which the endpoint of a stream without output is checked. It is late
 * enough that most prompts have been processed, and early enough that another attempt can still meet the
 * target.
 */
const FIRST_CHECK_LATENCY_SHARE = 0.5;

/** Delay before the next check after the endpoint has reported that it runs the stream. */
const RECHECK_DELAY_MS: Millis = 1600;

/**
 * Silence after which a stream that its endpoint does not know is given up. The endpoint's information is
 * late by some hundred milliseconds, so an unknown stream is not given up at once.
 */
const UNKNOWN_RUN_LIMIT_MS: Millis = 1500;

/**
 * Silence after which an endpoint that takes connections and answers nothing is given up. Sound endpoints stand still for
 * about a second at times.
 */
const STANDSTILL_LIMIT_MS: Millis = 1500;

/** Share of the time left to a plain attempt after which another one has to follow, if it is to be in time. */
const MAX_PLAIN_WAIT_SHARE = 0.5;

/** Delay before the next decision on a plain attempt whose endpoint may be standing still. */
const STANDSTILL_CHECK_MS: Millis = 100;

/**
 * Limits on the silence of a stream, whatever its endpoint reports: before its first output, a multiple of
 * the target latency; after it, a fixed time.
 */
const FIRST_OUTPUT_LIMIT_FACTOR = 2;
const PAUSE_LIMIT_MS: Millis = 4000;

/** Lower bound on the silence limit of plain services. Busy endpoints and networks cause shorter pauses. */
const MIN_SILENCE_LIMIT_MS: Millis = 300;

/** Results of asking an endpoint after which no output of the attempt is expected on its connection. */
const FAILING_CHECKS: ReadonlySet<RunCheckResult> = new Set<RunCheckResult>([
  'unreachable',
  'unanswered',
  'replaced',
  'ahead',
]);

/** Options of the decision on silent attempts. */
export interface ISilenceOptions {
  /** Tells whether the retry budget allows another attempt of a request. */
  hasBudget: (request: IRequestEntry) => boolean;
  /** Tells whether an endpoint may be standing still, rather than one attempt or its connection. */
  mayStandStill: (endpoint: string) => boolean;
}

/**
 * Creates the decision that checks with the endpoint before a stream is given up. An attempt is never given
 * up if no other can follow it: if it is the last one allowed, the request is not idempotent, or the retry
 * budget is used up. Such an attempt runs until the deadline. Attempts at an endpoint that may be standing still are given
 * more time, since it may go on after about a second.
 * @example
 * const decideSilence = createDecideSilence({ hasBudget: () => true, mayStandStill: () => false });
 */
export function createDecideSilence({ hasBudget, mayStandStill }: ISilenceOptions): DecideSilence {
  return (view) => {
    const { request } = view;
    const isLastAttempt = request.attemptCount >= (request.maxAttempts ?? Infinity);
    const canRepeat = request.isIdempotent && !isLastAttempt && hasBudget(request);
    if (!canRepeat || request.targetLatencyMs === undefined) return { kind: 'wait', afterMs: CHECK_DELAY_MS };
    if (request.target.kind !== 'plain') return decideOnStream(view, request.targetLatencyMs);
    return decideOnPlainAnswer(view, request.targetLatencyMs, mayStandStill);
  };
}

function decideOnPlainAnswer(
  { attempt, request, silentMs }: ISilenceView,
  targetLatencyMs: Millis,
  mayStandStill: ISilenceOptions['mayStandStill'],
): SilenceDecision {
  const leftMs = Math.max(MIN_SILENCE_LIMIT_MS, PLAIN_ANSWER_LIMIT_FACTOR * targetLatencyMs) - silentMs;
  if (leftMs > 0) return { kind: 'wait', afterMs: leftMs };
  const maxWaitMs = MAX_PLAIN_WAIT_SHARE * (request.deadlineAt - attempt.plannedAt);
  const standstillLeftMs = Math.min(STANDSTILL_LIMIT_MS, maxWaitMs) - silentMs;
  if (standstillLeftMs <= 0 || !mayStandStill(attempt.endpoint)) return { kind: 'fail' };
  return { kind: 'wait', afterMs: Math.min(STANDSTILL_CHECK_MS, standstillLeftMs) };
}

function decideOnStream(
  { check, hasOutput, silentMs }: ISilenceView,
  targetLatencyMs: Millis,
): SilenceDecision {
  const limitMs = hasOutput ? PAUSE_LIMIT_MS : FIRST_OUTPUT_LIMIT_FACTOR * targetLatencyMs;
  if (silentMs >= limitMs || (check !== undefined && FAILING_CHECKS.has(check))) return { kind: 'fail' };
  if (check === 'unknown' && silentMs >= UNKNOWN_RUN_LIMIT_MS) return { kind: 'fail' };
  if (check === 'silent')
    return silentMs >= STANDSTILL_LIMIT_MS ? { kind: 'fail' } : { kind: 'check', afterMs: 0 };
  if (check === 'running') return { kind: 'check', afterMs: RECHECK_DELAY_MS };
  const firstCheckMs = Math.max(CHECK_DELAY_MS, FIRST_CHECK_LATENCY_SHARE * targetLatencyMs - silentMs);
  return { kind: 'check', afterMs: hasOutput ? CHECK_DELAY_MS : firstCheckMs };
}
