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

/** Delay before a write that failed is repeated. Other hosts need the reports soon after the store is back. */
const PUBLISH_RETRY_MS: Millis = 500;

/** Largest number of crash reports that a host publishes. */
const MAX_PUBLISHED_REPORTS = 64;

/**
 * Detects requests that crash the endpoints that run them. Each host publishes in the store which requests
 * were in flight at a crash. All hosts block a request that was in flight at several crashes.
 */
export class CrashSuspectController extends Disposable {
  /** For each fingerprint, the ids of the crashes that this host knows, and when it learned of them. */
  private readonly _crashesByFingerprint = new Map<string, Map<string, Millis>>();

  private _retryTimer: IDisposable | undefined;

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
        for (const report of after.fact.reports) this._recordCrash(report);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    this._retryTimer?.dispose();
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
    for (const fingerprint of newFingerprints) this._recordCrash({ fingerprint, crash: id });
    if (newFingerprints.length > 0) void this._publishCrashes();
  }

  private _recordCrash({ crash, fingerprint }: ICrashReport): void {
    const { board, clock } = this._options;
    const now = clock.now();
    const crashes = this._crashesByFingerprint.get(fingerprint) ?? new Map<string, Millis>();
    for (const [crashId, seenAt] of crashes) if (now - seenAt > CRASH_RETENTION_MS) crashes.delete(crashId);
    if (!crashes.has(crash)) crashes.set(crash, now);
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

  /** Publishes all recent crashes that this host knows, again and again until the store accepts them. */
  private async _publishCrashes(): Promise<void> {
    const { clock, host, store } = this._options;
    const now = clock.now();
    const reports: ICrashReport[] = [];
    for (const [fingerprint, crashes] of this._crashesByFingerprint) {
      for (const [crash, seenAt] of crashes)
        if (now - seenAt < CRASH_RETENTION_MS) reports.push({ fingerprint, crash });
    }
    const written = await store.writeCrashReports(host, reports.slice(-MAX_PUBLISHED_REPORTS));
    if (written.isErr) this._schedulePublish();
  }

  private _schedulePublish(): void {
    if (this._retryTimer || this._isDisposed) return;
    this._retryTimer = this._options.clock.schedule(PUBLISH_RETRY_MS, () => {
      this._retryTimer = undefined;
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
