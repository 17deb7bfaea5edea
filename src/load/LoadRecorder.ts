import { build, type Histogram } from 'hdr-histogram-js';
import type { Millis } from '../common/Types.js';
import type { ICallOutcome, ILoadSummary, IQuantiles } from './Types.js';

/** Histograms hold microseconds, up to an hour, with three digits. */
const MICROS_PER_MS = 1000;
const LONGEST_MICROS = 3_600_000_000;

/** Collects the outcomes of a load into histograms and counts. */
export class LoadRecorder {
  private readonly _firstToken = createHistogram();
  private readonly _betweenTokens = createHistogram();
  private readonly _total = createHistogram();
  private readonly _late = createHistogram();
  private readonly _statuses = new Map<string, number>();
  private readonly _codes = new Map<string, number>();
  private readonly _ran = new Map<string, number>();
  private _complete = 0;
  private _tokens = 0;
  private _requests = 0;

  /** Records the time between two tokens of one stream. */
  public recordGap(gapMs: Millis): void {
    recordMillis(this._betweenTokens, gapMs);
  }

  /** Records the last try of a request. */
  public recordOutcome(outcome: ICallOutcome): void {
    this._requests += 1;
    this._tokens += outcome.tokens;
    recordMillis(this._late, outcome.lateMs);
    addCount(this._statuses, String(outcome.status));
    if (outcome.code !== undefined) addCount(this._codes, outcome.code);
    if (outcome.ran !== undefined) addCount(this._ran, outcome.ran);
    if (!outcome.isComplete) return;
    this._complete += 1;
    recordMillis(this._total, outcome.totalMs);
    if (outcome.firstTokenMs !== undefined) recordMillis(this._firstToken, outcome.firstTokenMs);
  }

  /** Sums up what was recorded. Quantiles cover complete answers only. */
  public buildSummary(seed: number, durationMs: Millis): ILoadSummary {
    return {
      seed,
      requests: this._requests,
      durationMs,
      complete: this._complete,
      tokens: this._tokens,
      firstTokenMs: readQuantiles(this._firstToken),
      betweenTokensMs: readQuantiles(this._betweenTokens),
      totalMs: readQuantiles(this._total),
      lateMs: readQuantiles(this._late),
      statuses: Object.fromEntries(this._statuses),
      codes: Object.fromEntries(this._codes),
      ran: Object.fromEntries(this._ran),
    };
  }
}

/** Computes quantiles of a list of times. */
export function computeQuantiles(times: readonly Millis[]): IQuantiles {
  const histogram = createHistogram();
  for (const time of times) recordMillis(histogram, time);
  return readQuantiles(histogram);
}

function createHistogram(): Histogram {
  return build({ highestTrackableValue: LONGEST_MICROS, numberOfSignificantValueDigits: 3 });
}

function recordMillis(histogram: Histogram, time: Millis): void {
  histogram.recordValue(Math.min(LONGEST_MICROS, Math.max(0, Math.round(time * MICROS_PER_MS))));
}

function readQuantiles(histogram: Histogram): IQuantiles {
  const read = (percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
  const count = histogram.totalCount;
  const mean = count === 0 ? 0 : Math.round(histogram.mean) / MICROS_PER_MS;
  return {
    count,
    mean,
    p50: read(50),
    p90: read(90),
    p95: read(95),
    p99: read(99),
    max: histogram.maxValue / MICROS_PER_MS,
  };
}

function addCount(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
