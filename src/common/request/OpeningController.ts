import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';

/** What the decision on the beginning of an answer looks at. */
export interface IOpeningView {
  request: IRequestEntry;
  /** The model's opinion of its own answer, 0 to 1. */
  confidence: number;
  /** Version that would answer instead. */
  next: string;
  /** Time until the deadline. */
  leftMs: Millis;
}

/** Decides whether an answer that has begun is delivered. */
export type DecideOpening = (view: IOpeningView) => 'deliver' | 'escalate';

/** Options of the opening controller. */
export interface IOpeningOptions {
  board: Blackboard;
  clock: IClock;
  decideOpening: DecideOpening;
  /** Takes one attempt from the retry budget; false when it is used up. */
  takeRetryBudget: (request: IRequestEntry) => boolean;
}

/** Drops an answer in which its model has little confidence, before any of it reaches the caller. */
export class OpeningController extends Disposable {
  constructor(private readonly _options: IOpeningOptions) {
    super();
    this._register(
      _options.board.attempts.onChange(({ before, after }) => {
        if (after?.confidence !== undefined && before?.confidence === undefined) this._handleOpening(after);
      }),
    );
  }

  private _handleOpening(attempt: IAttemptEntry): void {
    const { board, clock, decideOpening, takeRetryBudget } = this._options;
    const request = board.requests.get(attempt.request);
    const { confidence } = attempt;
    const next = request && findNext(request, attempt.version);
    if (!request || next === undefined || confidence === undefined) return;
    // The caller has had a part of the answer: another model would not continue it.
    if (request.isContinued) return;
    if (request.phase !== 'running' || request.winner !== undefined) return;
    if (request.attemptCount >= (request.maxAttempts ?? Infinity)) return;
    const leftMs = request.deadlineAt - clock.now();
    if (decideOpening({ request, confidence, next, leftMs }) === 'deliver') return;
    if (!takeRetryBudget(request)) return;
    board.attempts.update(attempt.id, { phase: 'cancelled', isRejected: true });
    const usage = { promptTokens: 0, completionTokens: 0 };
    const draft = { version: attempt.version ?? '', usage };
    board.requests.update(request.id, {
      phase: 'queued',
      version: next,
      ran: 'yes',
      escalatedFrom: [...request.escalatedFrom, draft],
    });
  }
}

function findNext({ plan }: IRequestEntry, version: string | undefined): string | undefined {
  const index = plan?.steps.indexOf(version ?? '') ?? -1;
  return index < 0 ? undefined : plan?.steps[index + 1];
}
