import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';

/** Options of the endpoint meter. */
export interface IEndpointMeterOptions {
  board: Blackboard;
  clock: IClock;
  /** Interval at which the measurements are written to the `endpoints` panel. Default 100. */
  sampleIntervalMs?: Millis;
}

const DEFAULT_SAMPLE_MS: Millis = 100;

/** Weight that older counts keep after each default interval; it gives a time constant of about 0.3 s. */
const SAMPLE_DECAY = 0.7;

/** Stream time after which the time between tokens is published, even if few or no tokens have arrived. */
const MIN_STREAM_MS = 150;

/** Number of tokens after which the time between tokens is published before `MIN_STREAM_MS` is reached. */
const MIN_TOKENS = 4;

type IMeasuredFigures = Pick<IEndpointEntry, 'recentTokenMs' | 'recentStreamMs' | 'firstTokenWaitMs'>;

interface IEndpointCounts {
  /** Attempts without output, oldest first, and the time when each was sent. */
  waiting: Map<string, Millis>;
  /** Number of attempts in flight that have output. */
  openStreams: number;
  /** Time up to which the open streams are counted in `streamMs`. */
  streamMsUpdatedAt: Millis;
  /** Tokens that have arrived since the last sample. */
  newTokens: number;
  /** Sum of the time that streams have been open; earlier time counts with decaying weight. */
  streamMs: Millis;
  /** Tokens that have arrived up to the last sample; earlier tokens count with decaying weight. */
  tokens: number;
}

/**
 * Measures endpoints by their attempts in flight: the time between tokens, including streams that have
 * stalled, and the wait of the oldest attempt without output. Counts are kept per endpoint, so that the cost
 * of a sample grows with the number of endpoints in use and not with the number of attempts.
 */
export class EndpointMeter extends Disposable {
  private readonly _counts = new Map<string, IEndpointCounts>();
  private _timer: IDisposable | undefined;

  constructor(private readonly _options: IEndpointMeterOptions) {
    super();
    this._register(
      _options.board.endpoints.onChange(({ after, before, key }) => {
        if (after?.health === 'probing' && before?.health !== 'probing') this._clearPace(key);
      }),
    );
  }

  /** Records that an attempt was sent and has no output yet. */
  public startWait(endpoint: string, attempt: string): void {
    this._getCounts(endpoint).waiting.set(attempt, this._options.clock.now());
  }

  /** Notes that an attempt no longer waits for its first output. */
  public endWait(endpoint: string, attempt: string): void {
    this._getCounts(endpoint).waiting.delete(attempt);
  }

  /** Records that the first output of an attempt has arrived. */
  public startStream(endpoint: string): void {
    this._updateStreams(endpoint, 1);
  }

  /** Records that an attempt with output has ended. */
  public endStream(endpoint: string): void {
    this._updateStreams(endpoint, -1);
  }

  /** Adds tokens that have arrived. */
  public countTokens(endpoint: string, tokens: number): void {
    this._getCounts(endpoint).newTokens += tokens;
  }

  public override dispose(): void {
    super.dispose();
    this._timer?.dispose();
  }

  /** Resets the pace of an endpoint, so that its probe is judged only by tokens that arrive from now on. */
  private _clearPace(endpoint: string): void {
    const counts = this._counts.get(endpoint);
    if (!counts) return;
    counts.newTokens = 0;
    counts.streamMs = 0;
    counts.tokens = 0;
    counts.streamMsUpdatedAt = this._options.clock.now();
    this._write(endpoint, {
      recentTokenMs: undefined,
      recentStreamMs: 0,
      firstTokenWaitMs: this._measureLongestWait(counts),
    });
  }

  private _getCounts(endpoint: string): IEndpointCounts {
    let counts = this._counts.get(endpoint);
    if (!counts) {
      counts = {
        waiting: new Map(),
        openStreams: 0,
        streamMsUpdatedAt: this._options.clock.now(),
        newTokens: 0,
        streamMs: 0,
        tokens: 0,
      };
      this._counts.set(endpoint, counts);
    }
    this._startTimer();
    return counts;
  }

  private _startTimer(): void {
    if (this._timer || this._isDisposed) return;
    this._timer = this._options.clock.schedule(this._sampleMs, this._sampleAll);
  }

  private get _sampleMs(): Millis {
    return this._options.sampleIntervalMs ?? DEFAULT_SAMPLE_MS;
  }

  private readonly _sampleAll = (): void => {
    const { clock } = this._options;
    for (const [endpoint, counts] of this._counts) this._sample(endpoint, counts);
    this._timer = this._counts.size > 0 ? clock.schedule(this._sampleMs, this._sampleAll) : undefined;
  };

  private _sample(endpoint: string, counts: IEndpointCounts): void {
    addStreamTime(counts, this._options.clock.now());
    counts.tokens += counts.newTokens;
    counts.newTokens = 0;
    if (counts.openStreams === 0 && counts.waiting.size === 0 && counts.streamMs < 1)
      this._counts.delete(endpoint);
    const isPaceReliable =
      counts.streamMs >= MIN_STREAM_MS || (counts.streamMs > 0 && counts.tokens >= MIN_TOKENS);
    // The divisor is at least half a token, so that streams without tokens give a finite lower bound.
    this._write(endpoint, {
      recentTokenMs: isPaceReliable ? counts.streamMs / Math.max(0.5, counts.tokens) : undefined,
      recentStreamMs: counts.streamMs,
      firstTokenWaitMs: this._measureLongestWait(counts),
    });
    const decay = SAMPLE_DECAY ** (this._sampleMs / DEFAULT_SAMPLE_MS);
    counts.streamMs *= decay;
    counts.tokens *= decay;
  }

  private _updateStreams(endpoint: string, change: 1 | -1): void {
    const counts = this._getCounts(endpoint);
    addStreamTime(counts, this._options.clock.now());
    counts.openStreams += change;
  }

  private _measureLongestWait({ waiting }: IEndpointCounts): Millis | undefined {
    for (const sentAt of waiting.values()) return this._options.clock.now() - sentAt;
    return undefined;
  }

  private _write(endpoint: string, figures: IMeasuredFigures): void {
    const { board } = this._options;
    const entry = board.endpoints.get(endpoint);
    if (!entry) return;
    const isUnchanged =
      entry.recentTokenMs === figures.recentTokenMs && entry.firstTokenWaitMs === figures.firstTokenWaitMs;
    if (!isUnchanged) board.endpoints.update(endpoint, figures);
  }
}

function addStreamTime(counts: IEndpointCounts, now: Millis): void {
  counts.streamMs += counts.openStreams * (now - counts.streamMsUpdatedAt);
  counts.streamMsUpdatedAt = now;
}
