import type { Blackboard } from '../blackboard/Blackboard.js';
import type { AttemptRole, IRequestEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { isVersionInUse } from '../policy/Versions.js';
import type { IClock } from '../Types.js';
import { isCandidate } from './Candidates.js';
import { refuseRequest } from './Refusals.js';
import type { ChooseEndpoint, CompareQueued } from './Types.js';

/** Options of the route controller. */
export interface IRouteOptions {
  board: Blackboard;
  clock: IClock;
  chooseEndpoint: ChooseEndpoint;
  compareQueued: CompareQueued;
  createId: () => string;
  /** Availability zone of this host. */
  zone: string;
  /** Longest queue; a request beyond it is refused. Default 10,000. */
  maxQueue?: number;
}

const QUEUE_RETRY_AFTER_MS = 1000;

/** Moves requests from `queued` to `running` by planning an attempt at an endpoint with room. */
export class RouteController extends Disposable {
  private readonly _queue = new Set<string>();
  private readonly _options: Required<IRouteOptions>;

  constructor(options: IRouteOptions) {
    super();
    this._options = { maxQueue: 10_000, ...options };
    const { board } = options;
    this._register(
      board.requests.onChange(({ key, before, after }) => {
        if (after?.phase === 'queued' && before?.phase !== 'queued') this._addToQueue(after);
        else if (after?.phase !== 'queued') this._queue.delete(key);
      }),
    );
    this._register(
      board.endpoints.onChange(({ before, after }) => {
        const hasRoom = after !== undefined && after.inFlight < (before?.inFlight ?? Infinity);
        if (hasRoom || before?.health !== after?.health) this._assignQueued();
      }),
    );
    this._register(
      board.services.onChange(() => {
        this._assignQueued();
      }),
    );
  }

  /** A version that was withdrawn after it was chosen gets no request; another one is chosen. */
  private _rejectWithdrawn(request: IRequestEntry): boolean {
    const { board } = this._options;
    if (isVersionInUse(request, board.services.get(request.service))) return false;
    this._queue.delete(request.id);
    const isQueued = board.requests.get(request.id)?.phase === 'queued';
    if (isQueued) board.requests.update(request.id, { phase: 'claimed', version: undefined });
    return true;
  }

  private _addToQueue(request: IRequestEntry): void {
    if (this._queue.size >= this._options.maxQueue) {
      this._refuseForCapacity(request, 'The queue is full.');
      return;
    }
    this._queue.add(request.id);
    if (this._queue.size === 1) this._tryAssign(request);
    else this._assignQueued();
  }

  private _assignQueued(): void {
    if (this._queue.size === 0) return;
    const { board, clock, compareQueued } = this._options;
    const now = clock.now();
    const waiting = [...this._queue]
      .map((id) => board.requests.get(id))
      .filter((entry) => entry !== undefined);
    waiting.sort((first, second) => compareQueued(first, second, now));
    for (const request of waiting) this._tryAssign(request);
  }

  private _tryAssign(request: IRequestEntry): void {
    if (this._rejectWithdrawn(request)) return;
    const { board, chooseEndpoint, clock, zone } = this._options;
    const candidates = [...board.endpoints.list()].filter((endpoint) => isCandidate(endpoint, request));
    if (candidates.length === 0) {
      this._refuseForCapacity(request, 'No endpoint can run the request.');
      return;
    }
    const endpoint = chooseEndpoint({ request, candidates, zone, now: clock.now() });
    if (endpoint !== undefined) this._planAttempt(request, endpoint);
  }

  private _planAttempt(request: IRequestEntry, endpoint: string): void {
    const { board, clock, createId } = this._options;
    this._queue.delete(request.id);
    const id = createId();
    const role: AttemptRole =
      request.attemptCount === 0 ? 'primary' : request.escalatedFrom.length > 0 ? 'escalation' : 'retry';
    board.requests.update(request.id, { phase: 'running', attemptCount: request.attemptCount + 1 });
    // Counted here, not when it is sent: several requests are assigned before the first is sent.
    const { inFlight = 0, inFlightTokens = 0 } = board.endpoints.get(endpoint) ?? {};
    const tokens = request.target.kind === 'model' ? request.target.maxTokens : 0;
    board.endpoints.update(endpoint, { inFlight: inFlight + 1, inFlightTokens: inFlightTokens + tokens });
    board.attempts.set(id, {
      id,
      phase: 'planned',
      role,
      request: request.id,
      endpoint,
      version: request.version,
      plannedAt: clock.now(),
      firstTokenAt: undefined,
      endedAt: undefined,
      tokens: 0,
      answer: undefined,
      error: undefined,
    });
  }

  private _refuseForCapacity(request: IRequestEntry, message: string): void {
    const retryAfterMs = QUEUE_RETRY_AFTER_MS;
    refuseRequest(this._options.board, request.id, {
      code: 'no_capacity',
      message,
      ran: request.ran,
      retryAfterMs,
    });
  }
}
