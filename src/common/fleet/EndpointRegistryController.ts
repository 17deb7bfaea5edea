import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import type { IEndpointAnnouncement } from './Types.js';
import { formatVersion } from './Versions.js';
import { INITIAL_ENDPOINT_FIELDS } from '../request/InitialFields.js';

/** Options of the endpoint registry controller. */
export interface IEndpointRegistryOptions {
  board: Blackboard;
  clock: IClock;
}

/**
 * Time after a store outage within which endpoints announce themselves again if their announcements expired
 * during the outage. The platform promises about two seconds. An endpoint without an announcement after that
 * is gone.
 */
const REANNOUNCEMENT_PERIOD_MS: Millis = 2000;

/** Keeps the `endpoints` panel equal to the announcements of the endpoints in the store. */
export class EndpointRegistryController extends Disposable {
  /** Timers by endpoint that remove endpoints whose announcements were deleted. */
  private readonly _removalTimers = new Map<string, IDisposable>();
  /** Ids of endpoints by the store keys of their announcements, which may have become unreadable. */
  private readonly _idsByKey = new Map<string, string>();

  constructor(private readonly _options: IEndpointRegistryOptions) {
    super();
    this._register(
      _options.board.facts.onChange(({ key, after }) => {
        // An unreadable announcement leaves the endpoint as it is until the announcement is deleted.
        if (after?.fact.kind === 'endpoint') {
          this._idsByKey.set(key, after.fact.endpoint.id);
          this._applyAnnouncement(after.fact.endpoint);
        } else if (!after) this._handleRemovedKey(key);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    for (const timer of this._removalTimers.values()) timer.dispose();
    this._removalTimers.clear();
  }

  private _applyAnnouncement(announcement: IEndpointAnnouncement): void {
    const { board, clock } = this._options;
    this._cancelRemoval(announcement.id);
    const known = board.endpoints.get(announcement.id);
    const isSameProcess =
      known?.address === announcement.address && known.incarnation === announcement.startedAt;
    const entry = isSameProcess ? known : createEndpointEntry(announcement, clock.now());
    if (announcement.isLeaving && entry.health !== 'leaving') {
      board.endpoints.set(announcement.id, { ...entry, health: 'leaving', healthChangedAt: clock.now() });
    } else if (!isSameProcess) board.endpoints.set(announcement.id, entry);
  }

  private _handleRemovedKey(key: string): void {
    const { board, clock } = this._options;
    const id = this._idsByKey.get(key);
    if (id === undefined) return;
    this._idsByKey.delete(key);
    const delayMs = this._computeRemovalDelay();
    if (delayMs <= 0) {
      board.endpoints.delete(id);
      return;
    }
    this._cancelRemoval(id);
    const timer = clock.schedule(delayMs, () => {
      this._removalTimers.delete(id);
      board.endpoints.delete(id);
    });
    this._removalTimers.set(id, timer);
  }

  /**
   * Computes how long an endpoint may still announce itself again after a store outage; not positive if over.
   */
  private _computeRemovalDelay(): Millis {
    const { board, clock } = this._options;
    const connection = board.storeConnection.get('store');
    if (!connection || connection.state === 'lost') return REANNOUNCEMENT_PERIOD_MS;
    const { availableSince = connection.losses > 0 ? connection.changedAt : -Infinity } = connection;
    return Math.max(0, availableSince + REANNOUNCEMENT_PERIOD_MS - clock.now());
  }

  private _cancelRemoval(id: string): void {
    this._removalTimers.get(id)?.dispose();
    this._removalTimers.delete(id);
  }
}

function createEndpointEntry(announcement: IEndpointAnnouncement, now: Millis): IEndpointEntry {
  const { address, id, models, release, service, slots, startedAt, warmUpMs, zone } = announcement;
  const versions =
    models.length === 0
      ? [formatVersion({ service, model: undefined, release })]
      : models.map((model) => formatVersion({ service, model, release }));
  return {
    id,
    kind: models.length === 0 ? 'plain' : 'engine',
    service,
    address,
    zone,
    health: announcement.isLeaving ? 'leaving' : 'healthy',
    healthChangedAt: now,
    versions,
    ...INITIAL_ENDPOINT_FIELDS,
    inFlightLimit: slots,
    warmAt: now + warmUpMs,
    incarnation: startedAt,
    release,
    slots,
  };
}
