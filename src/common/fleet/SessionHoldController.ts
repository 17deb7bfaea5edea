import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import { computeWatchPause } from './FactSyncController.js';
import { formatSessionKey, listActiveSessions } from './Sessions.js';
import type { IFactStore, IRolloutEntry, ISessionHolds } from './Types.js';
import { parseVersion } from './Versions.js';

/** Options of the session hold controller. */
export interface ISessionHoldOptions {
  board: Blackboard;
  clock: IClock;
  /** Id of this host. */
  host: string;
  store: Pick<IFactStore, 'writeSessionHolds'>;
  /** Hashes the key of a session to a fraction from 0 up to but excluding 1, as the choice of a release does. */
  hashToFraction: (sessionKey: string) => number;
  /** Shortens the key of a session for the store. All hosts must compute the same value. */
  hashSession: (sessionKey: string) => string;
}

/** Time for the store calls by which hosts exchange their holds, beyond the pauses of their watches. */
const EXCHANGE_MARGIN_MS: Millis = 300;

/**
 * Computes how long after the start of a canary stage a host keeps all sessions on the old release. Within
 * this time every host reads the start of the stage and publishes its sessions, and the others read them.
 * @example
 * computeHoldExchangeMs(2000); // 1633 ms for a `maxApplyDelayMs` of 2 s
 */
export function computeHoldExchangeMs(maxApplyDelayMs: Millis | undefined): Millis {
  return Math.round(2 * computeWatchPause(maxApplyDelayMs)) + EXCHANGE_MARGIN_MS;
}

/**
 * Keeps sessions on the old release throughout the canary stage of a rollout, on whichever host their next
 * request arrives. Only the hosts that have served a session know its release, and its hash alone would move
 * it to the new one. So each host publishes the sessions that the canary stage would move: when it reads the
 * start of the stage, and again when it begins to use the new release.
 */
export class SessionHoldController extends Disposable {
  constructor(private readonly _options: ISessionHoldOptions) {
    super();
    const { board } = _options;
    this._register(
      board.rollouts.onChange(({ key, before, after }) => {
        const isCanary = after?.stage === 'canary';
        if (isCanary && (before?.stage !== 'canary' || before.order !== after.order)) this._startStage(after);
        if (!isCanary) board.sessionHolds.delete(key);
      }),
    );
    this._register(
      board.facts.onChange(({ after }) => {
        if (after?.fact.kind === 'session-holds') this._applyHolds(after.fact.holds);
      }),
    );
  }

  private _startStage(rollout: IRolloutEntry): void {
    const { board, clock } = this._options;
    for (const { fact } of board.facts.list())
      if (fact.kind === 'session-holds') this._applyHolds(fact.holds);
    const published = this._publishHolds(rollout, new Set());
    clock.schedule(computeHoldExchangeMs(board.limits.get('in-force')?.maxApplyDelayMs), () => {
      if (!this._isDisposed) this._publishHolds(rollout, published);
    });
  }

  /** Publishes the sessions to hold if there are others than those published before; returns all of them. */
  private _publishHolds({ order, service }: IRolloutEntry, published: ReadonlySet<string>): Set<string> {
    const { board, host, store } = this._options;
    const current = board.rollouts.get(service);
    const sessions = new Set(published);
    if (current?.order !== order || current.stage !== 'canary') return sessions;
    for (const session of this._listSessionsToHold(current)) sessions.add(session);
    if (sessions.size === published.size) return sessions;
    const holds: ISessionHolds = { service, host, order, sessions: [...sessions] };
    this._applyHolds(holds);
    void store.writeSessionHolds(holds);
    return sessions;
  }

  /** Lists the sessions on the old release, recent or with requests in progress, that would move. */
  private _listSessionsToHold({ canaryShare, release, service }: IRolloutEntry): string[] {
    const { board, clock, hashSession, hashToFraction } = this._options;
    const keys = new Set<string>();
    for (const { key, version } of listActiveSessions(board, clock.now())) {
      if (version !== release && key.startsWith(`${service}/`)) keys.add(key);
    }
    for (const request of board.requests.list()) {
      const isOnOldRelease =
        request.service === service && parseVersion(request.version ?? '')?.release !== release;
      if (isOnOldRelease && request.session !== undefined && request.attemptCount > 0)
        keys.add(formatSessionKey(request));
    }
    return [...keys].filter((key) => hashToFraction(key) < canaryShare).map(hashSession);
  }

  private _applyHolds({ order, service, sessions }: ISessionHolds): void {
    const { board } = this._options;
    const rollout = board.rollouts.get(service);
    if (rollout?.order !== order || rollout.stage !== 'canary') return;
    const known = board.sessionHolds.get(service)?.sessions ?? [];
    board.sessionHolds.set(service, { service, sessions: new Set([...known, ...sessions]) });
  }
}
