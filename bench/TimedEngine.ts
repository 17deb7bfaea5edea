import { Result } from 'true-myth';
import type { IAnswer, IAttemptError, ILoadReport } from '../src/common/blackboard/Types.js';
import type { AttemptPart, IAttemptCall } from '../src/common/request/Types.js';
import type { IClock, Millis } from '../src/common/Types.js';

/** Options of a simulated engine. */
export interface ITimedEngineOptions {
  clock: IClock;
  /** Number of requests that run at the same time. Others wait at the engine in order of arrival. */
  slots: number;
  /** Largest number of tokens in a chunk. The first chunk always has one token. */
  chunkTokens: number;
  /** Returns the length of a request's answer in tokens. The router does not know it. */
  readTokenCount: (request: string) => number;
}

/** Time from the start of a request until the engine begins to generate its first token. */
export const PREFILL_MS = 60;

/** Time per token at an idle engine. It grows with the number of slots in use, to 1.5 times if all are. */
export const TOKEN_MS = 8;

interface IAttemptRun {
  call: IAttemptCall;
  onPart: (part: AttemptPart) => void;
  resolve: (result: Result<IAnswer, IAttemptError>) => void;
  tokensLeft: number;
  hasEnded: boolean;
}

/** Simulated model engine with continuous batching, driven by a manual clock. */
export class TimedEngine {
  private readonly _waiting: IAttemptRun[] = [];
  private _running = 0;
  /** Factor on all times of the engine. */
  public slowdownFactor = 1;
  /** Number of attempts that were sent to the engine, including those that still wait. */
  public startCount = 0;

  constructor(private readonly _options: ITimedEngineOptions) {}

  /** Runs an attempt; resolves when the answer is complete or the attempt is cancelled. */
  public run(call: IAttemptCall, onPart: IAttemptRun['onPart']): Promise<Result<IAnswer, IAttemptError>> {
    this.startCount += 1;
    return new Promise((resolve) => {
      const tokensLeft = this._options.readTokenCount(call.request.id);
      const run: IAttemptRun = { call, onPart, resolve, tokensLeft, hasEnded: false };
      call.signal.addEventListener('abort', () => {
        this._cancel(run);
      });
      this._waiting.push(run);
      this._startNext();
    });
  }

  /** Returns the load report that the engine would send now. */
  public buildReport(versions: readonly string[]): Omit<ILoadReport, 'receivedAt'> {
    return { running: this._running, waiting: this._waiting.length, cacheUse: 0, versions, isLeaving: false };
  }

  private _startNext(): void {
    while (this._running < this._options.slots) {
      const run = this._waiting.shift();
      if (!run) return;
      this._running += 1;
      this._scheduleTokens(run, PREFILL_MS + TOKEN_MS, 1);
    }
  }

  private _scheduleTokens(run: IAttemptRun, delay: Millis, tokens: number): void {
    this._options.clock.schedule(delay * this.slowdownFactor, () => {
      if (run.hasEnded) return;
      run.tokensLeft -= tokens;
      run.onPart({ kind: 'chunk', tokens, data: undefined });
      if (run.tokensLeft > 0) this._scheduleChunk(run);
      else this._finish(run);
    });
  }

  private _scheduleChunk(run: IAttemptRun): void {
    const tokens = Math.min(this._options.chunkTokens, run.tokensLeft);
    const tokenMs = TOKEN_MS * (1 + (0.5 * this._running) / this._options.slots);
    this._scheduleTokens(run, tokens * tokenMs, tokens);
  }

  private _finish(run: IAttemptRun): void {
    const completionTokens = this._options.readTokenCount(run.call.request.id);
    const usage = { promptTokens: 10, completionTokens };
    this._endRun(run);
    const version = run.call.attempt.version ?? '';
    run.resolve(Result.ok({ kind: 'model', version, usage, content: undefined }));
  }

  private _cancel(run: IAttemptRun): void {
    if (run.hasEnded) return;
    const position = this._waiting.indexOf(run);
    if (position >= 0) this._waiting.splice(position, 1);
    else this._endRun(run);
    run.hasEnded = true;
    run.resolve(Result.err({ kind: 'cancelled', ran: 'unknown', message: 'Cancelled.' }));
  }

  private _endRun(run: IAttemptRun): void {
    run.hasEnded = true;
    this._running -= 1;
    this._startNext();
  }
}
