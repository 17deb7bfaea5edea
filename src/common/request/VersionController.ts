import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRequestEntry, IVersionPlan } from '../blackboard/Types.js';
import type { IJournal } from '../coordination/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock } from '../Types.js';
import { refuseRequest } from './Refusals.js';
import type { ChooseVersion, VersionDecision } from './Types.js';

/** Options of the version controller. */
export interface IVersionOptions {
  board: Blackboard;
  clock: IClock;
  journal: IJournal;
  chooseVersion: ChooseVersion;
  /** Hashes client account and session into a journal key. */
  hashSession: (request: IRequestEntry) => string;
  readWallClock: () => number;
  /** Tells whether any endpoint that accepts new work has a version. */
  hasVersion: (version: string) => boolean;
  /**
   * Hashes a request to a number from 0 (included) to 1 (excluded) for a sampling purpose. Default: always 1,
   * which excludes requests from every rollout and exploration.
   */
  hashToFraction?: (request: IRequestEntry, purpose: string) => number;
}

type ChosenVersion = Extract<VersionDecision, { kind: 'use' }>;

/** Chooses the version of requests and moves them from `claimed` to `queued`; pins sessions to a version. */
export class VersionController extends Disposable {
  constructor(private readonly _options: IVersionOptions) {
    super();
    this._register(
      _options.board.requests.onChange(({ before, after }) => {
        if (after?.phase === 'claimed' && before?.phase !== 'claimed') this._handleClaimed(after);
      }),
    );
  }

  private _handleClaimed(request: IRequestEntry): void {
    if (request.target.kind === 'plain') this._queueRequest(request, undefined);
    else if (request.session === undefined) this._chooseVersion(request, undefined);
    else void this._chooseForSession(request);
  }

  private _chooseVersion(
    request: IRequestEntry,
    pinnedVersion: string | undefined,
  ): ChosenVersion | undefined {
    const { board, chooseVersion, hasVersion } = this._options;
    const service = board.services.get(request.service);
    if (!service) {
      const message = 'The service is no longer configured.';
      refuseRequest(board, request.id, { code: 'unknown_service', message, ran: 'no' });
      return undefined;
    }
    const hashToFraction = (purpose: string): number => this._options.hashToFraction?.(request, purpose) ?? 1;
    const decision = chooseVersion({
      request,
      service,
      pinnedVersion,
      hasEndpoint: hasVersion,
      hashToFraction,
    });
    if (decision.kind === 'refuse') {
      refuseRequest(board, request.id, decision.refusal);
      return undefined;
    }
    if (request.session === undefined || pinnedVersion !== undefined) {
      this._queueRequest(request, decision.version, decision.plan);
    }
    return decision;
  }

  private async _chooseForSession(request: IRequestEntry): Promise<void> {
    const key = this._options.hashSession(request);
    const pinned = this._options.board.sessions.get(key)?.version ?? (await this._readPin(key));
    if (pinned !== undefined) {
      this._chooseVersion(request, pinned);
      return;
    }
    const chosen = this._chooseVersion(request, undefined);
    if (chosen) await this._writePin(request, key, chosen);
  }

  private async _readPin(key: string): Promise<string | undefined> {
    const record = await this._options.journal.lookup(key);
    return record.isOk ? record.value?.version : undefined;
  }

  /**
   * Writes the session's pin to the journal before the request is queued. If another host has pinned the
   * session first, the request uses that version.
   */
  private async _writePin(request: IRequestEntry, key: string, chosen: ChosenVersion): Promise<void> {
    const { board, clock, journal, readWallClock } = this._options;
    const { plan, version } = chosen;
    const result = await journal.append(key, [{ kind: 'pin', key, version, atMs: readWallClock() }]);
    const outcome = result.isOk ? result.value[0] : undefined;
    const pinnedVersion = outcome?.kind === 'duplicate' ? (outcome.record.version ?? version) : version;
    board.sessions.set(key, { key, version: pinnedVersion, pinnedAt: clock.now(), isDurable: result.isOk });
    if (pinnedVersion === version) this._queueRequest(request, version, plan);
    else this._chooseVersion(request, pinnedVersion);
  }

  private _queueRequest(request: IRequestEntry, version: string | undefined, plan?: IVersionPlan): void {
    const { board } = this._options;
    if (board.requests.get(request.id)?.phase !== 'claimed') return;
    board.requests.update(request.id, { phase: 'queued', version, ...(plan ? { plan } : {}) });
  }
}
