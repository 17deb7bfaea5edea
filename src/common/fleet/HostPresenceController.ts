import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import { formatEnds, listUnmarkedEnds } from '../request/AnnouncedEnds.js';
import { hasNewStreamEnds } from '../request/StreamTraits.js';
import type { IClock, Millis, RandomSource } from '../Types.js';
import type { IFactStore } from './Types.js';

/** Options of the host presence controller. */
export interface IHostPresenceOptions {
  board: Blackboard;
  clock: IClock;
  /** Id of this host. */
  host: string;
  /** `ip:port` where this host answers questions of others, and its availability zone. Default: it answers none. */
  location?: { address: string; zone: string };
  store: Pick<IFactStore, 'writeHostPresence'>;
  /** Returns the time of day in Unix milliseconds. */
  readWallClock: () => number;
  /** Spreads the announcements of hosts that learn the same at the same time. Default: they are not spread. */
  random?: RandomSource;
}

/** Interval at which a host announces itself again. It is long, because each write ends the watch of every host. */
const ANNOUNCEMENT_INTERVAL_MS: Millis = 3_600_000;

/** Age from which an announcement no longer counts: two announcements have been missed. */
const MAX_ANNOUNCEMENT_AGE_MS: Millis = 3 * ANNOUNCEMENT_INTERVAL_MS;

const RETRY_DELAY_MS: Millis = 1000;

/** Time in which hosts announce what they have learned of ends, each after a random part of it. */
const ENDS_SPREAD_MS: Millis = 2000;

/**
 * Announces this host in the store, with the answers whose ends nothing marks, and keeps the `presentHosts` panel equal to
 * the announcements of all hosts. A host that starts again under its id finds its announcement and writes none.
 */
export class HostPresenceController extends Disposable {
  private _timer: IDisposable | undefined;
  private _endsTimer: IDisposable | undefined;

  constructor(private readonly _options: IHostPresenceOptions) {
    super();
    const { board } = _options;
    this._register(
      board.facts.onChange(({ before, after }) => {
        const { fact } = after ?? before ?? {};
        if (fact?.kind !== 'host-presence') return;
        const { announcedAt, host } = fact.presence;
        const ageMs = this._options.readWallClock() - announcedAt;
        if (after && ageMs < MAX_ANNOUNCEMENT_AGE_MS) board.presentHosts.set(host, fact.presence);
        else board.presentHosts.delete(host);
        // A restored store may have lost the announcement that an earlier process of this host wrote.
        if (!after && host === _options.host) this._scheduleAnnouncement(0);
      }),
    );
    this._register(
      board.storeConnection.onChange(({ before, after }) => {
        // Once the store is connected, its facts are put on the board in the same turn.
        if (after?.state === 'connected' && before?.state !== 'connected') this._scheduleAnnouncement(0);
      }),
    );
    this._register(
      board.endpoints.onChange(({ before, after }) => {
        if (hasNewStreamEnds(before, after)) this._scheduleEndsCheck();
      }),
    );
    this._register(
      board.plainEnds.onChange(() => {
        this._scheduleEndsCheck();
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    this._timer?.dispose();
    this._endsTimer?.dispose();
  }

  /** Checks in a moment whether there is something new to say of ends, once for all changes until then. */
  private _scheduleEndsCheck(): void {
    const { clock, random = () => 0 } = this._options;
    this._endsTimer ??= clock.schedule(ENDS_SPREAD_MS * random(), () => {
      this._endsTimer = undefined;
      if (!this._hasAnnouncedEnds()) void this._updateAnnouncement();
    });
  }

  /** Tells whether the announcement of this host says of ends what it has to say now. */
  private _hasAnnouncedEnds(): boolean {
    const { board, host } = this._options;
    const announced = board.presentHosts.get(host)?.unmarkedEnds ?? [];
    const current = listUnmarkedEnds(board, host);
    return announced.map(formatEnds).join() === current.map(formatEnds).join();
  }

  private _scheduleAnnouncement(delayMs: Millis): void {
    this._timer?.dispose();
    if (this._isDisposed) return;
    this._timer = this._options.clock.schedule(delayMs, () => {
      void this._updateAnnouncement();
    });
  }

  private async _updateAnnouncement(): Promise<void> {
    const { board, host, location, readWallClock, store } = this._options;
    const announcedAt = readWallClock();
    const announced = board.presentHosts.get(host);
    const ageMs = announcedAt - (announced?.announcedAt ?? -Infinity);
    const isCurrent = announced?.address === location?.address && this._hasAnnouncedEnds();
    if (ageMs < ANNOUNCEMENT_INTERVAL_MS && isCurrent) {
      this._scheduleAnnouncement(ANNOUNCEMENT_INTERVAL_MS - ageMs);
      return;
    }
    const unmarkedEnds = listUnmarkedEnds(board, host);
    const ends = unmarkedEnds.length > 0 ? { unmarkedEnds } : {};
    const written = await store.writeHostPresence({ host, announcedAt, ...location, ...ends });
    this._scheduleAnnouncement(written.isOk ? ANNOUNCEMENT_INTERVAL_MS : RETRY_DELAY_MS);
  }
}
