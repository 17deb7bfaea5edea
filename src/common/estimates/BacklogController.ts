import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import {
  computeFilledShare,
  createReadHolderShare,
  findCacheTokens,
  formatCachedPrefix,
  listPeers,
  recordCacheCheck,
  recordProcess,
  recordPrompt,
  type FindHolders,
} from './CachedPrompts.js';
import { estimatePromptWork, getMsPerToken, getSlowness } from './PromptWork.js';
import type { IEndpointBacklog, IPromptWork, IRecentWaits } from './Types.js';

/** Options of the backlog controller. */
export interface IBacklogOptions {
  board: Blackboard;
  clock: IClock;
  /** Finds the endpoints that other hosts send a prefix to. Default: none are known. */
  findHolders?: FindHolders;
}

/** Largest number of entries in the `cachedPrefixes` panel, at about 200 bytes each. The oldest are removed first. */
const MAX_CACHED_PREFIXES = 20_000;

/** Fewest tokens of a prompt by which the time to read a token is measured. With fewer, other delays prevail. */
const MIN_RATE_TOKENS = 400;

/**
 * Factors by which the measured time per token changes. A sample includes the wait for other prompts, so the rate has
 * to follow the lowest samples: it falls faster than it rises.
 */
const RATE_DECREASE = 0.8;
const RATE_INCREASE = 1.02;

/** Age up to which the wait of another attempt shows that the endpoint is busy. */
const RECENT_DELAY_MS: Millis = 1000;

/** Number of attempts whose mean wait shows that of the next. With fewer, chance prevails; more are older. */
const RECENT_WAITS = 4;

/** An attempt that has not begun to answer. */
interface IPendingAttempt extends IPromptWork {
  endpoint: string;
  version: string;
  service: string;
  promptTokens: number;
  sentAt: Millis;
  /** Wait for other prompts that was expected when the attempt was sent. */
  otherWaitMs: Millis;
}

/**
 * Keeps the `endpointBacklogs`, `recentWaits`, `prefillRates`, `cachedPrefixes`, `endpointPrompts`, `servicePrompts` and
 * `cacheChecks` panels: what endpoints still have to read for this host, how long attempts waited before they began,
 * which endpoints have read which prompts, how much memory these took, and whether they were cached as expected.
 */
export class BacklogController extends Disposable {
  private readonly _pending = new Map<string, IPendingAttempt>();

  constructor(private readonly _options: IBacklogOptions) {
    super();
    const { board } = _options;
    this._register(
      board.attempts.onChange(({ key, before, after }) => {
        if (after && !before) this._startAttempt(after);
        else if (after && hasBegun(after)) this._endWait(key, true);
        else if (!after || after.phase === 'failed' || after.phase === 'cancelled') this._endWait(key, false);
      }),
    );
    const { clock } = _options;
    for (const endpoint of board.endpoints.list()) recordProcess(board, undefined, endpoint, clock.now());
    this._register(
      board.endpoints.onChange(({ key, before, after }) => {
        if (!after) board.endpointBacklogs.delete(key);
        recordProcess(board, before, after, clock.now());
      }),
    );
  }

  private _startAttempt(attempt: IAttemptEntry): void {
    const { board, clock } = this._options;
    const { endpoint, version } = attempt;
    const request = board.requests.get(attempt.request);
    if (request?.target.kind !== 'model' || version === undefined) return;
    const now = clock.now();
    const assumedCachedShare = this._readCachedShare(request, endpoint, now);
    const work = estimatePromptWork(board, { request, endpoint, assumedCachedShare, now });
    const {
      delayMs = 0,
      measuredAt = -Infinity,
      pendingMs: otherWaitMs = 0,
    } = board.endpointBacklogs.get(endpoint) ?? {};
    this._pending.set(attempt.id, {
      ...work,
      endpoint,
      version,
      service: request.service,
      promptTokens: request.target.promptTokens,
      sentAt: now,
      otherWaitMs: Math.max(otherWaitMs, now - measuredAt < RECENT_DELAY_MS ? delayMs : 0),
    });
    this._updateBacklog(endpoint, ({ pendingMs }) => ({ pendingMs: pendingMs + work.prefillMs }));
    recordPrompt(board, { request, endpoint, work, answerTokens: attempt.expectedTokens ?? 0 });
    this._updateRecentWaits(version);
    this._recordPrefixes(request, endpoint, version, now);
  }

  private _readCachedShare(request: IRequestEntry, endpoint: string, now: Millis): number {
    const { board, findHolders } = this._options;
    if (!findHolders || findCacheTokens(board, request.service) === undefined) return 0;
    const endpoints = listPeers(board, request);
    const holderShare = createReadHolderShare({ findHolders, request, endpoints })({ id: endpoint });
    return holderShare * computeFilledShare(board, { service: request.service, endpoint, now });
  }

  private _endWait(id: string, isMeasured: boolean): void {
    const pending = this._pending.get(id);
    if (!pending) return;
    this._pending.delete(id);
    const { endpoint, prefillMs, sentAt, uncachedTokens, version } = pending;
    const { board } = this._options;
    const now = this._options.clock.now();
    const waitMs = now - sentAt;
    const slowness = getSlowness(board, endpoint, now);
    const msPerToken = slowness * getMsPerToken(board, version);
    if (isMeasured) recordCacheCheck(board, { ...pending, work: pending, msPerToken, waitMs });
    if (isMeasured && uncachedTokens >= MIN_RATE_TOKENS)
      this._updateRate(version, waitMs / uncachedTokens / slowness);
    const delayMs = Math.max(0, waitMs - prefillMs);
    this._updateRecentWaits(version, isMeasured ? { sentAt, waitMs: delayMs } : undefined);
    this._updateBacklog(endpoint, (known) => ({
      pendingMs: Math.max(0, known.pendingMs - prefillMs),
      // The wait of an attempt that ended without output is only a lower bound.
      ...(isMeasured || delayMs > known.delayMs ? { delayMs, measuredAt: now } : {}),
    }));
  }

  private _updateRate(version: string, sample: Millis): void {
    const { prefillRates } = this._options.board;
    const known = prefillRates.get(version)?.msPerToken ?? sample;
    const msPerToken =
      sample < known ? Math.max(sample, known * RATE_DECREASE) : Math.min(sample, known * RATE_INCREASE);
    prefillRates.set(version, { version, msPerToken });
  }

  private _updateRecentWaits(version: string, sample?: IRecentWaits['begun'][number]): void {
    const { recentWaits } = this._options.board;
    const known = recentWaits.get(version)?.begun ?? [];
    const begun = (sample ? [...known, sample] : [...known])
      .sort((first, second) => first.sentAt - second.sentAt)
      .slice(-RECENT_WAITS);
    const lastSentAt = begun.at(-1)?.sentAt ?? -Infinity;
    let waitingSince: Millis | undefined;
    // The map lists attempts in the order in which they were sent.
    for (const pending of this._pending.values()) {
      if (pending.version !== version || pending.sentAt <= lastSentAt) continue;
      waitingSince = pending.sentAt;
      break;
    }
    recentWaits.set(version, { version, begun, waitingSince });
  }

  private _updateBacklog(
    endpoint: string,
    change: (known: IEndpointBacklog) => Partial<IEndpointBacklog>,
  ): void {
    const { endpointBacklogs, endpoints } = this._options.board;
    if (!endpoints.has(endpoint)) return;
    const known = endpointBacklogs.get(endpoint) ?? {
      endpoint,
      pendingMs: 0,
      delayMs: 0,
      measuredAt: -Infinity,
    };
    endpointBacklogs.set(endpoint, { ...known, ...change(known) });
  }

  private _recordPrefixes(request: IRequestEntry, endpoint: string, version: string, now: Millis): void {
    const { cachedPrefixes, endpointPrompts, servicePrompts } = this._options.board;
    if (request.target.kind !== 'model') return;
    const { incarnation, tokens: endpointTokens = 0 } = endpointPrompts.get(endpoint) ?? {};
    const serviceTokens = servicePrompts.get(request.service)?.takenTokens ?? 0;
    for (const hash of request.target.prefixHashes) {
      const key = formatCachedPrefix(endpoint, version, hash);
      // The entry is deleted first, so that the panel lists entries in order of last use.
      cachedPrefixes.delete(key);
      cachedPrefixes.set(key, { key, sentAt: now, incarnation, endpointTokens, serviceTokens });
    }
    for (const { key } of cachedPrefixes.list()) {
      if (cachedPrefixes.size <= MAX_CACHED_PREFIXES) return;
      cachedPrefixes.delete(key);
    }
  }
}

/** Tells whether an attempt has begun to answer: its response has begun, or it has output or an answer. */
function hasBegun({ confidence, phase }: IAttemptEntry): boolean {
  return confidence !== undefined || phase === 'streaming' || phase === 'finished';
}
