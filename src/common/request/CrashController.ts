import { Result } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import { listPeers } from '../coordination/HostStates.js';
import { RendezvousRanking, type HashTexts } from '../coordination/Rendezvous.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import {
  computeSuspect,
  isBlocked,
  needsTrial,
  SUSPECT_RETENTION_MS,
  type ICrashObservation,
} from './Suspects.js';
import { TrialGrants } from './TrialGrants.js';
import type { IAttemptCall, RunAttempt } from './Types.js';

/**
 * Message between hosts about suspected requests: `crash` reports the requests that were in flight at a
 * crashed endpoint, `clear` says that a suspect ran without a crash, `check` asks whether no suspect runs at
 * an endpoint on behalf of the receiving host, and `acquire` and `release` take and return a grant for a
 * trial.
 */
export type SuspectMessage =
  | { kind: 'crash'; sights: readonly ICrashObservation[] }
  | { kind: 'clear'; fingerprint: string }
  | { kind: 'check'; endpoint: string }
  | { kind: 'acquire'; key: string; holder: string; durationMs: Millis }
  | { kind: 'release'; key: string; holder: string };

/** Sends a message about suspects; resolves with false when the peer answers no or cannot be reached. */
export type SendSuspectMessage = (host: string, message: SuspectMessage) => Promise<boolean>;

/** Options of the crash controller. */
export interface ICrashOptions {
  board: Blackboard;
  clock: IClock;
  /** Id of this host. */
  host: string;
  hashTexts: HashTexts;
  sendMessage: SendSuspectMessage;
  /** Runs an attempt at its endpoint, once this controller allows it. */
  runAttempt: RunAttempt;
  /** Largest number of entries in the `crashSuspects` panel. Default 10,000. */
  maxSuspects?: number;
}

interface ICrashReport {
  /** Ids of the attempts that were in flight at the crash. */
  attempts: ReadonlySet<string>;
  /** Resolves when the peers have confirmed the report, or after `REPORT_TIMEOUT_MS`. */
  peersNotified: Promise<void>;
}

/**
 * Longest time that the failure of an attempt is held back until the peers confirm the crash report. The
 * request may be repeated at any host once its failure is known, so the peers should know of the crash by
 * then.
 */
const REPORT_TIMEOUT_MS = 1000;
/** Interval at which a suspect asks again for a grant, or whether it is the only suspect at its endpoint. */
const TRIAL_RETRY_MS = 50;
/** Time that a grant lasts beyond the deadline of its trial, because cancelling the trial takes time. */
const GRANT_MARGIN_MS = 2000;
const SWEEP_INTERVAL_MS = 60_000;

/**
 * Limits the damage of a request that crashes every endpoint that runs it. When an endpoint crashes, all
 * requests in flight there become suspects on all hosts before their callers learn of the failure. A suspect
 * runs again only on trial, with no other suspect at its endpoint, so a crash during the trial identifies the
 * request that caused it. The hosts that own the fingerprint and the endpoint by rendezvous hashing grant one
 * trial at a time.
 */
export class CrashController extends Disposable {
  private readonly _reportByEndpoint = new Map<string, ICrashReport>();
  private readonly _attemptsOnTrial = new Set<string>();
  /** Attempts that wait for their trial to begin; they have sent nothing to their endpoint. */
  private readonly _unsentAttempts = new Set<string>();
  private readonly _grants: TrialGrants;
  private readonly _ranking: RendezvousRanking;
  private _sweepTimer: IDisposable | undefined;

  constructor(private readonly _options: ICrashOptions) {
    super();
    this._grants = new TrialGrants(_options);
    this._ranking = new RendezvousRanking(_options.hashTexts);
    this._scheduleSweep();
  }

  public override dispose(): void {
    super.dispose();
    this._sweepTimer?.dispose();
  }

  /**
   * Runs an attempt, on trial if its request is a suspect. If the endpoint crashes, the result is returned
   * only after the crash has been reported to the peers.
   */
  public readonly runAttempt: RunAttempt = async (call, onPart) => {
    const { fingerprint } = call.request;
    if (isBlocked(this._options.board, fingerprint)) return BLOCKED_RESULT;
    if (!needsTrial(this._options.board, fingerprint)) return this._runAndReport(call, onPart);
    const keys = [`fingerprint ${fingerprint}`, `endpoint ${call.endpoint.id}`];
    try {
      for (const key of keys) if (!(await this._acquire(key, call))) return TRIAL_CANCELLED_RESULT;
      if (!(await this._waitForOtherSuspects(call))) return TRIAL_CANCELLED_RESULT;
      // A copy of the request may have finished its trial while this attempt waited.
      if (isBlocked(this._options.board, fingerprint)) return BLOCKED_RESULT;
      if (!needsTrial(this._options.board, fingerprint)) return await this._runAndReport(call, onPart);
      this._attemptsOnTrial.add(call.attempt.id);
      this._options.board.crashSuspects.update(fingerprint, { state: 'on-trial' });
      return await this._runAndReport(call, onPart);
    } finally {
      this._attemptsOnTrial.delete(call.attempt.id);
      const isStillOnTrial = this._options.board.crashSuspects.get(fingerprint)?.state === 'on-trial';
      if (isStillOnTrial) this._options.board.crashSuspects.update(fingerprint, { state: 'suspected' });
      for (const key of keys) this._release(key, call.attempt.id);
    }
  };

  /** Handles a message of another host; returns false for the answer no. */
  public handleMessage(message: SuspectMessage): boolean {
    switch (message.kind) {
      case 'crash':
        for (const observation of message.sights) this._recordCrash(observation);
        return true;
      case 'clear':
        this._clear(message.fingerprint);
        return true;
      case 'check':
        return !this._hasSuspectInFlight(message.endpoint);
      case 'acquire':
        return this._grants.acquire(message.key, message.holder, message.durationMs);
      case 'release':
        this._grants.release(message.key, message.holder);
        return true;
    }
  }

  private readonly _runAndReport: RunAttempt = async (call, onPart) => {
    const result = await this._options.runAttempt(call, onPart);
    if (result.isErr && result.error.kind === 'crashed') await this._reportCrash(call);
    else if (result.isOk && needsTrial(this._options.board, call.request.fingerprint)) {
      this._clear(call.request.fingerprint);
      void this._notifyPeers({ kind: 'clear', fingerprint: call.request.fingerprint });
    }
    return result;
  };

  /**
   * Reports a crash of an endpoint. One report covers every attempt that was in flight at the crash, so the
   * other failed attempts wait for the same report instead of sending their own.
   */
  private _reportCrash({ attempt }: IAttemptCall): Promise<void> {
    const { endpoint } = attempt;
    const known = this._reportByEndpoint.get(endpoint);
    if (known?.attempts.has(attempt.id)) return known.peersNotified;
    const inFlight = [...this._options.board.attempts.list()].filter(
      ({ endpoint: attemptEndpoint, phase }) =>
        attemptEndpoint === endpoint && (phase === 'sent' || phase === 'streaming'),
    );
    const attempts = new Set([attempt.id, ...inFlight.map(({ id }) => id)]);
    const observations = this._listObservations(endpoint, attempts);
    for (const observation of observations) this._recordCrash(observation);
    const peersNotified = this._notifyPeers({ kind: 'crash', sights: observations });
    this._reportByEndpoint.set(endpoint, { attempts, peersNotified });
    return peersNotified;
  }

  private _listObservations(endpoint: string, attempts: ReadonlySet<string>): ICrashObservation[] {
    const { board } = this._options;
    const isOnTrialByFingerprint = new Map<string, boolean>();
    for (const id of attempts) {
      const fingerprint = board.requests.get(board.attempts.get(id)?.request ?? '')?.fingerprint;
      if (fingerprint === undefined || this._unsentAttempts.has(id)) continue;
      isOnTrialByFingerprint.set(
        fingerprint,
        (isOnTrialByFingerprint.get(fingerprint) ?? false) || this._attemptsOnTrial.has(id),
      );
    }
    const suspectFingerprints = [...isOnTrialByFingerprint.keys()].filter((fingerprint) =>
      needsTrial(board, fingerprint),
    );
    return [...isOnTrialByFingerprint].map(([fingerprint, isOnTrial]) => ({
      fingerprint,
      endpoint,
      isOnTrial: isOnTrial && suspectFingerprints.length === 1,
    }));
  }

  private _recordCrash(observation: ICrashObservation): void {
    const { board, clock, maxSuspects = 10_000 } = this._options;
    const known = board.crashSuspects.get(observation.fingerprint);
    if (!known && board.crashSuspects.size >= maxSuspects) this._removeOneSuspect();
    board.crashSuspects.set(observation.fingerprint, computeSuspect(known, observation, clock.now()));
  }

  private _clear(fingerprint: string): void {
    const { board, clock } = this._options;
    if (needsTrial(board, fingerprint))
      board.crashSuspects.update(fingerprint, { state: 'cleared', changedAt: clock.now() });
  }

  /**
   * Makes room in the panel: removes the oldest cleared suspect, or the oldest suspect if none is cleared.
   */
  private _removeOneSuspect(): void {
    const { crashSuspects } = this._options.board;
    let removable: string | undefined;
    for (const { fingerprint, state } of crashSuspects.list()) {
      removable ??= fingerprint;
      if (state !== 'cleared') continue;
      removable = fingerprint;
      break;
    }
    if (removable !== undefined) crashSuspects.delete(removable);
  }

  /**
   * Tells whether this host has a suspect in flight at the endpoint, such as a request that was sent before
   * it became a suspect.
   */
  private _hasSuspectInFlight(endpoint: string): boolean {
    const { board } = this._options;
    return [...board.attempts.list()].some(
      ({ endpoint: attemptEndpoint, id, phase, request }) =>
        attemptEndpoint === endpoint &&
        (phase === 'sent' || phase === 'streaming') &&
        !this._unsentAttempts.has(id) &&
        needsTrial(board, board.requests.get(request)?.fingerprint ?? ''),
    );
  }

  /**
   * Waits until no host has a suspect in flight at the endpoint. The grant for the endpoint, which the caller
   * holds, keeps new trials from starting there meanwhile. Returns false when the request ends first.
   */
  private async _waitForOtherSuspects({
    attempt,
    endpoint,
    request,
    signal,
  }: IAttemptCall): Promise<boolean> {
    this._unsentAttempts.add(attempt.id);
    try {
      while (!signal.aborted && this._options.clock.now() < request.deadlineAt) {
        const replies = this._sendToPeers({ kind: 'check', endpoint: endpoint.id });
        if (!this._hasSuspectInFlight(endpoint.id) && (await replies).every(Boolean)) return !signal.aborted;
        await this._waitFor(TRIAL_RETRY_MS);
      }
      return false;
    } finally {
      this._unsentAttempts.delete(attempt.id);
    }
  }

  /** Asks for a grant until it is given; returns false when the request ends first. */
  private async _acquire(key: string, call: IAttemptCall): Promise<boolean> {
    const { clock } = this._options;
    const holder = call.attempt.id;
    this._unsentAttempts.add(holder);
    try {
      while (!call.signal.aborted && clock.now() < call.request.deadlineAt) {
        const durationMs = Math.max(0, call.request.deadlineAt - clock.now()) + GRANT_MARGIN_MS;
        if (await this._sendToOwner(key, { kind: 'acquire', key, holder, durationMs }))
          return !call.signal.aborted;
        await this._waitFor(TRIAL_RETRY_MS);
      }
      return false;
    } finally {
      this._unsentAttempts.delete(holder);
    }
  }

  private _release(key: string, holder: string): void {
    void this._sendToOwner(key, { kind: 'release', key, holder });
  }

  /** Sends a message to the host that owns the key by rendezvous hashing. */
  private _sendToOwner(key: string, message: SuspectMessage): Promise<boolean> {
    const { board, host, sendMessage } = this._options;
    const hosts = [host, ...listPeers(board, host).map(({ id }) => id)];
    const owner = this._ranking.sort(key, hosts)[0] ?? host;
    return owner === host ? Promise.resolve(this.handleMessage(message)) : sendMessage(owner, message);
  }

  private async _notifyPeers(message: SuspectMessage): Promise<void> {
    const hasNoPeers = listPeers(this._options.board, this._options.host).length === 0;
    if (!hasNoPeers) await Promise.race([this._sendToPeers(message), this._waitFor(REPORT_TIMEOUT_MS)]);
  }

  private _sendToPeers(message: SuspectMessage): Promise<boolean[]> {
    const { board, host, sendMessage } = this._options;
    return Promise.all(listPeers(board, host).map(({ id }) => sendMessage(id, message)));
  }

  private _waitFor(delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      this._options.clock.schedule(delay, resolve);
    });
  }

  private _scheduleSweep(): void {
    const { board, clock } = this._options;
    this._sweepTimer = clock.schedule(SWEEP_INTERVAL_MS, () => {
      const cutoff = clock.now() - SUSPECT_RETENTION_MS;
      for (const { fingerprint, changedAt } of [...board.crashSuspects.list()]) {
        if (changedAt <= cutoff) board.crashSuspects.delete(fingerprint);
      }
      this._scheduleSweep();
    });
  }
}

const BLOCKED_RESULT: Awaited<ReturnType<RunAttempt>> = Result.err({
  kind: 'refused',
  ran: 'no',
  message: 'The request crashes endpoints.',
});
const TRIAL_CANCELLED_RESULT: Awaited<ReturnType<RunAttempt>> = Result.err({
  kind: 'cancelled',
  ran: 'no',
  message: 'The request ended while it waited for its trial.',
});
