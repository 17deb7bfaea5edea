import type { Blackboard } from '../blackboard/Blackboard.js';
import type { AttemptErrorKind, IAttemptEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import { recordRunCheck } from './AttemptPlan.js';
import { hasSpoiltLately } from './DoubtfulEnds.js';
import { findPlainEndForm } from './PlainEnds.js';
import { findStreamEndForm } from './StreamTraits.js';
import type { AnswerEndDecision, CheckRun, DecideAnswerEnd, EndForm, RunCheckResult } from './Types.js';

/** Options of the answer end controller. */
export interface IAnswerEndOptions {
  board: Blackboard;
  clock: IClock;
  decideAnswerEnd: DecideAnswerEnd;
  /** Asks an endpoint, on another connection, whether it is alive and how far the run has come. */
  checkRun: CheckRun;
}

/** Delay before an endpoint is asked again that could not be reached. One at its limit resets new connections. */
const RECHECK_DELAY_MS: Millis = 100;

/** Delay before an endpoint is asked again that reports a run as running. Its reports may be some hundred ms old. */
const REPORT_DELAY_MS: Millis = 500;

/** Decides whether answers are complete whose end is in doubt, and asks their endpoints first if need be. */
export class AnswerEndController extends Disposable {
  constructor(private readonly _options: IAnswerEndOptions) {
    super();
    this._register(
      _options.board.attempts.onChange(({ before, after }) => {
        if (after?.phase === 'doubted' && before?.phase !== 'doubted') void this._handleDoubted(after);
      }),
    );
  }

  private async _handleDoubted(attempt: IAttemptEntry): Promise<void> {
    let decision = this._decide(attempt, undefined);
    if (decision === 'check') {
      const check = await this._checkEndpoint(attempt);
      if (this._isDisposed) return;
      decision = this._decide(attempt, check);
    }
    this._apply(attempt, decision);
  }

  private _decide(attempt: IAttemptEntry, check: RunCheckResult | undefined): AnswerEndDecision {
    const { board, clock, decideAnswerEnd } = this._options;
    const request = board.requests.get(attempt.request);
    // The deadline or the caller has ended the request, so that nothing follows from the decision but the check.
    if (!request) return check === 'unreachable' ? 'broken' : 'complete';
    return decideAnswerEnd({
      request,
      attempt,
      check,
      endForm: this._findEndForm(attempt),
      leftMs: request.deadlineAt - clock.now(),
      hasSpoiltLately: (id) => hasSpoiltLately(board.endpoints.get(id), clock.now()),
    });
  }

  private _findEndForm({ answer, endpoint, request }: IAttemptEntry): EndForm {
    const { board } = this._options;
    if (answer?.kind === 'model') return findStreamEndForm(board, endpoint);
    return findPlainEndForm(board, endpoint, board.requests.get(request)?.route);
  }

  private async _checkEndpoint(attempt: IAttemptEntry): Promise<RunCheckResult> {
    const first = await this._sendCheck(attempt);
    const delayMs = findRecheckDelay(attempt, first, this._findEndForm(attempt));
    const check = delayMs === undefined ? first : await this._checkAgain(attempt, first, delayMs);
    recordRunCheck(this._options, attempt, { result: check, silentMs: 0 });
    return check;
  }

  /** Asks an endpoint once more. No reply does not take back that it has refused the connection. */
  private async _checkAgain(
    attempt: IAttemptEntry,
    first: RunCheckResult,
    delayMs: Millis,
  ): Promise<RunCheckResult> {
    const { clock } = this._options;
    await new Promise<void>((resolve) => {
      clock.schedule(delayMs, resolve);
    });
    const check = await this._sendCheck(attempt);
    const hasReply = check !== 'unanswered' && check !== 'silent';
    return first === 'unreachable' && !hasReply ? first : check;
  }

  private async _sendCheck(attempt: IAttemptEntry): Promise<RunCheckResult> {
    const { board, checkRun } = this._options;
    const request = board.requests.get(attempt.request);
    const endpoint = board.endpoints.get(attempt.endpoint);
    // An endpoint that is no longer listed cannot be asked.
    if (!request || !endpoint) return 'unanswered';
    if (endpoint.incarnation !== attempt.incarnation) return 'replaced';
    const { signal } = new AbortController();
    try {
      return await checkRun({ attempt, request, endpoint, signal }, attempt.tokens);
    } catch {
      // The result is logged with the check.
      return 'unanswered';
    }
  }

  private _apply(attempt: IAttemptEntry, decision: AnswerEndDecision): void {
    const { board, clock } = this._options;
    const { answer, endpoint: id } = attempt;
    if (decision === 'complete') {
      board.endpoints.update(id, { consecutiveFailures: 0 });
      board.attempts.update(attempt.id, { phase: 'finished' });
    } else if (decision === 'claim') {
      const lastEventId = answer?.kind === 'model' ? answer.lastEventId : undefined;
      board.requests.update(attempt.request, { claimedEnd: { endpoint: id, lastEventId } });
      this._fail(attempt, 'unconfirmed', 'Another endpoint has to confirm the end of the answer.');
    } else if (decision === 'continue') {
      this._fail(attempt, 'unconfirmed', 'An answer without any event is no end of a stream.');
    } else if (decision === 'unproven') {
      this._fail(attempt, 'unconfirmed', 'Nothing shows that the answer is whole.');
    } else {
      const consecutiveFailures = (board.endpoints.get(id)?.consecutiveFailures ?? 0) + 1;
      board.endpoints.update(id, { consecutiveFailures, spoiltAt: clock.now() });
      if (decision === 'malformed')
        this._fail(attempt, 'malformed', 'Nothing marks the end of the answer, as in other answers.');
      else if (attempt.doubt === 'endpoint-spoils')
        this._fail(
          attempt,
          'crashed',
          'The endpoint reports more events than came before the end of its answer.',
        );
      else
        this._fail(attempt, 'crashed', 'The endpoint did not outlast its answer, whose end nothing marks.');
    }
  }

  private _fail({ answer, id }: IAttemptEntry, kind: AttemptErrorKind, message: string): void {
    const { eventSteps, lastEventId } = answer?.kind === 'model' ? answer : {};
    const position = {
      ...(lastEventId === undefined ? {} : { lastEventId }),
      ...(eventSteps === undefined ? {} : { eventSteps }),
    };
    const error = { kind, ran: 'yes' as const, message, ...position };
    this._options.board.attempts.update(id, { phase: 'failed', answer: undefined, error });
  }
}

/** Finds after which time an endpoint is asked again; `undefined` if its first reply decides. */
function findRecheckDelay(
  { answer, doubt }: IAttemptEntry,
  check: RunCheckResult,
  endForm: EndForm,
): Millis | undefined {
  // A refusal does not change the decision on an answer whose end is marked.
  if (check === 'unreachable') return doubt === 'endpoint-spoils' ? undefined : RECHECK_DELAY_MS;
  // No reply confirms a plain answer where others have marks, and a call that is sent again has little time.
  if (answer?.kind !== 'plain' || endForm !== 'unmarked') return undefined;
  if (check === 'running') return REPORT_DELAY_MS;
  return check === 'unanswered' || check === 'silent' ? RECHECK_DELAY_MS : undefined;
}
