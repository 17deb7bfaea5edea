import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRequestEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { listServiceEndpoints } from '../request/Candidates.js';
import { refuseRequest } from '../request/Refusals.js';
import type { IClock, Millis } from '../Types.js';
import type { ChooseModels, ChooseRelease } from './Plans.js';
import { formatVersion, parseVersion } from './Versions.js';

/** Options of the plan controller. */
export interface IPlanOptions {
  board: Blackboard;
  clock: IClock;
  chooseModels: ChooseModels;
  chooseRelease: ChooseRelease;
  /** Position of a session or request, 0 up to 1, that all hosts compute alike. */
  hashPoint: (text: string) => number;
}

const NO_ENDPOINT_RETRY_AFTER_MS: Millis = 300;

/**
 * Moves requests from `admitted` to `queued` with a plan of versions, where no journal keeps claims and
 * pins, and from `answered` to `billed`, where nothing is billed.
 */
export class PlanController extends Disposable {
  constructor(private readonly _options: IPlanOptions) {
    super();
    this._register(
      _options.board.requests.onChange(({ before, after }) => {
        if (!after || after.phase === before?.phase) return;
        if (after.phase === 'admitted' || after.phase === 'claimed') this._planRequest(after);
        if (after.phase === 'answered') this._options.board.requests.update(after.id, { phase: 'billed' });
      }),
    );
    this._register(
      _options.board.attempts.onChange(({ before, after }) => {
        if (after?.phase === 'sent' && before?.phase === 'planned') this._recordSession(after.request);
      }),
    );
  }

  private _planRequest(request: IRequestEntry): void {
    const { board } = this._options;
    const release = this._chooseRelease(request);
    const version = release === undefined ? undefined : this._planVersions(request, release);
    if (version === undefined) {
      const message = 'No endpoint of the service is known.';
      const retryAfterMs = NO_ENDPOINT_RETRY_AFTER_MS;
      refuseRequest(board, request.id, { code: 'no_capacity', message, ran: request.ran, retryAfterMs });
      return;
    }
    board.requests.update(request.id, { phase: 'queued', ...version });
  }

  private _chooseRelease(request: IRequestEntry): string | undefined {
    const { board, chooseRelease, clock, hashPoint } = this._options;
    const session = request.session === undefined ? undefined : board.sessions.get(formatSession(request));
    const isRecent = session !== undefined && clock.now() - session.pinnedAt < readSessionMs(board);
    return chooseRelease({
      rollout: board.rollouts.get(request.service),
      endpoints: listServiceEndpoints(board, request.service),
      lastRelease: isRecent ? session.version : undefined,
      point: hashPoint(`${request.service}/${request.session ?? request.id}`),
      now: clock.now(),
    });
  }

  private _planVersions(
    request: IRequestEntry,
    release: string,
  ): Pick<IRequestEntry, 'version' | 'plan'> | undefined {
    const { board, chooseModels } = this._options;
    const { service, target } = request;
    if (target.kind === 'plain') return { version: formatVersion({ service, model: undefined, release }) };
    const spec = board.routing.get('in-force')?.services.get(service);
    const models = request.models ?? [target.model];
    const [first, ...others] = chooseModels({ request, models, specs: spec?.models ?? [] }).map((model) =>
      formatVersion({ service, model, release }),
    );
    if (first === undefined) return undefined;
    return { version: first, plan: { steps: [first, ...others], isExploration: false, rollouts: [] } };
  }

  private _recordSession(id: string): void {
    const { board, clock } = this._options;
    const request = board.requests.get(id);
    const release = parseVersion(request?.version ?? '')?.release;
    if (!request || release === undefined || request.session === undefined) return;
    const key = formatSession(request);
    // Deleted first, so that the panel's order of insertion is the order of use.
    board.sessions.delete(key);
    board.sessions.set(key, { key, version: release, pinnedAt: clock.now(), isDurable: false });
    this._expireSessions();
  }

  private _expireSessions(): void {
    const { board, clock } = this._options;
    const sessionMs = readSessionMs(board);
    for (const { key, pinnedAt } of board.sessions.list()) {
      if (clock.now() - pinnedAt < sessionMs) return;
      board.sessions.delete(key);
    }
  }
}

/** Time after its last request in which a session keeps its release. */
function readSessionMs(board: Blackboard): Millis {
  return board.limits.get('in-force')?.sessionMs ?? 0;
}

function formatSession({ service, session }: IRequestEntry): string {
  return `${service}/${session ?? ''}`;
}
