import { Result } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import { listPeers } from '../coordination/HostStates.js';
import { RendezvousRanking, type HashTexts } from '../coordination/Rendezvous.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import { computeSuspect, isBlocked, needsTrial, SUSPECT_RETENTION_MS, type ICrashSight } from './Suspects.js';
import { TrialGrants } from './TrialGrants.js';
import type { IAttemptCall, RunAttempt } from './Types.js';

/** What a host tells or asks another about suspects. */
export type SuspectMessage =
  | { kind: 'crash'; sights: readonly ICrashSight[] }
  | { kind: 'clear'; fingerprint: string }
  | { kind: 'check'; endpoint: string }
  | { kind: 'acquire'; key: string; holder: string; durationMs: Millis }
  | { kind: 'release'; key: string; holder: string };

/** Sends a message about suspects; resolves with false when the peer denies it or cannot be reached. */
export type SendSuspectMessage = (host: string, message: SuspectMessage) => Promise<boolean>;

/** Options of the crash controller. */
export interface ICrashOptions {
  board: Blackboard;
  clock: IClock;
  /** Id of this host. */
  self: string;
  hash: HashTexts;
  send: SendSuspectMessage;
  /** Runs an attempt that may run. */
  runAttempt: RunAttempt;
  /** Most entries in the `suspects` panel. Default 10,000. */
  maxSuspects?: number;
}

interface ICrash {
  attempts: ReadonlySet<string>;
  reported: Promise<void>;
}

/** Longest wait of a failure for the peers' confirmations that they know the suspects. */
const REPORT_TIMEOUT_MS = 1000;
/** Interval at which a suspect asks again for its trial. */
const TRIAL_RETRY_MS = 50;
/** Grants outlive the deadline of the trial, as its cancellation takes time. */
const GRANT_MARGIN_MS = 2000;
const SWEEP_INTERVAL_MS = 60_000;

/**
 * Marks the requests in flight at a crashed endpoint as suspects on all hosts before their failure is
 * known, and runs each of them again alone among suspects. The owners of the fingerprint and of the
 * endpoint by rendezvous hash grant one trial at a time.
 */
export class CrashController extends Disposable {
  private readonly _crashes = new Map<string, ICrash>();
  private readonly _onTrial = new Set<string>();
  /** Attempts that wait for a grant; they have sent nothing to their endpoint. */
  private readonly _waiting = new Set<string>();
  private readonly _grants: TrialGrants;
  private readonly _ranking: RendezvousRanking;
  private _sweepTimer: IDisposable | undefined;

  constructor(private readonly _options: ICrashOptions) {
    super();
    this._grants = new TrialGrants(_options);
    this._ranking = new RendezvousRanking(_options.hash);
    this._scheduleSweep();
  }

  public override dispose(): void {
    super.dispose();
    this._sweepTimer?.dispose();
  }

  /** Runs an attempt, on trial where the request is a suspect; a crash is reported before it resolves. */
  public readonly runAttempt: RunAttempt = async (call, onPart) => {
    const { fingerprint } = call.request;
    if (isBlocked(this._options.board, fingerprint)) return BLOCKED;
    if (!needsTrial(this._options.board, fingerprint)) return this._runAndReport(call, onPart);
    const keys = [`fingerprint ${fingerprint}`, `endpoint ${call.endpoint.id}`];
    try {
      for (const key of keys) if (!(await this._acquire(key, call))) return WAITED;
      if (!(await this._waitUntilAlone(call))) return WAITED;
      // Another copy may have ended its trial while this one waited.
      if (isBlocked(this._options.board, fingerprint)) return BLOCKED;
      if (!needsTrial(this._options.board, fingerprint)) return await this._runAndReport(call, onPart);
      this._onTrial.add(call.attempt.id);
      this._options.board.suspects.update(fingerprint, { state: 'on-trial' });
      return await this._runAndReport(call, onPart);
    } finally {
      this._onTrial.delete(call.attempt.id);
      const isStillOnTrial = this._options.board.suspects.get(fingerprint)?.state === 'on-trial';
      if (isStillOnTrial) this._options.board.suspects.update(fingerprint, { state: 'suspected' });
      for (const key of keys) this._release(key, call.attempt.id);
    }
  };

  /** Handles a message of another host; false when it is denied. */
  public handleMessage(message: SuspectMessage): boolean {
    switch (message.kind) {
      case 'crash':
        for (const sight of message.sights) this._addSight(sight);
        return true;
      case 'clear':
        this._clear(message.fingerprint);
        return true;
      case 'check':
        return !this._hasSuspectAt(message.endpoint);
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
      void this._tellPeers({ kind: 'clear', fingerprint: call.request.fingerprint });
    }
    return result;
  };

  /** One report covers every attempt in flight at the crash; the others wait for the same report. */
  private _reportCrash({ attempt }: IAttemptCall): Promise<void> {
    const { endpoint } = attempt;
    const known = this._crashes.get(endpoint);
    if (known?.attempts.has(attempt.id)) return known.reported;
    const inFlight = [...this._options.board.attempts.list()].filter(
      ({ endpoint: at, phase }) => at === endpoint && (phase === 'sent' || phase === 'streaming'),
    );
    const attempts = new Set([attempt.id, ...inFlight.map(({ id }) => id)]);
    const sights = this._listSights(endpoint, attempts);
    for (const sight of sights) this._addSight(sight);
    const reported = this._tellPeers({ kind: 'crash', sights });
    this._crashes.set(endpoint, { attempts, reported });
    return reported;
  }

  private _listSights(endpoint: string, attempts: ReadonlySet<string>): ICrashSight[] {
    const { board } = this._options;
    const trials = new Map<string, boolean>();
    for (const id of attempts) {
      const fingerprint = board.requests.get(board.attempts.get(id)?.request ?? '')?.fingerprint;
      if (fingerprint === undefined || this._waiting.has(id)) continue;
      trials.set(fingerprint, (trials.get(fingerprint) ?? false) || this._onTrial.has(id));
    }
    const suspects = [...trials.keys()].filter((fingerprint) => needsTrial(board, fingerprint));
    return [...trials].map(([fingerprint, isOnTrial]) => ({
      fingerprint,
      endpoint,
      isOnTrial: isOnTrial && suspects.length === 1,
    }));
  }

  private _addSight(sight: ICrashSight): void {
    const { board, clock, maxSuspects = 10_000 } = this._options;
    const known = board.suspects.get(sight.fingerprint);
    if (!known && board.suspects.size >= maxSuspects) this._dropOne();
    board.suspects.set(sight.fingerprint, computeSuspect(known, sight, clock.now()));
  }

  private _clear(fingerprint: string): void {
    const { board, clock } = this._options;
    if (needsTrial(board, fingerprint))
      board.suspects.update(fingerprint, { state: 'cleared', changedAt: clock.now() });
  }

  private _dropOne(): void {
    const { suspects } = this._options.board;
    let oldest: string | undefined;
    for (const { fingerprint, state } of suspects.list()) {
      oldest ??= fingerprint;
      if (state !== 'cleared') continue;
      oldest = fingerprint;
      break;
    }
    if (oldest !== undefined) suspects.delete(oldest);
  }

  /** Whether a suspect that started before it was suspected still runs at the endpoint. */
  private _hasSuspectAt(endpoint: string): boolean {
    const { board } = this._options;
    return [...board.attempts.list()].some(
      ({ endpoint: at, id, phase, request }) =>
        at === endpoint &&
        (phase === 'sent' || phase === 'streaming') &&
        !this._waiting.has(id) &&
        needsTrial(board, board.requests.get(request)?.fingerprint ?? ''),
    );
  }

  /** Waits until all hosts say that no suspect runs at the endpoint; the grant keeps new ones away. */
  private async _waitUntilAlone({ attempt, endpoint, request, signal }: IAttemptCall): Promise<boolean> {
    this._waiting.add(attempt.id);
    try {
      while (!signal.aborted && this._options.clock.now() < request.deadlineAt) {
        const answers = this._sendToPeers({ kind: 'check', endpoint: endpoint.id });
        if (!this._hasSuspectAt(endpoint.id) && (await answers).every(Boolean)) return !signal.aborted;
        await this._waitFor(TRIAL_RETRY_MS);
      }
      return false;
    } finally {
      this._waiting.delete(attempt.id);
    }
  }

  private async _acquire(key: string, call: IAttemptCall): Promise<boolean> {
    const { clock } = this._options;
    const holder = call.attempt.id;
    this._waiting.add(holder);
    try {
      while (!call.signal.aborted && clock.now() < call.request.deadlineAt) {
        const durationMs = Math.max(0, call.request.deadlineAt - clock.now()) + GRANT_MARGIN_MS;
        if (await this._ask(key, { kind: 'acquire', key, holder, durationMs })) return !call.signal.aborted;
        await this._waitFor(TRIAL_RETRY_MS);
      }
      return false;
    } finally {
      this._waiting.delete(holder);
    }
  }

  private _release(key: string, holder: string): void {
    void this._ask(key, { kind: 'release', key, holder });
  }

  private _ask(key: string, message: SuspectMessage): Promise<boolean> {
    const { board, self, send } = this._options;
    const members = [self, ...listPeers(board, self).map(({ id }) => id)];
    const owner = this._ranking.sort(key, members)[0] ?? self;
    return owner === self ? Promise.resolve(this.handleMessage(message)) : send(owner, message);
  }

  private async _tellPeers(message: SuspectMessage): Promise<void> {
    const isAlone = listPeers(this._options.board, this._options.self).length === 0;
    if (!isAlone) await Promise.race([this._sendToPeers(message), this._waitFor(REPORT_TIMEOUT_MS)]);
  }

  private _sendToPeers(message: SuspectMessage): Promise<boolean[]> {
    const { board, self, send } = this._options;
    return Promise.all(listPeers(board, self).map(({ id }) => send(id, message)));
  }

  private _waitFor(delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      this._options.clock.schedule(delay, resolve);
    });
  }

  private _scheduleSweep(): void {
    const { board, clock } = this._options;
    this._sweepTimer = clock.schedule(SWEEP_INTERVAL_MS, () => {
      const oldest = clock.now() - SUSPECT_RETENTION_MS;
      for (const { fingerprint, changedAt } of [...board.suspects.list()]) {
        if (changedAt <= oldest) board.suspects.delete(fingerprint);
      }
      this._scheduleSweep();
    });
  }
}

const BLOCKED: Awaited<ReturnType<RunAttempt>> = Result.err({
  kind: 'refused',
  ran: 'no',
  message: 'The request crashes endpoints.',
});
const WAITED: Awaited<ReturnType<RunAttempt>> = Result.err({
  kind: 'cancelled',
  ran: 'no',
  message: 'The request ended while it waited for its trial.',
});
