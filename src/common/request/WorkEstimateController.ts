import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IRequestEntry, IWorkEstimate } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { Millis } from '../Types.js';
import { formatPool } from './EndpointIndex.js';
import { formatAccount } from './RequestQueue.js';

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.05;

/** A sample counts at most this many times the usual, so that few long ones do not shift it. */
const MAX_SAMPLE_FACTOR = 8;

interface IWorkSample {
  tokens: number;
  limitUse: number;
  firstTokenMs: Millis;
  tokenMs: Millis;
  totalMs: Millis;
  isLong: boolean;
}

/** Keeps the `estimates` panel from finished attempts, by pool and by client account. */
export class WorkEstimateController extends Disposable {
  constructor(private readonly _board: Blackboard) {
    super();
    this._register(
      _board.attempts.onChange(({ before, after }) => {
        if (after?.phase !== 'finished' || before?.phase === 'finished') return;
        const request = _board.requests.get(after.request);
        if (request) this._observe(request, after);
      }),
    );
  }

  private _observe(request: IRequestEntry, attempt: IAttemptEntry): void {
    const sample = buildSample(request, attempt);
    this._update(formatPool(request), sample);
    if (request.target.kind === 'model') this._update(formatAccountEstimate(request), sample);
  }

  private _update(key: string, sample: IWorkSample): void {
    const { estimates } = this._board;
    const known = estimates.get(key);
    estimates.set(key, known ? combineSample(known, sample) : createEstimate(key, sample));
  }
}

/** Formats the key of an account's estimate. */
export function formatAccountEstimate(request: IRequestEntry): string {
  return `account:${formatAccount(request)}/${request.kind}`;
}

function buildSample(request: IRequestEntry, attempt: IAttemptEntry): IWorkSample {
  const endedAt = attempt.endedAt ?? attempt.plannedAt;
  const firstTokenAt = attempt.firstTokenAt ?? endedAt;
  const tokens = attempt.answer?.kind === 'model' ? attempt.answer.usage.completionTokens : 1;
  const maxTokens = request.target.kind === 'model' ? request.target.maxTokens : 1;
  return {
    tokens,
    limitUse: Math.min(1, tokens / Math.max(1, maxTokens)),
    firstTokenMs: firstTokenAt - attempt.plannedAt,
    tokenMs: (endedAt - firstTokenAt) / Math.max(1, tokens - 1),
    totalMs: endedAt - attempt.plannedAt,
    isLong: attempt.isLong ?? false,
  };
}

function createEstimate(key: string, { isLong, totalMs, ...sample }: IWorkSample): IWorkEstimate {
  return { key, ...sample, shortMs: isLong ? 0 : totalMs, longMs: isLong ? totalMs : undefined };
}

function combineSample(known: IWorkEstimate, sample: IWorkSample): IWorkEstimate {
  const { isLong, totalMs } = sample;
  return {
    key: known.key,
    tokens: combineSmoothed(known.tokens, Math.min(sample.tokens, known.tokens * MAX_SAMPLE_FACTOR)),
    limitUse: combineSmoothed(known.limitUse, sample.limitUse),
    firstTokenMs: combineSmoothed(known.firstTokenMs, sample.firstTokenMs),
    tokenMs: combineSmoothed(known.tokenMs, sample.tokenMs),
    shortMs: isLong ? known.shortMs : combineSmoothed(known.shortMs, totalMs),
    longMs: isLong ? combineSmoothed(known.longMs ?? totalMs, totalMs) : known.longMs,
  };
}

function combineSmoothed(known: number, sample: number): number {
  return known + SAMPLE_WEIGHT * (sample - known);
}
