import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import type { IEndpointAnnouncement, IFactEntry } from './Types.js';
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

/**
 * Time for which a restored store may still list a process that had gone before. The platform deletes the announcement
 * of such a process after three missed heartbeats.
 */
const STALE_ANNOUNCEMENT_MS: Millis = 10_000;

/** Largest number of departures that are remembered. */
const MAX_DEPARTURES = 1024;

/** A process of an endpoint that has left, or whose announcement was deleted. */
interface IDeparture extends Pick<IEndpointEntry, 'address' | 'hasSaidLeaving' | 'pausedUntil'> {
  startedAt: number;
  wasLeaving: boolean;
  /** Era of the store in which it was removed. */
  era: number;
}

/** Keeps the `endpoints` panel equal to the announcements of the endpoints in the store. */
export class EndpointRegistryController extends Disposable {
  /** Timers by endpoint that remove endpoints whose announcements were deleted. */
  private readonly _removalTimers = new Map<string, IDisposable>();
  /** Ids of endpoints by the store keys of their announcements, which may have become unreadable. */
  private readonly _idsByKey = new Map<string, string>();
  /**
   * By endpoint. These processes may be announced again: by a restored store, or by themselves if their announcements
   * expired because heartbeats were lost.
   */
  private readonly _departures = new Map<string, IDeparture>();
  /** Timers by key that take over the announcement of a process that had gone before the store was restored. */
  private readonly _staleTimers = new Map<string, IDisposable>();

  constructor(private readonly _options: IEndpointRegistryOptions) {
    super();
    this._register(
      _options.board.facts.onChange(({ key, before, after }) => {
        this._staleTimers.get(key)?.dispose();
        this._staleTimers.delete(key);
        // An unreadable announcement leaves the endpoint as it is until the announcement is deleted.
        if (after?.fact.kind === 'endpoint') this._handleAnnouncement(after, after.fact.endpoint, before);
        else if (!after) this._handleRemovedKey(key);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    for (const timers of [this._removalTimers, this._staleTimers]) {
      for (const timer of timers.values()) timer.dispose();
      timers.clear();
    }
  }

  private _handleAnnouncement(
    { era = 0, key, revision }: IFactEntry,
    announcement: IEndpointAnnouncement,
    before: IFactEntry | undefined,
  ): void {
    this._idsByKey.set(key, announcement.id);
    const departure = this._findDeparture(announcement);
    if (departure?.wasLeaving) {
      this._applyAnnouncement({ ...announcement, isLeaving: true });
      return;
    }
    // In the copy of a restored store, an announcement may be of a process that had gone since. A later write is not.
    if (departure && era > departure.era && !before) {
      const timer = this._options.clock.schedule(STALE_ANNOUNCEMENT_MS, () => {
        this._staleTimers.delete(key);
        this._applyAnnouncement(announcement);
      });
      this._staleTimers.set(key, timer);
      return;
    }
    this._applyAnnouncement(announcement);
    // A list that is read again repeats what the endpoint said once.
    const isRepeated = before?.revision === revision && (before.era ?? 0) === era;
    if (!isRepeated) this._updateWarmAt(announcement);
  }

  /** Takes over how long a known process stays cold. News that come late never shorten that time. */
  private _updateWarmAt({ id, startedAt, warmUpMs }: IEndpointAnnouncement): void {
    const { board, clock } = this._options;
    const known = board.endpoints.get(id);
    const warmAt = clock.now() + warmUpMs;
    if (known?.incarnation !== startedAt || warmUpMs === 0 || warmAt <= (known.warmAt ?? 0)) return;
    board.endpoints.update(id, { warmAt });
  }

  private _findDeparture({ id, startedAt }: IEndpointAnnouncement): IDeparture | undefined {
    const departure = this._departures.get(id);
    // Processes that do not tell their start cannot be told apart.
    return departure?.startedAt === startedAt && startedAt > 0 ? departure : undefined;
  }

  private _applyAnnouncement(announcement: IEndpointAnnouncement): void {
    const { board, clock } = this._options;
    this._cancelRemoval(announcement.id);
    const known = board.endpoints.get(announcement.id);
    const isSameProcess =
      known?.address === announcement.address && known.incarnation === announcement.startedAt;
    const entry = isSameProcess ? known : this._createEntry(announcement);
    if (announcement.isLeaving && entry.health !== 'leaving') {
      board.endpoints.set(announcement.id, { ...entry, health: 'leaving', healthChangedAt: clock.now() });
    } else if (!isSameProcess) board.endpoints.set(announcement.id, entry);
  }

  /** Creates the entry of a process, with what it said before its announcement was deleted, if it was. */
  private _createEntry(announcement: IEndpointAnnouncement): IEndpointEntry {
    const now = this._options.clock.now();
    const isEvacuated = this._options.board.evacuatedZones.has(announcement.zone);
    const entry = { ...createEndpointEntry(announcement, now), ...(isEvacuated ? { isEvacuated } : {}) };
    const departure = this._findDeparture(announcement);
    if (departure?.address !== announcement.address) return entry;
    const { hasSaidLeaving = false, pausedUntil = now } = departure;
    return { ...entry, hasSaidLeaving, pausedUntil: pausedUntil > now ? pausedUntil : undefined };
  }

  private _handleRemovedKey(key: string): void {
    const { clock } = this._options;
    const id = this._idsByKey.get(key);
    if (id === undefined) return;
    this._idsByKey.delete(key);
    const delayMs = this._computeRemovalDelay();
    this._cancelRemoval(id);
    if (delayMs <= 0) {
      this._removeEndpoint(id);
      return;
    }
    const timer = clock.schedule(delayMs, () => {
      this._removalTimers.delete(id);
      this._removeEndpoint(id);
    });
    this._removalTimers.set(id, timer);
  }

  private _removeEndpoint(id: string): void {
    const { board } = this._options;
    const endpoint = board.endpoints.get(id);
    if (!endpoint) return;
    const { address, hasSaidLeaving = false, health, incarnation: startedAt = 0, pausedUntil } = endpoint;
    const era = board.storeConnection.get('store')?.era ?? 0;
    this._departures.delete(id);
    const wasLeaving = health === 'leaving';
    this._departures.set(id, { address, startedAt, wasLeaving, hasSaidLeaving, pausedUntil, era });
    const [oldest] = this._departures.keys();
    if (this._departures.size > MAX_DEPARTURES && oldest !== undefined) this._departures.delete(oldest);
    board.endpoints.delete(id);
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
