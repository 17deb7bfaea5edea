import { build, type Histogram } from 'hdr-histogram-js';
import type { Millis } from '../common/Types.js';
import type { ICallOutcome, ILoadSummary, IQuantiles } from './Types.js';

const MICROS_PER_MS = 1000;
/** Upper limit of the histograms, one hour. Longer durations are recorded as one hour. */
const MAX_TRACKABLE_MICROS = 3_600_000_000;

/** Collects the outcomes of the requests of a load in latency histograms and counters. */
export class LoadRecorder {
  private readonly _firstTokenTimes = createHistogram();
  private readonly _tokenIntervals = createHistogram();
  private readonly _totalTimes = createHistogram();
  private readonly _sendDelays = createHistogram();
  private readonly _statusCounts = new Map<string, number>();
  private readonly _codeCounts = new Map<string, number>();
  private readonly _ranCounts = new Map<string, number>();
  private _completeCount = 0;
  private _tokenCount = 0;
  private _requestCount = 0;

  /** Records the time between two successive tokens of one stream. */
  public recordTokenInterval(intervalMs: Millis): void {
    recordMillis(this._tokenIntervals, intervalMs);
  }

  /** Records the outcome of a request, which is that of its last try. */
  public recordOutcome(outcome: ICallOutcome): void {
    this._requestCount += 1;
    this._tokenCount += outcome.tokens;
    recordMillis(this._sendDelays, outcome.lateMs);
    addCount(this._statusCounts, String(outcome.status));
    if (outcome.code !== undefined) addCount(this._codeCounts, outcome.code);
    if (outcome.ran !== undefined) addCount(this._ranCounts, outcome.ran);
    if (!outcome.isComplete) return;
    this._completeCount += 1;
    recordMillis(this._totalTimes, outcome.totalMs);
    if (outcome.firstTokenMs !== undefined) recordMillis(this._firstTokenTimes, outcome.firstTokenMs);
  }

  /**
   * Builds the summary of the recorded outcomes. `firstTokenMs` and `totalMs` cover complete answers only;
   * `lateMs` covers the last try of each request, and `betweenTokensMs` the streams of all tries.
   */
  public buildSummary(seed: number, durationMs: Millis): ILoadSummary {
    return {
      seed,
      requests: this._requestCount,
      durationMs,
      complete: this._completeCount,
      tokens: this._tokenCount,
      firstTokenMs: readQuantiles(this._firstTokenTimes),
      betweenTokensMs: readQuantiles(this._tokenIntervals),
      totalMs: readQuantiles(this._totalTimes),
      lateMs: readQuantiles(this._sendDelays),
      statuses: Object.fromEntries(this._statusCounts),
      codes: Object.fromEntries(this._codeCounts),
      ran: Object.fromEntries(this._ranCounts),
    };
  }
}

/** Computes the quantiles of a list of durations. */
export function computeQuantiles(durations: readonly Millis[]): IQuantiles {
  const histogram = createHistogram();
  for (const duration of durations) recordMillis(histogram, duration);
  return readQuantiles(histogram);
}

/** Creates a histogram of microseconds with a precision of three significant digits. */
function createHistogram(): Histogram {
  return build({ highestTrackableValue: MAX_TRACKABLE_MICROS, numberOfSignificantValueDigits: 3 });
}

function recordMillis(histogram: Histogram, duration: Millis): void {
  histogram.recordValue(Math.min(MAX_TRACKABLE_MICROS, Math.max(0, Math.round(duration * MICROS_PER_MS))));
}

function readQuantiles(histogram: Histogram): IQuantiles {
  const readPercentile = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
  const count = histogram.totalCount;
  const mean = count === 0 ? 0 : Math.round(histogram.mean) / MICROS_PER_MS;
  return {
    count,
    mean,
    p50: readPercentile(50),
    p90: readPercentile(90),
    p95: readPercentile(95),
    p99: readPercentile(99),
    max: histogram.maxValue / MICROS_PER_MS,
  };
}

function addCount(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
