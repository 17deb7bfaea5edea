import type { Blackboard } from '../blackboard/Blackboard.js';
import type { HashTexts } from '../coordination/Rendezvous.js';
import { RendezvousRanking } from '../coordination/Rendezvous.js';
import type { IHostPresence } from '../fleet/Types.js';
import type { IClock, Millis } from '../Types.js';
import type { NewsFailure, NewsSource } from './Types.js';

/** Options of the choice of news sources. */
export interface INewsSourcesOptions {
  board: Blackboard;
  clock: IClock;
  /** Id of this host. */
  host: string;
  hashTexts: HashTexts;
  /** Fewest hosts of a fleet in which some read the store for the others. Default 12. */
  minHosts?: number;
}

/** Number of hosts for each one that reads the store, beside the first. */
const HOSTS_PER_READER = 60;

/**
 * Default of the fewest hosts of a fleet in which some read the store for the others. Readers call the store more often than a host that
 * reads for itself alone, so that a small fleet makes no fewer calls with them.
 */
const DEFAULT_MIN_HOSTS = 12;

/**
 * Time for which a host is not asked for news after a failure; it doubles with each further one. A host that does not
 * answer may be gone, and each question to it costs a timeout and a call to the store.
 */
const AVOIDANCE_MS: Readonly<Record<NewsFailure, Millis>> = {
  unreachable: 5000,
  outdated: 1000,
  unavailable: 2000,
  busy: 1000,
};
const MAX_AVOIDANCE_MS: Millis = 40_000;

/**
 * Share of `storeContactMs` between two calls by which a host that has lost the store looks for itself whether it is
 * back. In between it asks the hosts that read the store, and each question to one that is silent takes a timeout; the
 * changes of the outage still have to be known within `storeContactMs` of its end.
 */
const OWN_CHECK_SHARE = 0.4;
/** Default of `storeContactMs` while no limits are in force: that of the smallest deployments. */
const DEFAULT_CONTACT_MS: Millis = 3000;

const READER_KEY = 'reader';

interface IFailedSource {
  failure: NewsFailure;
  /** Number of failures in a row. */
  count: number;
  until: Millis;
}

/**
 * Chooses where this host reads news of the store. The hosts that rank first by a hash read the store itself. The others
 * ask one of them, those in the own availability zone first, and read the store if none of them has fresh news.
 */
export class NewsSources {
  private readonly _ranking: RendezvousRanking;
  private readonly _failed = new Map<string, IFailedSource>();
  private _ownCheckAt: Millis = -Infinity;
  /** Whether a host has just failed, so that the news known may be older than the limits allow. */
  private _isCheckDue = false;

  constructor(private readonly _options: INewsSourcesOptions) {
    this._ranking = new RendezvousRanking(_options.hashTexts);
  }

  /** Tells whether other hosts read the store by way of this one. */
  public isReader(): boolean {
    const readers = this._listReaders();
    return readers.some(({ host }) => host === this._options.host);
  }

  /** Tells whether the fleet has hosts that read the store for others. */
  public hasReaders(): boolean {
    return this._listReaders().length > 0;
  }

  /** Chooses the next source. `isLost` tells whether neither the store nor another host has given fresh news. */
  public choose(isLost: boolean): NewsSource {
    const now = this._options.clock.now();
    const others = this._listReaders().filter(({ host }) => host !== this._options.host);
    if (others.length === 0 || this.isReader()) return { kind: 'store' };
    const isStoreNext = isLost ? this._isOwnCheckDue(now) : this._isCheckDue;
    const reader = isStoreNext
      ? undefined
      : this._sortByPreference(others).find(({ host }) => this._isUsable(host, isLost, now));
    if (reader) return { kind: 'host', host: reader.host };
    this._ownCheckAt = now;
    this._isCheckDue = false;
    return { kind: 'store' };
  }

  /** Records that a host gave fresh news. */
  public recordSuccess(host: string): void {
    this._failed.delete(host);
  }

  /** Records that a host gave no fresh news, so that it is not asked for some time, and the store is read next. */
  public recordFailure(host: string, failure: NewsFailure): void {
    const count = (this._failed.get(host)?.count ?? 0) + 1;
    const avoidanceMs = Math.min(MAX_AVOIDANCE_MS, AVOIDANCE_MS[failure] * 2 ** (count - 1));
    this._failed.set(host, { failure, count, until: this._options.clock.now() + avoidanceMs });
    this._isCheckDue = true;
  }

  private _isOwnCheckDue(now: Millis): boolean {
    const contactMs = this._options.board.limits.get('in-force')?.storeContactMs ?? DEFAULT_CONTACT_MS;
    return now - this._ownCheckAt >= OWN_CHECK_SHARE * contactMs;
  }

  /** A host that has lost the store may be asked by one that has lost it too: it learns of the return first. */
  private _isUsable(host: string, isLost: boolean, now: Millis): boolean {
    const failed = this._failed.get(host);
    if (!failed || failed.until <= now) return true;
    return isLost && failed.failure === 'unavailable';
  }

  private _listReaders(): IHostPresence[] {
    const hosts = [...this._options.board.presentHosts.list()].filter(({ address }) => address !== undefined);
    if (hosts.length < (this._options.minHosts ?? DEFAULT_MIN_HOSTS)) return [];
    const count = 1 + Math.ceil(hosts.length / HOSTS_PER_READER);
    const byId = new Map(hosts.map((presence) => [presence.host, presence]));
    return this._ranking
      .sort(READER_KEY, byId.keys())
      .slice(0, count)
      .flatMap((id) => byId.get(id) ?? []);
  }

  /** Sorts readers: those of the own zone first, and by a hash of this host, which spreads the hosts over them. */
  private _sortByPreference(readers: readonly IHostPresence[]): IHostPresence[] {
    const { board, host } = this._options;
    const zone = board.presentHosts.get(host)?.zone;
    const byId = new Map(readers.map((presence) => [presence.host, presence]));
    const sorted = this._ranking.sort(host, byId.keys()).flatMap((id) => byId.get(id) ?? []);
    return [
      ...sorted.filter((reader) => reader.zone === zone),
      ...sorted.filter((reader) => reader.zone !== zone),
    ];
  }
}
