import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAnswer, IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import { formatPlan } from '../policy/Plans.js';
import { getRolloutShare } from '../policy/Versions.js';
import type { IClock, Millis } from '../Types.js';
import { countRating, formatRolloutKind, listComparedRollouts, updateQuality } from './Quality.js';
import type { FetchRatings, IRating, SubmitAnswer } from './Types.js';

/** Options of the rating controller. */
export interface IRatingOptions {
  board: Blackboard;
  clock: IClock;
  submitAnswer: SubmitAnswer;
  fetchRatings: FetchRatings;
  /**
   * Maps a request and a purpose to a number from 0 up to, but not including, 1. An answer is sampled if
   * the number of its request is below the share to be rated.
   */
  hashToFraction: (request: IRequestEntry, purpose: string) => number;
  /** Time between two reads of ratings. Default 1000. */
  pollIntervalMs?: Millis;
  /**
   * Largest number of answers that wait for their rating. Beyond it, the oldest answer is forgotten and its
   * rating is ignored. Default 10,000.
   */
  maxPendingRatings?: number;
}

/** Submitted answer whose rating has not been read yet. */
interface IPendingRating {
  service: string;
  kind: string;
  version: string;
  /** Formatted steps of the plan up to the version; `undefined` without a plan, as in pinned sessions. */
  planPrefix: string | undefined;
  /** Whether the answer was delivered although the plan has further steps. */
  isAcceptedDraft: boolean;
  /** Rollouts in whose comparison the rating counts. */
  rollouts: readonly string[];
}

/**
 * Submits a sample of the delivered answers and rejected drafts to the rating service, and counts their
 * ratings in the `quality` panel.
 */
export class RatingController extends Disposable {
  private readonly _pending = new Map<string, IPendingRating>();
  private readonly _options: Required<IRatingOptions>;
  private _timer: IDisposable | undefined;
  private _ratingsPosition = 0;

  constructor(options: IRatingOptions) {
    super();
    this._options = { pollIntervalMs: 1000, maxPendingRatings: 10_000, ...options };
    this._register(
      options.board.requests.onChange(({ before, after }) => {
        if (after?.phase !== 'billed' || before?.phase === 'billed' || !after.answer) return;
        if (this._isSampled(after)) this._sendDeliveredAnswer(after, after.answer);
      }),
    );
  }

  /** Starts to poll the rating service. */
  public start(): void {
    this._timer = this._options.clock.schedule(this._options.pollIntervalMs, () => {
      void this._pollRatings();
    });
  }

  public override dispose(): void {
    super.dispose();
    this._timer?.dispose();
  }

  /**
   * Tells whether an answer is submitted for rating. Answers of explored plans and of versions that are
   * rolling out are few, so all of them are submitted. Of the other answers, the document's share is, or a
   * larger one where a rollout needs more ratings of the stable version.
   */
  private _isSampled(request: IRequestEntry): boolean {
    const document = this._options.board.services.get(request.service)?.document;
    if (!document || request.answer?.kind !== 'model') return false;
    if (request.plan?.isExploration || document.versions[request.answer.version]?.stage === 'rolling-out') {
      return true;
    }
    const share = Math.max(document.learning.ratingShare, this._computeComparisonShare(request));
    return this._options.hashToFraction(request, 'rating') < share;
  }

  /** Computes the share of the stable version's answers that gives it as many ratings as the new version. */
  private _computeComparisonShare(request: IRequestEntry): number {
    const { board } = this._options;
    const service = board.services.get(request.service);
    const version = request.answer?.kind === 'model' ? request.answer.version : '';
    const shares = listComparedRollouts(board, request, version).map((name) => {
      const spec = service?.document.versions[name];
      const share = service && spec ? getRolloutShare(service, spec) : 0;
      return share < 0.5 ? share / (1 - share) : 1;
    });
    return Math.max(0, ...shares);
  }

  /**
   * Submits a rejected draft for rating if it is sampled. Its rating shows how good the version's own answers
   * would be, and callers are not affected, because the draft is not delivered.
   */
  public recordDraft(request: IRequestEntry, attempt: IAttemptEntry, isAccepted: boolean): void {
    const { answer, id } = attempt;
    if (isAccepted || answer?.kind !== 'model' || !this._isSampled({ ...request, answer })) return;
    const planPrefix = formatPlanPrefix(request, answer.version);
    const pending = { version: answer.version, planPrefix, isAcceptedDraft: false, rollouts: [] };
    this._sendAnswer(`${request.id}/${id}`, request, answer, pending);
  }

  private _sendDeliveredAnswer(request: IRequestEntry, answer: IAnswer): void {
    if (answer.kind !== 'model') return;
    const { version } = answer;
    const isAcceptedDraft = request.plan !== undefined && request.plan.steps.at(-1) !== version;
    const rollouts = listComparedRollouts(this._options.board, request, version);
    const planPrefix = formatPlanPrefix(request, version);
    this._sendAnswer(request.id, request, answer, { version, planPrefix, isAcceptedDraft, rollouts });
  }

  private _sendAnswer(
    id: string,
    { kind, service }: IRequestEntry,
    answer: IAnswer,
    pending: Omit<IPendingRating, 'service' | 'kind'>,
  ): void {
    const { maxPendingRatings, submitAnswer } = this._options;
    this._pending.set(id, { service, kind, ...pending });
    const [oldest] = this._pending.keys();
    if (this._pending.size > maxPendingRatings && oldest !== undefined) this._pending.delete(oldest);
    void submitAnswer({ request: id, service, kind, version: pending.version, answer }).then((sent) => {
      // No retry: the sample is small, and submissions must not pile up while the rating service is down.
      if (sent.isErr) this._pending.delete(id);
    });
  }

  private async _pollRatings(): Promise<void> {
    const page = await this._options.fetchRatings(this._ratingsPosition);
    if (page.isOk) {
      this._ratingsPosition = page.value.next;
      for (const rating of page.value.ratings) this._applyRating(rating);
    }
    if (!this._isDisposed) this.start();
  }

  private _applyRating(rating: IRating): void {
    const pending = this._pending.get(rating.request);
    if (!pending) return;
    this._pending.delete(rating.request);
    const { board } = this._options;
    const { isAcceptedDraft, kind, service, version, planPrefix } = pending;
    if (planPrefix !== undefined) {
      updateQuality(board, { service, kind, version: planPrefix }, (entry) =>
        countRating(entry, rating.score, isAcceptedDraft),
      );
    }
    for (const rollout of pending.rollouts) {
      updateQuality(board, { service, kind: formatRolloutKind(rollout), version }, (entry) =>
        rating.score === 'good' ? { good: entry.good + 1 } : { bad: entry.bad + 1 },
      );
    }
  }
}

function formatPlanPrefix(request: IRequestEntry, version: string): string | undefined {
  const steps = request.plan?.steps;
  return steps && formatPlan(steps.slice(0, steps.indexOf(version) + 1));
}
