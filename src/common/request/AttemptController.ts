import { Result } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type {
  AttemptErrorKind,
  IAnswer,
  IAttemptEntry,
  IAttemptError,
  IEndpointEntry,
  IRequestEntry,
} from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { classifyLength } from '../policy/Queueing.js';
import type { IClock, Millis } from '../Types.js';
import { recordRunCheck, releaseAttempt, restoreAttemptCounts } from './AttemptPlan.js';
import { findDoubt, hasSpoiltLately, refuteEnd } from './DoubtfulEnds.js';
import { EndpointMeter } from './EndpointMeter.js';
import { formatPool } from './EndpointIndex.js';
import { hasEnded } from './Refusals.js';
import { findPlainEndForm, recordPlainEnd } from './PlainEnds.js';
import { findEventStepsPatch, findServiceEventSteps, findStreamEndPatch } from './StreamTraits.js';
import type { AttemptPart, DeliverChunk, DoubtReason, EndMark, RunAttempt } from './Types.js';

/** Options of the attempt controller. */
export interface IAttemptOptions {
  board: Blackboard;
  clock: IClock;
  runAttempt: RunAttempt;
  deliverChunk: DeliverChunk;
  /** Interval at which endpoints in use are measured. Default: the default of the endpoint meter. */
  sampleIntervalMs?: Millis;
}

/** How an attempt ended: successfully, or with this kind of error. */
type AttemptOutcome = 'ok' | AttemptErrorKind;

/** Outcomes that do not count as failures of the endpoint. */
const HEALTH_NEUTRAL_OUTCOMES: ReadonlySet<AttemptOutcome> = new Set([
  'cancelled',
  'unconfirmed',
  'rejected',
  'overloaded',
  'leaving',
  'evacuated',
]);

/**
 * Number of tokens by which the pace of an answer is measured. A few show it early; the rest of a long answer
 * may take many seconds.
 */
const PACE_TOKENS = 5;

/** Weight of the newest sample in smoothed latencies. */
const LATENCY_WEIGHT = 0.2;

/** Error of an attempt whose zone was evacuated before it was started. */
const EVACUATED_ERROR: IAttemptError = {
  kind: 'evacuated',
  ran: 'no',
  message: 'The zone of the endpoint is evacuated.',
};

/** Signals that end a running attempt. */
interface IAttemptSignals {
  /** Zone of the endpoint, which may no longer be listed. */
  zone: string;
  cancellation: AbortController;
  withdrawal: AbortController;
}

/**
 * Runs planned attempts through the adapter. Chunks go directly to the front end; only phases, counts and
 * latencies are written to the panels, so that the cost per token stays small.
 */
export class AttemptController extends Disposable {
  private readonly _signals = new Map<string, IAttemptSignals>();
  private readonly _meter: EndpointMeter;

  constructor(private readonly _options: IAttemptOptions) {
    super();
    const { board, clock, sampleIntervalMs } = _options;
    const sampling = sampleIntervalMs === undefined ? {} : { sampleIntervalMs };
    this._meter = this._register(new EndpointMeter({ board, clock, ...sampling }));
    this._register(
      board.attempts.onChange(({ before, after }) => {
        if (after?.phase === 'planned' && !before) void this._run(after);
        if (after?.phase === 'cancelled') this._abort(after.id);
      }),
    );
    this._register(
      board.evacuatedZones.onChange(({ before, after }) => {
        if (after && !before) this._abortUnsent(after.zone);
      }),
    );
    this._register(
      board.endpoints.onChange(({ key, before, after }) => {
        if (after && (!before || before.incarnation !== after.incarnation)) restoreAttemptCounts(board, key);
      }),
    );
    this._register(
      board.requests.onChange(({ before, after }) => {
        if (before && (!after || hasEnded(after))) this._cancelAttempts(before);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    for (const id of [...this._signals.keys()]) this._abort(id);
  }

  private async _run(attempt: IAttemptEntry): Promise<void> {
    const { board, runAttempt } = this._options;
    const request = board.requests.get(attempt.request);
    const endpoint = board.endpoints.get(attempt.endpoint);
    const isPlanned = board.attempts.get(attempt.id)?.phase === 'planned';
    if (!request || !endpoint || !isPlanned || hasEnded(request)) {
      this._finish(attempt, 'cancelled', undefined, undefined);
      return;
    }
    const { zone } = endpoint;
    if (endpoint.isEvacuated || board.evacuatedZones.has(zone)) {
      this._finish(attempt, 'failed', undefined, EVACUATED_ERROR);
      return;
    }
    const cancellation = new AbortController();
    const withdrawal = new AbortController();
    this._signals.set(attempt.id, { zone, cancellation, withdrawal });
    board.attempts.update(attempt.id, { phase: 'sent' });
    const progress = new AttemptProgress(this._options, this._meter, attempt, request);
    const eventSteps = findServiceEventSteps(board, endpoint.id);
    const { signal } = cancellation;
    const call = { attempt, request, endpoint, eventSteps, signal, withdrawal: withdrawal.signal };
    const received = await runAttempt(call, (part) => {
      progress.handlePart(part);
    });
    const result = this._refuteResult(attempt, received);
    this._signals.delete(attempt.id);
    progress.end(result.isOk);
    this._handleResult(attempt, progress, result);
  }

  /** Turns the result of an attempt whose end was false into an error, and drops a failure that may be a part of one. */
  private _refuteResult(
    attempt: IAttemptEntry,
    result: Result<IAnswer, IAttemptError>,
  ): Result<IAnswer, IAttemptError> {
    const { board } = this._options;
    const current = board.attempts.get(attempt.id);
    const error = current && refuteEnd(current, result.isOk ? result.value : undefined);
    if (error) return Result.err(error);
    if (result.isOk || result.error.answer === undefined || current?.endMark !== 'connection') return result;
    const { kind, message, ran } = result.error;
    const endForm = findPlainEndForm(board, attempt.endpoint, board.requests.get(attempt.request)?.route);
    return endForm === 'unmarked' ? result : Result.err({ kind, ran, message });
  }

  private _handleResult(
    attempt: IAttemptEntry,
    progress: AttemptProgress,
    result: Result<IAnswer, IAttemptError>,
  ): void {
    const current = this._options.board.attempts.get(attempt.id);
    const isCancelled = current?.phase === 'cancelled';
    const doubt = current && result.isOk ? this._findDoubt(current, result.value) : undefined;
    const outcome = doubt ? 'unconfirmed' : result.isOk ? 'ok' : result.error.kind;
    this._updateEndpoint(attempt, progress, isCancelled ? 'cancelled' : outcome);
    this._recordEventSteps(attempt, result);
    if (isCancelled) this._finish(attempt, 'cancelled', undefined, undefined);
    else if (result.isErr) this._finish(attempt, 'failed', undefined, result.error);
    else if (doubt) this._finish(attempt, 'doubted', result.value, undefined, doubt);
    else this._finish(attempt, 'finished', result.value, undefined);
  }

  private _findDoubt(attempt: IAttemptEntry, answer: IAnswer): DoubtReason | undefined {
    const { board, clock } = this._options;
    return findDoubt(
      { ...attempt, answer },
      {
        hasSpoiltLately: hasSpoiltLately(board.endpoints.get(attempt.endpoint), clock.now()),
        isResumed: board.requests.get(attempt.request)?.resumeAfter !== undefined,
      },
    );
  }

  private _finish(
    attempt: IAttemptEntry,
    phase: 'doubted' | 'finished' | 'failed' | 'cancelled',
    answer: IAnswer | undefined,
    error: IAttemptError | undefined,
    doubt?: DoubtReason,
  ): void {
    const { board, clock } = this._options;
    releaseAttempt(board, attempt.id);
    const endedAt = clock.now();
    board.attempts.update(attempt.id, { phase, answer, error, endedAt, ...(doubt ? { doubt } : {}) });
  }

  private _updateEndpoint(attempt: IAttemptEntry, progress: AttemptProgress, outcome: AttemptOutcome): void {
    const { board, clock } = this._options;
    const endpoint = board.endpoints.get(attempt.endpoint);
    if (!endpoint) return;
    const patch: Partial<IEndpointEntry> = {};
    // The close of a connection before any output is how a busy or leaving endpoint turns work away.
    if (outcome === 'malformed' || (outcome === 'crashed' && progress.firstTokenMs !== undefined))
      patch.spoiltAt = clock.now();
    if (outcome === 'overloaded') patch.refusedAt = clock.now();
    if (outcome === 'ok' || outcome === 'failed') patch.answeredAt = clock.now();
    if (outcome === 'ok') patch.consecutiveFailures = 0;
    else if (!HEALTH_NEUTRAL_OUTCOMES.has(outcome))
      patch.consecutiveFailures = endpoint.consecutiveFailures + 1;
    const { firstTokenMs, tokenMs } = progress;
    if (firstTokenMs !== undefined) patch.firstTokenMs = computeSmoothed(endpoint.firstTokenMs, firstTokenMs);
    if (tokenMs !== undefined) patch.tokenMs = computeSmoothed(endpoint.tokenMs, tokenMs);
    board.endpoints.update(endpoint.id, patch);
  }

  /** Records how the ids of a stream rose, if it shows that. A resumed run begins with what others have shown. */
  private _recordEventSteps(
    { endpoint: id, request }: IAttemptEntry,
    result: Result<IAnswer, IAttemptError>,
  ): void {
    const { board } = this._options;
    const endpoint = board.endpoints.get(id);
    const stream = result.isErr ? result.error : result.value.kind === 'model' ? result.value : undefined;
    if (!endpoint || stream?.eventSteps === undefined) return;
    const isResumed = board.requests.get(request)?.resumeAfter !== undefined;
    const hasGap = 'nextEventId' in stream && stream.eventSteps === 'unknown';
    const steps = hasGap ? 'free' : stream.eventSteps;
    if (steps === 'single' && isResumed) return;
    const patch = findEventStepsPatch(endpoint, steps);
    if (patch) board.endpoints.update(id, patch);
  }

  private _cancelAttempts(request: IRequestEntry): void {
    const { board } = this._options;
    for (const id of request.attemptIds ?? []) {
      const phase = board.attempts.get(id)?.phase;
      const isInFlight = phase === 'planned' || phase === 'sent' || phase === 'streaming';
      if (isInFlight && this._signals.has(id)) board.attempts.update(id, { phase: 'cancelled' });
    }
  }

  private _abort(id: string): void {
    this._signals.get(id)?.cancellation.abort();
  }

  /** Ends the attempts in a zone of which nothing has been sent. The others may complete. */
  private _abortUnsent(zone: string): void {
    for (const signals of [...this._signals.values()]) if (signals.zone === zone) signals.withdrawal.abort();
  }
}

/** Handles the events of one running attempt: delivers its chunks and keeps its token counts and times. */
class AttemptProgress {
  private _tokens = 0;
  private _firstTokenAt: Millis | undefined;
  private _lastTokenAt: Millis | undefined;
  private _hasEnded = false;
  private _hasPace = false;
  private _isLong: boolean;
  private readonly _usualTokens: number | undefined;

  constructor(
    private readonly _options: IAttemptOptions,
    private readonly _meter: EndpointMeter,
    private readonly _attempt: IAttemptEntry,
    private readonly _request: IRequestEntry,
  ) {
    this._isLong = _attempt.isLong ?? false;
    this._usualTokens = _options.board.workEstimates.get(formatPool(_request))?.tokens;
    _meter.startWait(_attempt.endpoint, _attempt.id);
  }

  public get firstTokenMs(): Millis | undefined {
    return this._firstTokenAt === undefined ? undefined : this._firstTokenAt - this._attempt.plannedAt;
  }

  public get tokenMs(): Millis | undefined {
    if (this._firstTokenAt === undefined || this._lastTokenAt === undefined || this._tokens < 2)
      return undefined;
    return (this._lastTokenAt - this._firstTokenAt) / (this._tokens - 1);
  }

  public handlePart(part: AttemptPart): void {
    if (this._hasEnded) return;
    if (part.kind === 'report') {
      this._options.board.endpoints.update(this._attempt.endpoint, { report: part.report });
      return;
    }
    if (part.kind === 'rate-limit') {
      this._handleRateLimit(part.requestsPerS);
      return;
    }
    if (part.kind === 'refusal-limit') {
      this._handleRefusalLimit(part.refusalsPerS);
      return;
    }
    if (part.kind === 'cold') {
      const warmAt = this._options.clock.now() + part.forMs;
      const known = this._options.board.endpoints.get(this._attempt.endpoint)?.warmAt ?? -Infinity;
      if (warmAt > known) this._updateSender({ warmAt });
      return;
    }
    if (part.kind === 'leaving') {
      this._updateSender({ hasSaidLeaving: true });
      return;
    }
    if (part.kind === 'pause') {
      const pausedUntil = this._options.clock.now() + part.forMs;
      const known = this._options.board.endpoints.get(this._attempt.endpoint)?.pausedUntil ?? -Infinity;
      if (pausedUntil > known) this._updateSender({ pausedUntil });
      return;
    }
    if (part.kind === 'opening') {
      const { confidence, endMark } = part;
      if (endMark !== undefined) this._handleEndMark(endMark);
      if (confidence !== undefined) this._options.board.attempts.update(this._attempt.id, { confidence });
      return;
    }
    if (part.kind === 'plain-opening') {
      const endpoint = this._options.board.endpoints.get(this._attempt.endpoint);
      const { route } = this._request;
      if (endpoint) recordPlainEnd(this._options.board, { endpoint, route, endMark: part.endMark });
      return;
    }
    if (part.kind === 'end') {
      const { afterEnd, mark } = part;
      const patch = afterEnd === undefined ? {} : { afterEnd };
      this._options.board.attempts.update(this._attempt.id, { endMark: mark, ...patch });
      return;
    }
    if (part.kind === 'check') {
      const { check: result, silentMs } = part;
      recordRunCheck(this._options, this._attempt, { result, silentMs });
      return;
    }
    // Output of a draft that was rejected at its beginning may still arrive, and is dropped.
    if (this._options.board.attempts.get(this._attempt.id)?.isAnswerDiscarded) return;
    this._lastTokenAt = this._options.clock.now();
    if (this._firstTokenAt === undefined) this._handleFirstToken(this._lastTokenAt);
    this._tokens += part.tokens;
    this._meter.countTokens(this._attempt.endpoint, part.tokens);
    if (!this._hasPace && this._tokens >= PACE_TOKENS) this._recordPace();
    if (!this._isLong && classifyLength(this._tokens, this._usualTokens) === 'long') this._markLong();
    if (this._isWinner()) this._options.deliverChunk(this._request.id, part.data);
  }

  /**
   * Ends the attempt. If a successful attempt had no chunks, as with a plain service, its complete answer
   * counts as its first output.
   */
  public end(isSuccess: boolean): void {
    this._hasEnded = true;
    if (this._firstTokenAt === undefined) this._meter.endWait(this._attempt.endpoint, this._attempt.id);
    else this._meter.endStream(this._attempt.endpoint);
    if (!this._hasPace) this._recordPace();
    if (isSuccess) this._firstTokenAt ??= this._options.clock.now();
    this._options.board.attempts.update(this._attempt.id, { tokens: this._tokens });
  }

  /** Updates the endpoint that the attempt was sent to, unless its process has been replaced since. */
  private _updateSender(patch: Partial<IEndpointEntry>): void {
    const { board } = this._options;
    const endpoint = board.endpoints.get(this._attempt.endpoint);
    if (endpoint && endpoint.incarnation === this._attempt.incarnation)
      board.endpoints.update(endpoint.id, patch);
  }

  private _handleEndMark(endMark: EndMark): void {
    const endpoint = this._options.board.endpoints.get(this._attempt.endpoint);
    const patch = endpoint && findStreamEndPatch(endpoint, endMark);
    if (patch) this._updateSender(patch);
  }

  private _handleRateLimit(maxRequestsPerS: number | undefined): void {
    const { board, clock } = this._options;
    const known = board.endpoints.get(this._attempt.endpoint)?.maxRequestsPerS;
    if (maxRequestsPerS === undefined && known === undefined) return;
    this._updateSender({ maxRequestsPerS, rateLimitSource: 'answer', rateLimitHeardAt: clock.now() });
  }

  private _handleRefusalLimit(maxRefusalsPerS: number | undefined): void {
    const known = this._options.board.endpoints.get(this._attempt.endpoint)?.maxRefusalsPerS;
    if (maxRefusalsPerS !== known) this._updateSender({ maxRefusalsPerS });
  }

  private _handleFirstToken(now: Millis): void {
    const { board } = this._options;
    this._firstTokenAt = now;
    this._meter.endWait(this._attempt.endpoint, this._attempt.id);
    this._meter.startStream(this._attempt.endpoint);
    board.attempts.update(this._attempt.id, { phase: 'streaming', firstTokenAt: now });
    const request = board.requests.get(this._request.id);
    if (!request || request.winningAttempt !== undefined) return;
    // The first attempt of a streaming request to produce output wins, as that output goes to the caller at
    // once. Otherwise the first complete answer wins, so that another attempt can still overtake a slow one.
    const isStreaming = request.target.kind === 'model' && request.target.isStreaming;
    board.requests.update(request.id, {
      ran: 'yes',
      ...(isStreaming ? { winningAttempt: this._attempt.id } : {}),
    });
  }

  private _recordPace(): void {
    const { tokenMs } = this;
    if (tokenMs === undefined) return;
    this._hasPace = true;
    this._options.board.attempts.update(this._attempt.id, { paceMs: tokenMs });
  }

  /**
   * Counts the attempt as long work at its endpoint once its output is far longer than usual, so that the
   * limit on long work keeps the remaining slots free for short work.
   */
  private _markLong(): void {
    const { board } = this._options;
    this._isLong = true;
    const endpoint = board.endpoints.get(this._attempt.endpoint);
    if (!endpoint || !board.attempts.update(this._attempt.id, { isLong: true })) return;
    board.endpoints.update(endpoint.id, { longInFlight: (endpoint.longInFlight ?? 0) + 1 });
  }

  private _isWinner(): boolean {
    return this._options.board.requests.get(this._request.id)?.winningAttempt === this._attempt.id;
  }
}

function computeSmoothed(previous: number | undefined, sample: number): number {
  return previous === undefined ? sample : previous + LATENCY_WEIGHT * (sample - previous);
}
