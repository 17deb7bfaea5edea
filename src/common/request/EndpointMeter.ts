import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';

/** Options of the endpoint meter. */
export interface IEndpointMeterOptions {
  board: Blackboard;
  clock: IClock;
  /** Interval at which figures of attempts in flight are written to the panel. Default 100. */
  sampleMs?: Millis;
}

const DEFAULT_SAMPLE_MS: Millis = 100;

/** Share of the older figures that is kept over the default interval: a time constant of about 0.3 s. */
const SAMPLE_DECAY = 0.7;

/** Time of streams that must have been seen before a pace without tokens is believed. */
const MIN_STREAM_MS = 150;

/** Tokens that must have been seen before a pace is believed sooner. */
const MIN_TOKENS = 4;

type IMeasuredFigures = Pick<IEndpointEntry, 'paceMs' | 'streamMs' | 'firstTokenWaitMs'>;

interface IEndpointCounts {
  /** Attempts without output, oldest first, with the time when they were sent. */
  waiting: Map<string, Millis>;
  streams: number;
  /** Time up to which `streamMs` includes the open streams. */
  addedUntil: Millis;
  newTokens: number;
  streamMs: Millis;
  tokens: number;
}

/**
 * Measures what endpoints do for the attempts that are still in flight: the time between tokens, with
 * silent streams included, and the wait of the oldest attempt without output. Counts are kept per
 * endpoint, so that a sample costs one step per endpoint in use and none per attempt.
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

  /** Notes that an attempt was sent and has no output yet. */
  public startWait(endpoint: string, attempt: string): void {
    this._getCounts(endpoint).waiting.set(attempt, this._options.clock.now());
  }

  /** Notes that an attempt no longer waits for its first output. */
  public endWait(endpoint: string, attempt: string): void {
    this._getCounts(endpoint).waiting.delete(attempt);
  }

  /** Notes that an attempt has its first output. */
  public startStream(endpoint: string): void {
    this._updateStreams(endpoint, 1);
  }

  /** Notes that an attempt with output has ended. */
  public endStream(endpoint: string): void {
    this._updateStreams(endpoint, -1);
  }

  /** Counts tokens that arrived. */
  public countTokens(endpoint: string, tokens: number): void {
    this._getCounts(endpoint).newTokens += tokens;
  }

  public override dispose(): void {
    super.dispose();
    this._timer?.dispose();
  }

  /** Forgets older tokens, so that only what arrives from now on speaks for a probed endpoint. */
  private _clearPace(endpoint: string): void {
    const counts = this._counts.get(endpoint);
    if (!counts) return;
    counts.newTokens = 0;
    counts.streamMs = 0;
    counts.tokens = 0;
    counts.addedUntil = this._options.clock.now();
    this._write(endpoint, { paceMs: undefined, streamMs: 0, firstTokenWaitMs: this._measureWait(counts) });
  }

  private _getCounts(endpoint: string): IEndpointCounts {
    let counts = this._counts.get(endpoint);
    if (!counts) {
      counts = {
        waiting: new Map(),
        streams: 0,
        addedUntil: this._options.clock.now(),
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
    return this._options.sampleMs ?? DEFAULT_SAMPLE_MS;
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
    if (counts.streams === 0 && counts.waiting.size === 0 && counts.streamMs < 1)
      this._counts.delete(endpoint);
    const isKnown = counts.streamMs >= MIN_STREAM_MS || (counts.streamMs > 0 && counts.tokens >= MIN_TOKENS);
    // No token at all counts as half a one, which gives a lower bound of the pace.
    this._write(endpoint, {
      paceMs: isKnown ? counts.streamMs / Math.max(0.5, counts.tokens) : undefined,
      streamMs: counts.streamMs,
      firstTokenWaitMs: this._measureWait(counts),
    });
    const decay = SAMPLE_DECAY ** (this._sampleMs / DEFAULT_SAMPLE_MS);
    counts.streamMs *= decay;
    counts.tokens *= decay;
  }

  private _updateStreams(endpoint: string, change: 1 | -1): void {
    const counts = this._getCounts(endpoint);
    addStreamTime(counts, this._options.clock.now());
    counts.streams += change;
  }

  private _measureWait({ waiting }: IEndpointCounts): Millis | undefined {
    for (const sentAt of waiting.values()) return this._options.clock.now() - sentAt;
    return undefined;
  }

  private _write(endpoint: string, figures: IMeasuredFigures): void {
    const { board } = this._options;
    const entry = board.endpoints.get(endpoint);
    if (!entry) return;
    const isSame = entry.paceMs === figures.paceMs && entry.firstTokenWaitMs === figures.firstTokenWaitMs;
    if (!isSame) board.endpoints.update(endpoint, figures);
  }
}

function addStreamTime(counts: IEndpointCounts, now: Millis): void {
  counts.streamMs += counts.streams * (now - counts.addedUntil);
  counts.addedUntil = now;
}
