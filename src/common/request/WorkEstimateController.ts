import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IRequestEntry, IWorkEstimate } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { Millis } from '../Types.js';
import { formatPool } from './EndpointIndex.js';
import { formatAccount } from './RequestQueue.js';

/** Weight of the newest sample in the smoothed estimates. */
const SAMPLE_WEIGHT = 0.05;

/**
 * Completion tokens count at most this many times the estimate, so that a few long answers do not shift it.
 */
const MAX_SAMPLE_FACTOR = 8;

interface IWorkSample {
  tokens: number;
  maxTokensShare: number;
  firstTokenMs: Millis;
  tokenMs: Millis;
  totalMs: Millis;
  isLong: boolean;
}

/**
 * Updates the `workEstimates` panel from finished attempts, per pool and per client account and kind of request.
 */
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
    const { workEstimates } = this._board;
    const previous = workEstimates.get(key);
    workEstimates.set(key, previous ? combineSample(previous, sample) : createEstimate(key, sample));
  }
}

/** Formats the key of the estimate for a client account and kind of request. */
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
    maxTokensShare: Math.min(1, tokens / Math.max(1, maxTokens)),
    firstTokenMs: firstTokenAt - attempt.plannedAt,
    tokenMs: (endedAt - firstTokenAt) / Math.max(1, tokens - 1),
    totalMs: endedAt - attempt.plannedAt,
    isLong: attempt.isLong ?? false,
  };
}

function createEstimate(key: string, { isLong, totalMs, ...sample }: IWorkSample): IWorkEstimate {
  return {
    key,
    ...sample,
    shortDurationMs: isLong ? 0 : totalMs,
    longDurationMs: isLong ? totalMs : undefined,
  };
}

function combineSample(previous: IWorkEstimate, sample: IWorkSample): IWorkEstimate {
  const { isLong, totalMs } = sample;
  return {
    key: previous.key,
    tokens: computeSmoothed(previous.tokens, Math.min(sample.tokens, previous.tokens * MAX_SAMPLE_FACTOR)),
    maxTokensShare: computeSmoothed(previous.maxTokensShare, sample.maxTokensShare),
    firstTokenMs: computeSmoothed(previous.firstTokenMs, sample.firstTokenMs),
    tokenMs: computeSmoothed(previous.tokenMs, sample.tokenMs),
    shortDurationMs: isLong ? previous.shortDurationMs : computeSmoothed(previous.shortDurationMs, totalMs),
    longDurationMs: isLong
      ? computeSmoothed(previous.longDurationMs ?? totalMs, totalMs)
      : previous.longDurationMs,
  };
}

function computeSmoothed(previous: number, sample: number): number {
  return previous + SAMPLE_WEIGHT * (sample - previous);
}
