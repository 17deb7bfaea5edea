import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAnswer, IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import { formatPlan } from '../policy/Plans.js';
import { getRolloutShare } from '../policy/Versions.js';
import type { IClock, Millis } from '../Types.js';
import { countRating, formatRolloutKind, listComparisons, updateQuality } from './Quality.js';
import type { FetchRatings, IRating, SubmitAnswer } from './Types.js';

/** Options of the rating controller. */
export interface IRatingOptions {
  board: Blackboard;
  clock: IClock;
  submitAnswer: SubmitAnswer;
  fetchRatings: FetchRatings;
  /** Position of a request, 0 up to 1, that decides whether it is sampled. */
  hashPoint: (request: IRequestEntry, purpose: string) => number;
  /** Time between two reads of ratings. Default 1000. */
  pollMs?: Millis;
  /** Answers that may wait for their rating; the oldest is forgotten first. Default 10,000. */
  maxPending?: number;
}

interface IPending {
  service: string;
  kind: string;
  version: string;
  /** Versions tried up to this answer; absent for pinned sessions. */
  way: string | undefined;
  isAcceptedDraft: boolean;
  rollouts: readonly string[];
}

/** Has a sample of delivered answers rated, and writes the ratings to the `quality` panel. */
export class RatingController extends Disposable {
  private readonly _pending = new Map<string, IPending>();
  private readonly _options: Required<IRatingOptions>;
  private _timer: IDisposable | undefined;
  private _position = 0;

  constructor(options: IRatingOptions) {
    super();
    this._options = { pollMs: 1000, maxPending: 10_000, ...options };
    this._register(
      options.board.requests.onChange(({ before, after }) => {
        if (after?.phase !== 'billed' || before?.phase === 'billed' || !after.answer) return;
        if (this._isSampled(after)) this._sendDelivered(after, after.answer);
      }),
    );
  }

  /** Starts to read ratings at the interval. */
  public start(): void {
    this._timer = this._options.clock.schedule(this._options.pollMs, () => {
      void this._poll();
    });
  }

  public override dispose(): void {
    super.dispose();
    this._timer?.dispose();
  }

  /** Answers of unknown plans and of new versions are few and always rated, the others by share. */
  private _isSampled(request: IRequestEntry): boolean {
    const document = this._options.board.services.get(request.service)?.document;
    if (!document || request.answer?.kind !== 'model') return false;
    if (request.plan?.isExploration || document.versions[request.answer.version]?.stage === 'rolling-out') {
      return true;
    }
    const share = Math.max(document.learning.ratingShare, this._computeComparisonShare(request));
    return this._options.hashPoint(request, 'rating') < share;
  }

  /** Share of the stable version's answers that gives it as many ratings as the new version has. */
  private _computeComparisonShare(request: IRequestEntry): number {
    const { board } = this._options;
    const service = board.services.get(request.service);
    const version = request.answer?.kind === 'model' ? request.answer.version : '';
    const shares = listComparisons(board, request, version).map((name) => {
      const spec = service?.document.versions[name];
      const share = service && spec ? getRolloutShare(service, spec) : 0;
      return share < 0.5 ? share / (1 - share) : 1;
    });
    return Math.max(0, ...shares);
  }

  /** Has a rejected draft rated: it tells what its version would have delivered, at no cost to callers. */
  public recordDraft(request: IRequestEntry, attempt: IAttemptEntry, isAccepted: boolean): void {
    const { answer, id } = attempt;
    if (isAccepted || answer?.kind !== 'model' || !this._isSampled({ ...request, answer })) return;
    const way = formatWay(request, answer.version);
    const pending = { version: answer.version, way, isAcceptedDraft: false, rollouts: [] };
    this._sendAnswer(`${request.id}/${id}`, request, answer, pending);
  }

  private _sendDelivered(request: IRequestEntry, answer: IAnswer): void {
    if (answer.kind !== 'model') return;
    const { version } = answer;
    const isAcceptedDraft = request.plan !== undefined && request.plan.steps.at(-1) !== version;
    const rollouts = listComparisons(this._options.board, request, version);
    const way = formatWay(request, version);
    this._sendAnswer(request.id, request, answer, { version, way, isAcceptedDraft, rollouts });
  }

  private _sendAnswer(
    id: string,
    { kind, service }: IRequestEntry,
    answer: IAnswer,
    pending: Omit<IPending, 'service' | 'kind'>,
  ): void {
    const { maxPending, submitAnswer } = this._options;
    this._pending.set(id, { service, kind, ...pending });
    const [oldest] = this._pending.keys();
    if (this._pending.size > maxPending && oldest !== undefined) this._pending.delete(oldest);
    void submitAnswer({ request: id, service, kind, version: pending.version, answer }).then((sent) => {
      // Not repeated: the sample is small, and a rating service that is down must not gather work here.
      if (sent.isErr) this._pending.delete(id);
    });
  }

  private async _poll(): Promise<void> {
    const page = await this._options.fetchRatings(this._position);
    if (page.isOk) {
      this._position = page.value.next;
      for (const rating of page.value.ratings) this._applyRating(rating);
    }
    if (!this._isDisposed) this.start();
  }

  private _applyRating(rating: IRating): void {
    const pending = this._pending.get(rating.request);
    if (!pending) return;
    this._pending.delete(rating.request);
    const { board } = this._options;
    const { isAcceptedDraft, kind, service, version, way } = pending;
    if (way !== undefined) {
      updateQuality(board, { service, kind, version: way }, (entry) =>
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

function formatWay(request: IRequestEntry, version: string): string | undefined {
  const steps = request.plan?.steps;
  return steps && formatPlan(steps.slice(0, steps.indexOf(version) + 1));
}
