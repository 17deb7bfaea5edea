import type { Millis } from '../Types.js';
import type { IBaselineEntry } from './Types.js';

/** Samples that a quantile needs. With fewer, a single slow answer could set it. */
const MIN_SAMPLES = 8;

/** Number of samples at which all counts of a key are halved, so that old samples lose their weight. */
const MAX_SAMPLES = 400;

/** Buckets per factor of two. */
const BUCKETS_PER_OCTAVE = 2;

/** Distributions of durations by key, as histograms with buckets of equal ratio. */
export class LatencyBaseline {
  private readonly _histograms = new Map<string, Map<number, number>>();

  /** Adds one duration. */
  public addSample(key: string, ms: Millis): void {
    const bucket = Math.max(0, Math.floor(BUCKETS_PER_OCTAVE * Math.log2(Math.max(1, ms))));
    const histogram = this._addCount(key, bucket, 1);
    if (countSamples(histogram) < MAX_SAMPLES) return;
    for (const [known, count] of histogram) histogram.set(known, count / 2);
  }

  /** Adds the samples of another baseline. */
  public addEntries(entries: readonly IBaselineEntry[]): void {
    for (const { buckets, key } of entries)
      for (const [bucket, count] of buckets) this._addCount(key, bucket, count);
  }

  /** Lists the histograms whose keys begin with a prefix. */
  public listEntries(prefix: string): IBaselineEntry[] {
    return [...this._histograms]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, histogram]) => ({ key, buckets: [...histogram] }));
  }

  /**
   * Estimates a duration that the given share of the samples of a key does not exceed; `undefined` if there
   * are too few samples.
   */
  public estimateQuantile(key: string, share: number): Millis | undefined {
    const histogram = this._histograms.get(key);
    const total = histogram ? countSamples(histogram) : 0;
    if (!histogram || total < MIN_SAMPLES) return undefined;
    let seen = 0;
    for (const [bucket, count] of [...histogram].sort(([first], [second]) => first - second)) {
      seen += count;
      if (seen >= share * total) return 2 ** ((bucket + 1) / BUCKETS_PER_OCTAVE);
    }
    return undefined;
  }

  private _addCount(key: string, bucket: number, count: number): Map<number, number> {
    const histogram = this._histograms.get(key) ?? new Map<number, number>();
    this._histograms.set(key, histogram.set(bucket, (histogram.get(bucket) ?? 0) + count));
    return histogram;
  }
}

function countSamples(histogram: ReadonlyMap<number, number>): number {
  let total = 0;
  for (const count of histogram.values()) total += count;
  return total;
}
