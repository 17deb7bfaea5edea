import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IEndpointEntry } from '../blackboard/Types.js';
import { Emitter, type Event } from '../Event.js';
import { Disposable } from '../Lifecycle.js';
import type { CheckRun, RunCheckResult } from '../request/Types.js';
import type { IClock, Millis } from '../Types.js';

/** Options of the crash detector. */
export interface ICrashDetectorOptions {
  board: Blackboard;
  clock: IClock;
  /** Asks an endpoint for an attempt. A broken connection is a crash only if the endpoint cannot be reached. */
  checkRun: CheckRun;
  /**
   * Whether this host can tell that the endpoint at an address is down, rather than its own link to it. Default: always.
   */
  isVerdictSound?: (address: string) => boolean;
}

/** An attempt of this host that was in flight at an endpoint shortly before the endpoint crashed. */
export interface ICrashedAttempt {
  /** `broken` by the crash, or `cancelled` by this host just before it. */
  end: 'broken' | 'cancelled';
  request: string;
  fingerprint: string;
  /** Parts of the prompt that other requests can share; empty without a prompt. */
  sharedParts: readonly string[];
  /** Whether any output had arrived. */
  hasOutput: boolean;
}

/** A crash of an endpoint, with those attempts of this host that were in flight at it. */
export interface IDetectedCrash {
  /** Id and incarnation of the endpoint; every host that detects the crash computes the same value. */
  id: string;
  endpoint: string;
  service: string;
  attempts: readonly ICrashedAttempt[];
}

/** Attempts that ended at most this long before an endpoint is found unreachable were in flight at its crash. */
const SAME_CRASH_WINDOW_MS: Millis = 500;

/** Results of asking an endpoint by which it may be down. */
const UNREACHED_CHECKS: ReadonlySet<RunCheckResult> = new Set<RunCheckResult>([
  'unreachable',
  'unanswered',
  'silent',
]);

interface IEndedAttempt extends ICrashedAttempt {
  endpoint: string;
  endedAt: Millis;
}

/** Detects crashes of endpoints: connections that broke, and the endpoint takes no new one. */
export class CrashDetector extends Disposable {
  private readonly _ended: IEndedAttempt[] = [];
  /** Attempts that have been fired with a crash. */
  private readonly _reported = new WeakSet<IEndedAttempt>();
  private readonly _crashEmitter = this._register(new Emitter<IDetectedCrash>());

  /** Fires for each crash. Fires again, with the same id, for attempts that turn out later to have broken at it. */
  public readonly onCrash: Event<IDetectedCrash> = this._crashEmitter.event;

  constructor(private readonly _options: ICrashDetectorOptions) {
    super();
    this._register(
      _options.board.attempts.onChange(({ before, after }) => {
        if (after && after.phase !== before?.phase) this._handlePhase(after);
      }),
    );
  }

  private _handlePhase(attempt: IAttemptEntry): void {
    const { board } = this._options;
    const errorKind = attempt.phase === 'failed' ? attempt.error?.kind : undefined;
    if (errorKind === 'crashed') this._addEnded(attempt, 'broken');
    else if (attempt.phase === 'cancelled') this._addEnded(attempt, 'cancelled');
    const request = board.requests.get(attempt.request);
    const endpoint = board.endpoints.get(attempt.endpoint);
    const isConnectionError = errorKind === 'crashed' || errorKind === 'connect-failed';
    if (!request || !endpoint || !isConnectionError) return;
    const { signal } = new AbortController();
    void this._verify(endpoint, () => this._options.checkRun({ attempt, request, endpoint, signal }, 0));
  }

  private _addEnded(attempt: IAttemptEntry, end: ICrashedAttempt['end']): void {
    const { board, clock } = this._options;
    const request = board.requests.get(attempt.request);
    if (!request) return;
    const now = clock.now();
    this._ended.push({
      end,
      request: request.id,
      fingerprint: request.fingerprint,
      sharedParts: request.target.kind === 'model' ? (request.target.sharedParts ?? []) : [],
      hasOutput: attempt.firstTokenAt !== undefined,
      endpoint: attempt.endpoint,
      endedAt: now,
    });
    while (this._ended[0] && now - this._ended[0].endedAt > SAME_CRASH_WINDOW_MS) this._ended.shift();
  }

  private async _verify(endpoint: IEndpointEntry, checkEndpoint: () => ReturnType<CheckRun>): Promise<void> {
    const { id, service } = endpoint;
    const attempts = this._ended.filter((attempt) => attempt.endpoint === id && !this._reported.has(attempt));
    if (!attempts.some(({ end }) => end === 'broken')) return;
    const check = await checkEndpoint();
    if (!UNREACHED_CHECKS.has(check) || this._isDisposed) return;
    if (this._options.isVerdictSound?.(endpoint.address) === false) return;
    const unreported = attempts.filter((attempt) => !this._reported.has(attempt));
    if (unreported.length === 0) return;
    for (const attempt of unreported) this._reported.add(attempt);
    this._crashEmitter.fire({ id: formatCrashId(endpoint), endpoint: id, service, attempts: unreported });
  }
}

/** Formats the id of an endpoint's crash. The incarnation tells crashes of a restarted endpoint apart. */
function formatCrashId({ id, incarnation }: IEndpointEntry): string {
  return `${id}@${incarnation ?? 0}`;
}
