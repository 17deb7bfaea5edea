import { Result } from 'true-myth';
import type { IAnswer, IAttemptError } from '../common/blackboard/Types.js';
import type { AttemptPart, IAttemptCall } from '../common/request/Types.js';
import type { IClock, Millis } from '../common/Types.js';

/** Options of a simulated engine. */
export interface IPlayedEngineOptions {
  clock: IClock;
  /** Time to read a token of a prompt, by version. */
  prefillMsPerToken: Readonly<Record<string, Millis>>;
  /** Time between two tokens of an answer, by version, while the engine reads no prompt. */
  tokenMs: Readonly<Record<string, Millis>>;
  /** Number of tokens of an answer. */
  countTokens: (call: IAttemptCall) => number;
  /** The model's confidence in its answer, 0 to 1. */
  rateConfidence: (call: IAttemptCall) => number;
  /** Tokens that the memory holds, for answers in progress and prompts. Default: without limit. */
  cacheTokens?: number;
  /** How fast the engine works, relative to the usual. Default 1. */
  speed?: number;
}

/** How much slower tokens come for each second of prompts that wait to be read. */
const SLOWDOWN_PER_BACKLOG_S = 2;

/**
 * Simulated model engine: reads prompts one after another, keeps their prefixes by version, and slows the answers in
 * progress down while prompts wait.
 */
export class PlayedEngine {
  /** Prompt tokens that were not in the cache and had to be read. */
  public tokensRead = 0;
  /** Tokens of answers that nobody received to the end. */
  public tokensForNothing = 0;
  /** Tokens of answers that were received to the end. */
  public tokensDelivered = 0;
  private _freeAt: Millis = 0;
  private _running = 0;
  /** Tokens of each part that is kept, least recently used first. */
  private readonly _cache = new Map<string, number>();
  private _cachedTokens = 0;
  private _answerTokens = 0;

  constructor(private readonly _options: IPlayedEngineOptions) {}

  /** Runs an attempt, as the adapter of a real engine does. */
  public runAttempt(
    call: IAttemptCall,
    onPart: (part: AttemptPart) => void,
  ): Promise<Result<IAnswer, IAttemptError>> {
    const { clock, countTokens, speed = 1 } = this._options;
    const version = call.attempt.version ?? '';
    this._answerTokens += countTokens(call);
    const prefillMs = this._readPrompt(call, version) / speed;
    this._freeAt = Math.max(clock.now(), this._freeAt) + prefillMs;
    this._running += 1;
    return new Promise((resolve) => {
      clock.schedule(this._freeAt - clock.now(), () => {
        onPart({ kind: 'report', report: this._buildReport() });
        onPart({ kind: 'opening', confidence: this._options.rateConfidence(call) });
        this._sendTokens(call, version, onPart, resolve);
      });
      call.signal.addEventListener('abort', () => {
        resolve(Result.err({ kind: 'cancelled', message: 'cancelled', ran: 'yes' }));
      });
    });
  }

  private _readPrompt({ request: { target } }: IAttemptCall, version: string): Millis {
    if (target.kind !== 'model') return 0;
    const { prefixHashes, prefixTokens = [], promptTokens } = target;
    const keys = prefixHashes.map((hash) => `${version}|${hash}`);
    // A part is usable only together with all parts before it.
    const missing = keys.findIndex((key) => !this._cache.has(key));
    const known = (missing < 0 ? keys.length : missing) - 1;
    keys.forEach((key, index) => {
      this._addPart(key, (prefixTokens[index] ?? 0) - (prefixTokens[index - 1] ?? 0));
    });
    const tokens = promptTokens - (prefixTokens[known] ?? 0);
    this.tokensRead += tokens;
    return tokens * (this._options.prefillMsPerToken[version] ?? 0);
  }

  /** Keeps a part as the most recently used one, and evicts the least recently used ones beyond the memory. */
  private _addPart(part: string, tokens: number): void {
    const { cacheTokens = Infinity } = this._options;
    this._cachedTokens += tokens - (this._cache.get(part) ?? 0);
    this._cache.delete(part);
    this._cache.set(part, tokens);
    for (const [oldest, oldTokens] of this._cache) {
      if (this._cachedTokens + this._answerTokens <= cacheTokens) return;
      this._cache.delete(oldest);
      this._cachedTokens -= oldTokens;
    }
  }

  private _sendTokens(
    call: IAttemptCall,
    version: string,
    onPart: (part: AttemptPart) => void,
    resolve: (result: Result<IAnswer, IAttemptError>) => void,
  ): void {
    const { clock, countTokens, speed = 1, tokenMs } = this._options;
    const total = countTokens(call);
    let sent = 0;
    const sendNext = (): void => {
      if (call.signal.aborted) {
        this._running -= 1;
        this._answerTokens -= total;
        this.tokensForNothing += sent;
        return;
      }
      onPart({ kind: 'chunk', tokens: 1, data: sent });
      sent += 1;
      if (sent < total) {
        const backlogS = Math.max(0, this._freeAt - clock.now()) / 1000;
        const slowdown = (1 + SLOWDOWN_PER_BACKLOG_S * backlogS) / speed;
        clock.schedule((tokenMs[version] ?? 0) * slowdown, sendNext);
        return;
      }
      this._running -= 1;
      this._answerTokens -= total;
      this.tokensDelivered += total;
      const usage = { promptTokens: 0, completionTokens: total };
      resolve(Result.ok({ kind: 'model', version, usage, content: '' }));
    };
    // The response begins before its first token, so that an answer can be rejected by its confidence.
    clock.schedule(1, sendNext);
  }

  private _buildReport(): Extract<AttemptPart, { kind: 'report' }>['report'] {
    const receivedAt = this._options.clock.now();
    return {
      running: this._running,
      waiting: 0,
      cacheUse: 0,
      versions: [],
      isLeaving: false,
      slowness: 1 / (this._options.speed ?? 1),
      receivedAt,
    };
  }
}
