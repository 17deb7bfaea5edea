import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IEndpointEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { CheckRun, DecideAdmission, DecideRetry, IAttemptCall } from '../request/Types.js';
import { withBlockedRefusal, withBlockedRetry } from '../request/Suspects.js';
import type { IClock, Millis } from '../Types.js';
import type { ICrashReport, IFactStore } from './Types.js';

/** Options of the crash suspect controller. */
export interface ICrashSuspectOptions {
  board: Blackboard;
  clock: IClock;
  /** Id of this host. */
  self: string;
  store: Pick<IFactStore, 'writeCrashes'>;
  /** Asks an endpoint whether it is there; a broken connection alone is no crash. */
  checkRun: CheckRun;
}

/**
 * Crashes of different endpoints, or of one after its restart, that block a request. Two may be one
 * failure of a rack that the request met twice.
 */
const BLOCKING_CRASHES = 3;

/** Time for which a crash counts against a request. */
const RETENTION_MS: Millis = 120_000;

/** Attempts that ended this shortly before an endpoint was found dead were in flight at its crash. */
const SAME_CRASH_MS: Millis = 500;

/** Most requests in one report. */
const MAX_REPORTED = 64;

interface IEndedAttempt {
  fingerprint: string;
  endpoint: string;
  at: Millis;
}

/**
 * Finds requests that crash the endpoints that run them. Hosts tell one another through the store which
 * requests were in flight at a crash; one that was there at several crashes is not run again.
 */
export class CrashSuspectController extends Disposable {
  /** Crashes by fingerprint: the endpoint and its start, with the time of the sight. */
  private readonly _crashes = new Map<string, Map<string, Millis>>();
  private readonly _ended: IEndedAttempt[] = [];

  constructor(private readonly _options: ICrashSuspectOptions) {
    super();
    const { board } = _options;
    this._register(
      board.attempts.onChange(({ before, after }) => {
        if (after?.phase === 'failed' && before?.phase !== 'failed') this._handleFailed(after);
      }),
    );
    this._register(
      board.facts.onChange(({ after }) => {
        if (after?.fact.kind !== 'crash-reports') return;
        for (const report of after.fact.reports) this._record(report);
      }),
    );
  }

  /** Refuses requests that crash endpoints before another decision is asked. */
  public protectAdmission(decide: DecideAdmission): DecideAdmission {
    return withBlockedRefusal(this._options.board, decide);
  }

  /** Refuses to repeat requests that crash endpoints. */
  public protectRetry(decide: DecideRetry): DecideRetry {
    return withBlockedRetry(this._options.board, decide);
  }

  private _handleFailed(attempt: IAttemptEntry): void {
    const { board, clock } = this._options;
    const request = board.requests.get(attempt.request);
    const endpoint = board.endpoints.get(attempt.endpoint);
    const isBroken = attempt.error?.kind === 'crashed' || attempt.error?.kind === 'connect-failed';
    if (!request || !endpoint || !isBroken) return;
    const now = clock.now();
    if (attempt.error?.kind === 'crashed') {
      this._ended.push({ fingerprint: request.fingerprint, endpoint: endpoint.id, at: now });
      while (this._ended[0] && now - this._ended[0].at > SAME_CRASH_MS) this._ended.shift();
    }
    void this._verifyCrash(endpoint, { attempt, request, endpoint, signal: new AbortController().signal });
  }

  private async _verifyCrash(endpoint: IEndpointEntry, call: IAttemptCall): Promise<void> {
    const { checkRun, clock } = this._options;
    const crash = formatCrash(endpoint);
    const fingerprints = new Set(
      this._ended.filter((ended) => ended.endpoint === endpoint.id).map((ended) => ended.fingerprint),
    );
    if (fingerprints.size === 0 || (await checkRun(call, 0)) !== 'unreachable') return;
    const fresh = [...fingerprints].filter((fingerprint) => !this._crashes.get(fingerprint)?.has(crash));
    for (const fingerprint of fresh) this._record({ fingerprint, crash });
    if (fresh.length > 0) await this._publish(clock.now());
  }

  private _record({ crash, fingerprint }: ICrashReport): void {
    const { board, clock } = this._options;
    const now = clock.now();
    const crashes = this._crashes.get(fingerprint) ?? new Map<string, Millis>();
    for (const [known, at] of crashes) if (now - at > RETENTION_MS) crashes.delete(known);
    if (!crashes.has(crash)) crashes.set(crash, now);
    this._crashes.set(fingerprint, crashes);
    this._expire(now);
    board.suspects.set(fingerprint, {
      fingerprint,
      state: crashes.size >= BLOCKING_CRASHES ? 'blocked' : 'suspected',
      crashes: crashes.size,
      endpoints: [...crashes.keys()],
      changedAt: now,
    });
  }

  /** A lost report leaves other hosts to their own sights; the next crash reports again. */
  private async _publish(now: Millis): Promise<void> {
    const { self, store } = this._options;
    const reports: ICrashReport[] = [];
    for (const [fingerprint, crashes] of this._crashes) {
      for (const [crash, at] of crashes) if (now - at < RETENTION_MS) reports.push({ fingerprint, crash });
    }
    await store.writeCrashes(self, reports.slice(-MAX_REPORTED));
  }

  private _expire(now: Millis): void {
    for (const [fingerprint, { changedAt }] of this._options.board.suspects.listPairs()) {
      if (now - changedAt <= RETENTION_MS) continue;
      this._options.board.suspects.delete(fingerprint);
      this._crashes.delete(fingerprint);
    }
  }
}

function formatCrash({ id, incarnation }: IEndpointEntry): string {
  return `${id}@${incarnation ?? 0}`;
}
