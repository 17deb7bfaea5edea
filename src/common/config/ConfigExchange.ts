import type { Result } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IConfigurationEntry, IHostEntry } from '../blackboard/Types.js';
import { listPeers } from '../coordination/HostStates.js';
import type { PeerError } from '../coordination/Peers.js';
import { pickRandom } from '../coordination/Sampling.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis, RandomSource } from '../Types.js';

/** A new index that a host pushes to a peer. The peer then fetches the documents that it lacks. */
export type PushedIndex = Pick<IConfigurationEntry, 'revision' | 'index'>;

/** The reply to a fetch: the index in force and those documents that the requesting host does not hold. */
export type ConfigFetchReply = Pick<IConfigurationEntry, 'revision' | 'index' | 'records'>;

/**
 * Pushes an index to a peer. Resolves with the revision in force at the peer, which may be lower than the
 * pushed one while the peer fetches documents.
 */
export type PushConfig = (host: string, pushed: PushedIndex) => Promise<Result<number, PeerError>>;

/**
 * Fetches a peer's configuration. `heldKeys` are the keys of documents that this host holds, which the peer
 * leaves out. Resolves with `undefined` when the peer has no configuration in force.
 */
export type FetchConfig = (
  host: string,
  heldKeys: readonly string[],
) => Promise<Result<ConfigFetchReply | undefined, PeerError>>;

/** Options of `ConfigExchange`. */
export interface IConfigExchangeOptions {
  board: Blackboard;
  clock: IClock;
  random: RandomSource;
  /** Id of this host. */
  self: string;
  push: PushConfig;
  fetch: FetchConfig;
  /** Lists the store keys of the documents that an index names. Throws on a malformed index. */
  listDocumentKeys: (index: string) => readonly string[];
  /** Number of peers to which one round pushes the index. Default 4. */
  fanOut?: number;
  /** Number of rounds in which this host pushes each new revision. Default 2. */
  rounds?: number;
  /** Time between two rounds of pushes. Default 200. */
  roundMs?: Millis;
}

/** Time that a fetch may take before another peer that is ahead is asked as well. */
const SECOND_FETCH_DELAY_MS = 300;
/**
 * Delay before this host, still behind a peer, fetches again. It doubles with each retry and starts anew
 * with each revision put in force. The maximum is reached when the peers' configuration is not valid on
 * this host, so that no fetch can succeed.
 */
const MIN_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 5000;

/**
 * Spreads the configuration between hosts. When a revision is put in force on this host, its index is pushed
 * to some of the peers that have a lower revision. When a peer has a higher one, its configuration is fetched
 * and offered on the `configuration` panel.
 */
export class ConfigExchange extends Disposable {
  private readonly _options: Required<IConfigExchangeOptions>;
  /** Hosts to which the revision in force has been pushed, whether or not they replied. */
  private readonly _pushedHosts = new Set<string>();
  private _roundsLeft = 0;
  private _pushTimer: IDisposable | undefined;
  private _retryTimer: IDisposable | undefined;
  private _retryDelayMs = MIN_RETRY_DELAY_MS;
  private _fetchesInFlight = 0;
  private _lastFetchStartedAt = -Infinity;

  constructor(options: IConfigExchangeOptions) {
    super();
    this._options = { fanOut: 4, rounds: 2, roundMs: 200, ...options };
    const { board, self } = this._options;
    this._register(
      board.configuration.onChange(({ key }) => {
        if (key === 'in-force') this._handleNewRevision();
      }),
    );
    this._register(
      board.hosts.onChange(({ before, after }) => {
        if (!after || after.id === self || after.revision === before?.revision) return;
        this._fetchIfPeerIsAhead(after);
      }),
    );
  }

  /** Handles an index that a peer has pushed. Returns the revision in force on this host afterwards. */
  public handlePush(from: string, pushed: PushedIndex): number {
    const { board } = this._options;
    if (pushed.revision > this._getRevisionInForce() && !this._tryOfferWithHeldRecords(pushed)) {
      const sender = board.hosts.get(from);
      if (sender && sender.revision !== pushed.revision) this._recordPeerRevision(from, pushed.revision);
      else if (sender) this._fetchIfPeerIsAhead(sender);
    }
    return this._getRevisionInForce();
  }

  /**
   * Handles a peer's fetch. Returns the configuration in force without the documents of `heldKeys`, or
   * `undefined` when this host has no configuration.
   */
  public handleFetch(heldKeys: readonly string[]): ConfigFetchReply | undefined {
    const current = this._options.board.configuration.get('in-force');
    if (!current) return undefined;
    const held = new Set(heldKeys);
    const missing = Object.entries(current.records).filter(([key]) => !held.has(key));
    return { revision: current.revision, index: current.index, records: Object.fromEntries(missing) };
  }

  public override dispose(): void {
    super.dispose();
    this._pushTimer?.dispose();
    this._retryTimer?.dispose();
  }

  private _handleNewRevision(): void {
    this._retryDelayMs = MIN_RETRY_DELAY_MS;
    this._pushedHosts.clear();
    this._roundsLeft = this._options.rounds;
    this._pushTimer?.dispose();
    this._pushTimer = this._options.clock.schedule(0, this._runPushRound);
  }

  private readonly _runPushRound = (): void => {
    const { board, clock, fanOut, random, roundMs, self } = this._options;
    this._pushTimer = undefined;
    const current = board.configuration.get('in-force');
    if (this._isDisposed || !current || this._roundsLeft === 0) return;
    this._roundsLeft -= 1;
    const isPushNeeded = (host: IHostEntry): boolean =>
      (host.revision ?? 0) < current.revision && !this._pushedHosts.has(host.id);
    const peers = listPeers(board, self).filter(isPushNeeded);
    for (const peer of pickRandom(peers, fanOut, random)) void this._pushIndex(peer.id, current);
    if (this._roundsLeft > 0) this._pushTimer = clock.schedule(roundMs, this._runPushRound);
  };

  private async _pushIndex(host: string, { index, revision }: IConfigurationEntry): Promise<void> {
    this._pushedHosts.add(host);
    const reply = await this._options.push(host, { revision, index });
    if (!this._isDisposed && reply.isOk) this._recordPeerRevision(host, reply.value);
  }

  /**
   * Fetches from a host whose revision is higher than the one in force here. While a fetch is in flight,
   * another one starts only after `SECOND_FETCH_DELAY_MS`, in case the first peer is slow to answer.
   */
  private _fetchIfPeerIsAhead(host: IHostEntry): void {
    const now = this._options.clock.now();
    if (this._isDisposed || (host.revision ?? 0) <= this._getRevisionInForce()) return;
    if (this._fetchesInFlight > 0 && now - this._lastFetchStartedAt < SECOND_FETCH_DELAY_MS) return;
    this._lastFetchStartedAt = now;
    void this._fetchFrom(host.id);
  }

  private async _fetchFrom(host: string): Promise<void> {
    const { board, fetch } = this._options;
    const heldRecords = board.configuration.get('in-force')?.records ?? {};
    this._fetchesInFlight += 1;
    const reply = await fetch(host, Object.keys(heldRecords));
    this._fetchesInFlight -= 1;
    if (this._isDisposed) return;
    if (reply.isOk && reply.value) this._writeOffer(reply.value);
    this._scheduleRetryIfBehind();
  }

  private _writeOffer({ index, records, revision }: ConfigFetchReply): void {
    const { board } = this._options;
    if (revision <= this._getRevisionInForce()) return;
    const heldRecords = board.configuration.get('in-force')?.records ?? {};
    board.configuration.set('offered', {
      revision,
      index,
      records: { ...heldRecords, ...records },
      from: 'peer',
    });
  }

  /**
   * Offers a pushed index with the documents that this host holds, when those are all that the index names.
   * A change of a rollout usually needs no new document, so nothing has to be fetched. Returns whether the
   * revision is in force afterwards.
   */
  private _tryOfferWithHeldRecords({ index, revision }: PushedIndex): boolean {
    const heldRecords = this._options.board.configuration.get('in-force')?.records ?? {};
    try {
      const keys = this._options.listDocumentKeys(index);
      if (keys.length === 0 || keys.some((key) => heldRecords[key] === undefined)) return false;
    } catch {
      return false;
    }
    this._writeOffer({ revision, index, records: heldRecords });
    return this._getRevisionInForce() >= revision;
  }

  private _scheduleRetryIfBehind(): void {
    if (this._retryTimer || this._listPeersAhead().length === 0) return;
    this._retryTimer = this._options.clock.schedule(this._retryDelayMs, () => {
      this._retryTimer = undefined;
      this._retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, this._retryDelayMs * 2);
      for (const host of pickRandom(this._listPeersAhead(), 1, this._options.random))
        this._fetchIfPeerIsAhead(host);
      this._scheduleRetryIfBehind();
    });
  }

  private _listPeersAhead(): IHostEntry[] {
    const { board, self } = this._options;
    return listPeers(board, self).filter((host) => (host.revision ?? 0) > this._getRevisionInForce());
  }

  private _recordPeerRevision(host: string, revision: number): void {
    const knownHost = this._options.board.hosts.get(host);
    if (knownHost && knownHost.revision !== revision) this._options.board.hosts.update(host, { revision });
  }

  private _getRevisionInForce(): number {
    return this._options.board.configuration.get('in-force')?.revision ?? 0;
  }
}
