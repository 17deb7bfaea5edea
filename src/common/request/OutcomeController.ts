import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import type { IJournal, JournalEntry } from '../coordination/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock } from '../Types.js';
import { combineRan, hasEnded, refuseRequest } from './Refusals.js';
import type { DecideAcceptance, DecideRetry } from './Types.js';

/** Options of the outcome controller. */
export interface IOutcomeOptions {
  board: Blackboard;
  clock: IClock;
  decideRetry: DecideRetry;
  /** Takes one attempt from the retry budget; false if the budget is used up. */
  takeRetryBudget: (request: IRequestEntry) => boolean;
  /**
   * Tells drafts, which are left to the escalation controller, from final answers. Default: all are final.
   */
  decideAcceptance?: DecideAcceptance;
  /** Journal that holds the claims of non-idempotent requests. Default: no request is claimed. */
  claims?: IClaimJournal;
}

/** Journal that holds claims, and the functions needed to release one. */
export interface IClaimJournal {
  journal: IJournal;
  hashKey: (request: IRequestEntry) => string;
  /** Keeps journal entries that could not be appended, and appends them later. */
  holdEntries: (key: string, entries: readonly JournalEntry[]) => Promise<void>;
}

/** Turns a finished or failed attempt into an answer, a retry or a refusal of its request. */
export class OutcomeController extends Disposable {
  constructor(private readonly _options: IOutcomeOptions) {
    super();
    this._register(
      _options.board.attempts.onChange(({ before, after }) => {
        if (!after || before?.phase === after.phase) return;
        if (after.phase === 'finished') this._handleFinished(after);
        if (after.phase === 'failed') this._handleFailed(after);
      }),
    );
    this._register(
      _options.board.requests.onChange(({ before, after }) => {
        if (after?.phase === 'refused' && before?.phase !== 'refused') this._releaseClaim(after);
      }),
    );
  }

  private _handleFinished(attempt: IAttemptEntry): void {
    const { board } = this._options;
    const request = board.requests.get(attempt.request);
    if (request?.phase !== 'running') return;
    if (request.winningAttempt !== undefined && request.winningAttempt !== attempt.id) return;
    if (this._options.decideAcceptance?.(request, attempt).kind === 'check') return;
    const { answer } = attempt;
    board.requests.update(request.id, { phase: 'answered', winningAttempt: attempt.id, ran: 'yes', answer });
  }

  private _handleFailed(attempt: IAttemptEntry): void {
    const { board, clock, decideRetry, takeRetryBudget } = this._options;
    const request = board.requests.get(attempt.request);
    if (!request || !attempt.error || hasEnded(request)) return;
    const ran = combineRan(request.ran, attempt.error.ran);
    const isWithdrawn = attempt.error.kind === 'evacuated';
    const failedEndpoints = [...(request.failedEndpoints ?? []), ...(isWithdrawn ? [] : [attempt.endpoint])];
    const { eventSteps, lastEventId, nextEventId } = attempt.error;
    const hasNewEvents = lastEventId !== undefined && lastEventId !== request.resumeAfter;
    const progress = {
      ...(hasNewEvents ? { resumeAfter: lastEventId, hasPartialDelivery: true } : {}),
      ...(eventSteps === undefined ? {} : { eventSteps }),
      ...(lastEventId === undefined || nextEventId === undefined
        ? {}
        : { claimedGap: { endpoint: attempt.endpoint, lastEventId, nextEventId } }),
    };
    board.requests.update(request.id, { ran, failedEndpoints, ...progress });
    if (this._hasOtherAttemptInFlight(request, attempt)) return;
    const view = { request: { ...request, ran }, attempt, error: attempt.error, now: clock.now() };
    // Take from the budget only if nothing else rules out the retry, and if an endpoint may have seen the attempt.
    const decisionWithBudget = decideRetry({ ...view, hasBudget: true });
    const decision =
      decisionWithBudget.kind === 'retry' && !isWithdrawn && !takeRetryBudget(request)
        ? decideRetry({ ...view, hasBudget: false })
        : decisionWithBudget;
    if (decision.kind === 'refuse') {
      // After the first events of a stream, the text of an error would look like a part of it.
      const hasDelivered = request.hasPartialDelivery === true || hasNewEvents;
      const { answer } = attempt.error;
      // Its caller would send the call again, which may have run.
      const isWithheld = answer?.kind === 'plain' && answer.deniesRun === true && !request.isIdempotent;
      if (isWithheld) board.attempts.update(attempt.id, { isAnswerWithheld: true });
      if (answer && !hasDelivered && !isWithheld)
        board.requests.update(request.id, { phase: 'answered', winningAttempt: attempt.id, answer });
      else refuseRequest(board, request.id, decision.refusal);
      return;
    }
    clock.schedule(decision.delayMs, () => {
      if (board.requests.get(request.id)?.phase === 'running') {
        board.requests.update(request.id, { phase: 'queued', winningAttempt: undefined });
      }
    });
  }

  private _hasOtherAttemptInFlight(request: IRequestEntry, attempt: IAttemptEntry): boolean {
    return (request.attemptIds ?? []).some((id) => {
      const phase = this._options.board.attempts.get(id)?.phase;
      const isOpen = phase === 'planned' || phase === 'sent' || phase === 'streaming' || phase === 'doubted';
      return id !== attempt.id && isOpen;
    });
  }

  /** Releases the claim of a refused request that certainly did not run, so that a repeat can run. */
  private _releaseClaim(request: IRequestEntry): void {
    if (request.isIdempotent || request.attemptCount === 0 || request.refusal?.ran !== 'no') return;
    const { claims } = this._options;
    if (!claims) return;
    const key = claims.hashKey(request);
    void appendOrHold(claims, key, [{ kind: 'release', key, request: request.id }]);
  }
}

async function appendOrHold(
  { holdEntries, journal }: IClaimJournal,
  key: string,
  entries: readonly JournalEntry[],
): Promise<void> {
  const released = await journal.append(key, entries);
  if (released.isErr) await holdEntries(key, entries);
}
