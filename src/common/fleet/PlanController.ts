import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRequestEntry, IVersionPlan } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { listServiceEndpoints } from '../request/Candidates.js';
import { refuseRequest } from '../request/Refusals.js';
import type { IClock, Millis } from '../Types.js';
import { formatSessionKey, isSessionActive } from './Sessions.js';
import type { ChooseModels, ChooseRelease } from './VersionChoice.js';
import { formatVersion, parseVersion } from './Versions.js';

/** Options of the plan controller. */
export interface IPlanOptions {
  board: Blackboard;
  clock: IClock;
  chooseModels: ChooseModels;
  chooseRelease: ChooseRelease;
  /** Hashes a text to a fraction from 0 up to but excluding 1. All hosts must compute the same value. */
  hashToFraction: (text: string) => number;
  /** Shortens the key of a session as in the published holds. */
  hashSession: (sessionKey: string) => string;
}

const NO_ENDPOINT_RETRY_AFTER_MS: Millis = 300;

/**
 * Plans requests on a host without a journal. Chooses the versions of an admitted or claimed request and moves
 * it to `queued`. Moves an answered request straight to `billed`, as nothing is billed. Remembers the releases
 * of sessions in memory only.
 */
export class PlanController extends Disposable {
  constructor(private readonly _options: IPlanOptions) {
    super();
    this._register(
      _options.board.requests.onChange(({ before, after }) => {
        if (!after || after.phase === before?.phase) return;
        if (after.phase === 'admitted' || after.phase === 'claimed') this._planRequest(after);
        if (after.phase === 'queued' && before?.phase === 'running') this._replaceEndedRelease(after);
        if (after.phase === 'answered') this._options.board.requests.update(after.id, { phase: 'billed' });
        // A session keeps its release for a time after the end of its last request, not after the start.
        const hasRun = after.attemptCount > 0;
        if (hasRun && (after.phase === 'billed' || after.phase === 'refused'))
          this._recordSessionRelease(after);
      }),
    );
    this._register(
      _options.board.attempts.onChange(({ before, after }) => {
        const request = after && _options.board.requests.get(after.request);
        if (request && after.phase === 'sent' && before?.phase === 'planned')
          this._recordSessionRelease(request);
      }),
    );
  }

  private _planRequest(request: IRequestEntry): void {
    const { board } = this._options;
    const release = this._chooseRelease(request);
    // A claimed request with a version lost the endpoints of its release to an evacuation. It keeps its step of the plan.
    const hasVersion = request.phase === 'claimed' && request.version !== undefined;
    const plan = hasVersion ? replaceRequestRelease : this._planVersions;
    const version = release === undefined ? undefined : plan(request, release);
    if (version === undefined) {
      const message = 'No endpoint of the service is known.';
      const retryAfterMs = NO_ENDPOINT_RETRY_AFTER_MS;
      refuseRequest(board, request.id, { code: 'no_capacity', message, ran: request.ran, retryAfterMs });
      return;
    }
    board.requests.update(request.id, { phase: 'queued', ...version });
  }

  /**
   * Chooses the release again for a request that runs again, if a rollout may have ended its own. The platform
   * stops the endpoints of the new release after a rollback, and those of the old one at the success, which this
   * host reads only later.
   */
  private _replaceEndedRelease(request: IRequestEntry): void {
    const { board } = this._options;
    const { service, version = '' } = request;
    const current = parseVersion(version)?.release;
    const rollout = board.rollouts.get(service);
    if (!rollout || current === undefined) return;
    const isNewRelease = current === rollout.release;
    const isFullOrOver = rollout.stage === 'full' || rollout.stage === 'succeeded';
    const mayHaveEnded = isNewRelease ? rollout.stage === 'rolled-back' : isFullOrOver;
    const release = mayHaveEnded ? this._chooseRelease(request) : undefined;
    const replacement = release === undefined ? undefined : replaceRequestRelease(request, release);
    if (replacement) board.requests.update(request.id, replacement);
  }

  private _chooseRelease(request: IRequestEntry): string | undefined {
    const { board, chooseRelease, clock, hashSession, hashToFraction } = this._options;
    const now = clock.now();
    const sessionKey = formatSessionKey({ ...request, session: request.session ?? request.id });
    const session = request.session === undefined ? undefined : board.sessions.get(sessionKey);
    const holds = request.session === undefined ? undefined : board.sessionHolds.get(request.service);
    return chooseRelease({
      rollout: board.rollouts.get(request.service),
      endpoints: listServiceEndpoints(board, request.service),
      lastRelease: session && isSessionActive(board, session, now) ? session.version : undefined,
      hasSession: request.session !== undefined,
      isHeld: holds?.sessions.has(hashSession(sessionKey)) ?? false,
      hashFraction: hashToFraction(sessionKey),
      now,
    });
  }

  private readonly _planVersions = (
    request: IRequestEntry,
    release: string,
  ): Pick<IRequestEntry, 'version' | 'plan'> | undefined => {
    const { board, chooseModels } = this._options;
    const { service, target } = request;
    if (target.kind === 'plain') return { version: formatVersion({ service, model: undefined, release }) };
    const serviceSpec = board.routing.get('in-force')?.services.get(service);
    const models = request.models ?? [target.model];
    const [first, ...others] = chooseModels({ request, models, specs: serviceSpec?.models ?? [] }).map(
      (model) => formatVersion({ service, model, release }),
    );
    if (first === undefined) return undefined;
    return {
      version: first,
      plan: { steps: [first, ...others], isExploration: false, eligibleRollouts: [] },
    };
  };

  private _recordSessionRelease(request: IRequestEntry): void {
    const { board, clock } = this._options;
    const release = parseVersion(request.version ?? '')?.release;
    if (release === undefined || request.session === undefined) return;
    const key = formatSessionKey(request);
    // Deleted first, so that the panel lists sessions from the least to the most recently used.
    // _deleteExpiredSessions stops at the first session that has not expired.
    board.sessions.delete(key);
    board.sessions.set(key, { key, version: release, pinnedAt: clock.now(), isDurable: false });
    this._deleteExpiredSessions();
  }

  private _deleteExpiredSessions(): void {
    const { board, clock } = this._options;
    for (const session of board.sessions.list()) {
      if (isSessionActive(board, session, clock.now())) return;
      board.sessions.delete(session.key);
    }
  }
}

/** Replaces the release in the versions of a request; `undefined` if it has that release already. */
function replaceRequestRelease(
  { plan, version = '' }: IRequestEntry,
  release: string,
): Pick<IRequestEntry, 'version' | 'plan'> | undefined {
  if (parseVersion(version)?.release === release) return undefined;
  const steps = plan && mapSteps(plan.steps, (step) => replaceRelease(step, release));
  return {
    version: replaceRelease(version, release),
    ...(plan && steps ? { plan: { ...plan, steps } } : {}),
  };
}

function replaceRelease(version: string, release: string): string {
  const parts = parseVersion(version);
  return parts ? formatVersion({ ...parts, release }) : version;
}

function mapSteps(
  [first, ...others]: IVersionPlan['steps'],
  replaceStep: (step: string) => string,
): IVersionPlan['steps'] {
  return [replaceStep(first), ...others.map(replaceStep)];
}
