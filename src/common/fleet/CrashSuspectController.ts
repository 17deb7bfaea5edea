import type { Blackboard } from '../blackboard/Blackboard.js';
import type { Event } from '../Event.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { DecideAdmission, DecideRetry } from '../request/Types.js';
import { withBlockedRefusal, withBlockedRetry } from '../request/Suspects.js';
import type { IClock, Millis } from '../Types.js';
import type { IDetectedCrash } from './CrashDetector.js';
import type { ICrashReport, IFactStore } from './Types.js';

/** Options of the crash suspect controller. */
export interface ICrashSuspectOptions {
  board: Blackboard;
  clock: IClock;
  /** Id of this host. */
  host: string;
  store: Pick<IFactStore, 'writeCrashReports'>;
  /** Crashes that this host detects. */
  onCrash: Event<IDetectedCrash>;
}

/**
 * Number of crashes, of different endpoints or of one between restarts, at which a request is blocked. Two
 * are not enough: the failure of one rack can crash two endpoints that run attempts of the same request.
 */
const MIN_CRASHES_TO_BLOCK = 3;

/** Time for which a crash counts against the requests that were in flight at it. */
const CRASH_RETENTION_MS: Millis = 120_000;

/**
 * Shortest time between two writes of this host. A mass crash breaks many attempts within it, and every host reads each
 * write.
 */
const MIN_PUBLISH_INTERVAL_MS: Millis = 250;

/** Delay before a write that failed is repeated. Other hosts need the reports soon after the store is back. */
const PUBLISH_RETRY_MS: Millis = 500;

/** Largest number of crash reports that a host publishes. */
const MAX_PUBLISHED_REPORTS = 64;

/**
 * Detects requests that crash the endpoints that run them. Each host publishes in the store which of its own requests
 * were in flight at a crash. All hosts block a request that was in flight at several crashes.
 */
export class CrashSuspectController extends Disposable {
  /** For each fingerprint, the ids of the crashes that this host knows, and when it learned of them. */
  private readonly _crashesByFingerprint = new Map<string, Map<string, Millis>>();

  /** Crashes that this host detected, by fingerprint and crash, with the time at which it did. */
  private readonly _ownReports = new Map<string, ICrashReport & { seenAt: Millis }>();
  private _publishTimer: IDisposable | undefined;
  private _publishedAt: Millis = -Infinity;

  constructor(private readonly _options: ICrashSuspectOptions) {
    super();
    const { board } = _options;
    this._register(
      _options.onCrash((crash) => {
        this._handleCrash(crash);
      }),
    );
    this._register(
      board.facts.onChange(({ after }) => {
        if (after?.fact.kind !== 'crash-reports') return;
        const { host, reports } = after.fact;
        const isOwnBeforeRestart = host === _options.host && this._ownReports.size === 0;
        for (const report of reports) {
          if (isOwnBeforeRestart) this._addOwnReport(report);
          this._recordCrash(report);
        }
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    this._publishTimer?.dispose();
  }

  /** Wraps a decision on admission: a blocked request is refused even if `decide` admits it. */
  public protectAdmission(decide: DecideAdmission): DecideAdmission {
    return withBlockedRefusal(this._options.board, decide);
  }

  /** Wraps a decision on retries: a blocked request is refused without calling `decide`. */
  public protectRetry(decide: DecideRetry): DecideRetry {
    return withBlockedRetry(this._options.board, decide);
  }

  private _handleCrash({ attempts, id }: IDetectedCrash): void {
    const broken = attempts.filter(({ end }) => end === 'broken');
    const newFingerprints = [...new Set(broken.map(({ fingerprint }) => fingerprint))].filter(
      (fingerprint) => !this._crashesByFingerprint.get(fingerprint)?.has(id),
    );
    for (const fingerprint of newFingerprints) {
      this._addOwnReport({ fingerprint, crash: id });
      this._recordCrash({ fingerprint, crash: id });
    }
    if (newFingerprints.length > 0) this._schedulePublish(MIN_PUBLISH_INTERVAL_MS);
  }

  private _addOwnReport({ crash, fingerprint }: ICrashReport): void {
    const seenAt = this._options.clock.now();
    this._ownReports.set(`${fingerprint}/${crash}`, { fingerprint, crash, seenAt });
  }

  private _recordCrash({ crash, fingerprint }: ICrashReport): void {
    const { board, clock } = this._options;
    const now = clock.now();
    const crashes = this._crashesByFingerprint.get(fingerprint) ?? new Map<string, Millis>();
    if (crashes.has(crash)) return;
    for (const [crashId, seenAt] of crashes) if (now - seenAt > CRASH_RETENTION_MS) crashes.delete(crashId);
    crashes.set(crash, now);
    this._crashesByFingerprint.set(fingerprint, crashes);
    this._deleteExpiredSuspects(now);
    board.crashSuspects.set(fingerprint, {
      fingerprint,
      state: crashes.size >= MIN_CRASHES_TO_BLOCK ? 'blocked' : 'suspected',
      crashes: crashes.size,
      endpoints: [...crashes.keys()],
      changedAt: now,
    });
  }

  /** Publishes the recent crashes that this host detected, again and again until the store accepts them. */
  private async _publishCrashes(): Promise<void> {
    const { clock, host, store } = this._options;
    const now = clock.now();
    this._publishedAt = now;
    for (const [key, { seenAt }] of this._ownReports)
      if (now - seenAt >= CRASH_RETENTION_MS) this._ownReports.delete(key);
    const reports = [...this._ownReports.values()]
      .slice(-MAX_PUBLISHED_REPORTS)
      .map(({ crash, fingerprint }): ICrashReport => ({ fingerprint, crash }));
    const written = await store.writeCrashReports(host, reports);
    if (written.isErr) this._schedulePublish(PUBLISH_RETRY_MS);
  }

  /** Publishes once a time has passed since the last write; at once if it has. */
  private _schedulePublish(intervalMs: Millis): void {
    if (this._publishTimer || this._isDisposed) return;
    const delayMs = this._publishedAt + intervalMs - this._options.clock.now();
    if (delayMs <= 0) {
      void this._publishCrashes();
      return;
    }
    this._publishTimer = this._options.clock.schedule(delayMs, () => {
      this._publishTimer = undefined;
      void this._publishCrashes();
    });
  }

  private _deleteExpiredSuspects(now: Millis): void {
    for (const [fingerprint, { changedAt }] of this._options.board.crashSuspects.listPairs()) {
      if (now - changedAt <= CRASH_RETENTION_MS) continue;
      this._options.board.crashSuspects.delete(fingerprint);
      this._crashesByFingerprint.delete(fingerprint);
    }
  }
}
