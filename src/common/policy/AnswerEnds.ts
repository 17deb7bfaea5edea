import type { AnswerEndDecision, DecideAnswerEnd, IAnswerEndView, RunCheckResult } from '../request/Types.js';
import type { Millis } from '../Types.js';

/** Results of asking an endpoint that show that it cannot have completed the answer. */
const BREAKING_CHECKS: ReadonlySet<RunCheckResult> = new Set<RunCheckResult>([
  'unreachable',
  'replaced',
  'ahead',
]);

/** Results of asking an endpoint that show neither that it is alive nor that it is not. */
const OPEN_CHECKS: ReadonlySet<RunCheckResult> = new Set<RunCheckResult>(['unanswered', 'silent']);

/** Longest time that an endpoint is waited for when it is asked, with some for the decision. */
const CHECK_TIME_MS: Millis = 500;

/**
 * Believes an end only with evidence. A mark is evidence, unless the endpoint has lately spoilt answers and its report
 * lists more events of the run than have arrived; without such a report the mark stands. The end of a connection is none
 * by itself: the system closes the connections of a process that dies in order. So the endpoint must not be found dead,
 * and unless it has replied and the endpoints of its service are known to mark no ends of streams, it only claims the end:
 * another endpoint, asked to go on, sends what is missing or agrees that nothing is. A stream without any event does not even
 * claim an end, since a fault that all endpoints have in common gives the same. A stream that none can continue is broken
 * off, and one of which nothing has come at all is refused. A stream that no other endpoint may continue waits for what
 * other streams show of the ends of the service, see `decideFinalStreamEnd`. A plain answer cannot be continued, so it is
 * complete only if the endpoints of its service are known to mark no ends.
 * @example
 * // 'check' if only the connection ended
 * const view = { request, attempt, check: undefined, leftMs: 900, holdLeftMs: 0, isRepeatable: true };
 * decideAnswerEnd({ ...view, endForm: 'unknown', hasSpoiltLately: () => false });
 */
export const decideAnswerEnd: DecideAnswerEnd = (view) => {
  const { attempt, check, leftMs, endForm } = view;
  if (isAgreedEnd(view)) return 'complete';
  if (attempt.doubt === 'endpoint-spoils') {
    // At the deadline, a marked answer is worth more than the question.
    if (check === undefined) return leftMs < CHECK_TIME_MS ? 'complete' : 'check';
    return check === 'ahead' ? 'broken' : 'complete';
  }
  if (attempt.endMark === 'connection' && check === undefined) return 'check';
  if (check !== undefined && BREAKING_CHECKS.has(check)) return 'broken';
  if (attempt.answer?.kind !== 'model') return decidePlainEnd(view);
  if (attempt.tokens === 0) return 'continue';
  if (endForm === 'unmarked' && hasReplied(check)) return 'complete';
  return view.isRepeatable || endForm !== 'unknown' ? 'claim' : decideFinalStreamEnd(view);
};

/**
 * Decides on the end of a stream that no other endpoint may continue, before any stream has shown how the service ends
 * them. The heads of other streams may show it soon, so the end is held back for a while. If they do not, the end is
 * believed of an endpoint that has replied that the run is over and has not lately spoilt an answer: every unmarked end is
 * whole where a service marks none, and elsewhere only a fault leaves out the mark.
 */
function decideFinalStreamEnd({
  attempt,
  check,
  hasSpoiltLately,
  holdLeftMs,
}: IAnswerEndView): AnswerEndDecision {
  if (!hasReplied(check) || check === 'running' || hasSpoiltLately(attempt.endpoint)) return 'claim';
  return holdLeftMs > 0 ? 'wait' : 'complete';
}

/**
 * Decides on a plain answer that only its connection ended, at an endpoint that was not found dead. Anything on the way
 * can end a connection in order, so that where answers carry marks, one without is taken for a part. Elsewhere the endpoint
 * has to reply that the run is over. The answer to a call that is not sent again waits for what other answers show. If
 * they show nothing it is dropped, as nothing of it has been delivered and an error can still tell that the call has run.
 */
function decidePlainEnd({ check, endForm, holdLeftMs, isRepeatable }: IAnswerEndView): AnswerEndDecision {
  if (endForm === 'marked') return 'malformed';
  if (!hasReplied(check) || check === 'running') return 'unproven';
  if (endForm === 'unmarked') return 'complete';
  return !isRepeatable && holdLeftMs > 0 ? 'wait' : 'unproven';
}

/**
 * Tells whether another endpoint has claimed the same end before, and this one has found nothing after it. An endpoint
 * that spoils answers is not believed, nor one that does not mark the end of its empty answer, unless it is alive and the
 * endpoints of its service mark none.
 */
function isAgreedEnd({ attempt, check, hasSpoiltLately, request, endForm }: IAnswerEndView): boolean {
  const { answer, endMark, endpoint, tokens } = attempt;
  const { claimedEnd } = request;
  if (answer?.kind !== 'model' || !claimedEnd || claimedEnd.endpoint === endpoint) return false;
  if (hasSpoiltLately(endpoint) || hasSpoiltLately(claimedEnd.endpoint)) return false;
  if (endMark === 'connection' && (endForm !== 'unmarked' || !hasReplied(check))) return false;
  return tokens === 0 && answer.lastEventId !== undefined && claimedEnd.lastEventId === answer.lastEventId;
}

/** Tells whether an endpoint was asked and has replied as the process that sent the answer. */
function hasReplied(check: RunCheckResult | undefined): boolean {
  return check !== undefined && !BREAKING_CHECKS.has(check) && !OPEN_CHECKS.has(check);
}
