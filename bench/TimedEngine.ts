import { Result } from 'true-myth';
import type { IAnswer, IAttemptError, ILoadReport } from '../src/common/blackboard/Types.js';
import type { AttemptPart, IAttemptCall } from '../src/common/request/Types.js';
import type { IClock, Millis } from '../src/common/Types.js';

/** Options of a timed engine. */
export interface ITimedEngineOptions {
  clock: IClock;
  /** Requests that run at once; the others wait at the engine in order of arrival. */
  slots: number;
  /** Tokens in one chunk. */
  chunkTokens: number;
  /** Tokens that a request produces, which the router does not know. */
  readTokens: (request: string) => number;
}

/** Time from the start of a request to its first token. */
export const PREFILL_MS = 60;

/** Time between tokens at an idle engine; it grows by half until all slots are in use. */
export const TOKEN_MS = 8;

interface IRun {
  call: IAttemptCall;
  onPart: (part: AttemptPart) => void;
  resolve: (result: Result<IAnswer, IAttemptError>) => void;
  tokensLeft: number;
  hasEnded: boolean;
}

/** In-memory model engine with continuous batching on a manual clock. */
export class TimedEngine {
  private readonly _waiting: IRun[] = [];
  private _running = 0;
  /** Factor on all times. */
  public slowness = 1;
  /** Attempts that were started. */
  public startCount = 0;

  constructor(private readonly _options: ITimedEngineOptions) {}

  /** Runs one attempt. */
  public run(call: IAttemptCall, onPart: IRun['onPart']): Promise<Result<IAnswer, IAttemptError>> {
    this.startCount += 1;
    return new Promise((resolve) => {
      const tokensLeft = this._options.readTokens(call.request.id);
      const run: IRun = { call, onPart, resolve, tokensLeft, hasEnded: false };
      call.signal.addEventListener('abort', () => {
        this._cancel(run);
      });
      this._waiting.push(run);
      this._startNext();
    });
  }

  /** Describes the load as the engine would report it now. */
  public buildReport(versions: readonly string[]): Omit<ILoadReport, 'receivedAt'> {
    return { running: this._running, waiting: this._waiting.length, cacheUse: 0, versions, isLeaving: false };
  }

  private _startNext(): void {
    while (this._running < this._options.slots) {
      const run = this._waiting.shift();
      if (!run) return;
      this._running += 1;
      this._schedule(run, PREFILL_MS + TOKEN_MS, 1);
    }
  }

  private _schedule(run: IRun, delay: Millis, tokens: number): void {
    this._options.clock.schedule(delay * this.slowness, () => {
      if (run.hasEnded) return;
      run.tokensLeft -= tokens;
      run.onPart({ kind: 'chunk', tokens, data: undefined });
      if (run.tokensLeft > 0) this._scheduleChunk(run);
      else this._finish(run);
    });
  }

  private _scheduleChunk(run: IRun): void {
    const tokens = Math.min(this._options.chunkTokens, run.tokensLeft);
    const tokenMs = TOKEN_MS * (1 + (0.5 * this._running) / this._options.slots);
    this._schedule(run, tokens * tokenMs, tokens);
  }

  private _finish(run: IRun): void {
    const completionTokens = this._options.readTokens(run.call.request.id);
    const usage = { promptTokens: 10, completionTokens };
    this._end(run);
    const version = run.call.attempt.version ?? '';
    run.resolve(Result.ok({ kind: 'model', version, usage, content: undefined }));
  }

  private _cancel(run: IRun): void {
    if (run.hasEnded) return;
    const position = this._waiting.indexOf(run);
    if (position >= 0) this._waiting.splice(position, 1);
    else this._end(run);
    run.hasEnded = true;
    run.resolve(Result.err({ kind: 'cancelled', ran: 'unknown', message: 'Cancelled.' }));
  }

  private _end(run: IRun): void {
    run.hasEnded = true;
    this._running -= 1;
    this._startNext();
  }
}
