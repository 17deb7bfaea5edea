import type { Result } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IConfigurationEntry, IHostEntry } from '../blackboard/Types.js';
import { listPeers } from '../coordination/HostStates.js';
import type { PeerError } from '../coordination/Peers.js';
import { pickRandom } from '../coordination/Sampling.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis, RandomSource } from '../Types.js';

/** A new index, as hosts push it to one another; the receiver fetches the documents that it lacks. */
export type ConfigNotice = Pick<IConfigurationEntry, 'revision' | 'index'>;

/** A configuration with the documents that the asking host does not hold. */
export type ConfigCopy = Pick<IConfigurationEntry, 'revision' | 'index' | 'records'>;

/** Pushes an index to a peer; resolves with the peer's revision. */
export type PushConfig = (host: string, notice: ConfigNotice) => Promise<Result<number, PeerError>>;

/** Fetches a peer's configuration without the documents that are held already. */
export type FetchConfig = (
  host: string,
  heldKeys: readonly string[],
) => Promise<Result<ConfigCopy | undefined, PeerError>>;

/** Options of the exchange of the configuration between hosts. */
export interface IConfigExchangeOptions {
  board: Blackboard;
  clock: IClock;
  random: RandomSource;
  /** Id of this host. */
  self: string;
  push: PushConfig;
  fetch: FetchConfig;
  /** Lists the keys of the documents that an index names; throws on a malformed one. */
  listDocumentKeys: (index: string) => readonly string[];
  /** Peers in one round of pushes. Default 4. */
  fanOut?: number;
  /** Rounds of pushes for each revision. Default 2. */
  rounds?: number;
  /** Time between two rounds. Default 200. */
  roundMs?: Millis;
}

/** Time after which a second peer is asked while the first has not answered. */
const SECOND_FETCH_MS = 300;
/** Waits before a fetch is tried again; the longest applies when peers hold what is not valid here. */
const RETRY_MS = 200;
const MAX_RETRY_MS = 5000;

/** Spreads the configuration between hosts: pushes a new index and fetches from hosts that are ahead. */
export class ConfigExchange extends Disposable {
  private readonly _options: Required<IConfigExchangeOptions>;
  private readonly _pushed = new Set<string>();
  private _roundsLeft = 0;
  private _pushTimer: IDisposable | undefined;
  private _retryTimer: IDisposable | undefined;
  private _retryMs = RETRY_MS;
  private _openFetches = 0;
  private _fetchedAt = -Infinity;

  constructor(options: IConfigExchangeOptions) {
    super();
    this._options = { fanOut: 4, rounds: 2, roundMs: 200, ...options };
    const { board, self } = this._options;
    this._register(
      board.configuration.onChange(({ key }) => {
        if (key === 'in-force') this._handleInForce();
      }),
    );
    this._register(
      board.hosts.onChange(({ before, after }) => {
        if (!after || after.id === self || after.revision === before?.revision) return;
        this._fetchIfBehind(after);
      }),
    );
  }

  /** Handles an index pushed by a peer; returns this host's revision. */
  public handlePush(from: string, notice: ConfigNotice): number {
    const { board } = this._options;
    if (notice.revision > this._getRevision() && !this._tryHeldRecords(notice)) {
      const sender = board.hosts.get(from);
      if (sender && sender.revision !== notice.revision) this._recordRevision(from, notice.revision);
      else if (sender) this._fetchIfBehind(sender);
    }
    return this._getRevision();
  }

  /** Handles a peer's request for the configuration in force. */
  public handleFetch(heldKeys: readonly string[]): ConfigCopy | undefined {
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

  private _handleInForce(): void {
    this._retryMs = RETRY_MS;
    this._pushed.clear();
    this._roundsLeft = this._options.rounds;
    this._pushTimer?.dispose();
    this._pushTimer = this._options.clock.schedule(0, this._pushRound);
  }

  private readonly _pushRound = (): void => {
    const { board, clock, fanOut, random, roundMs, self } = this._options;
    this._pushTimer = undefined;
    const current = board.configuration.get('in-force');
    if (this._isDisposed || !current || this._roundsLeft === 0) return;
    this._roundsLeft -= 1;
    const isBehind = (host: IHostEntry): boolean =>
      (host.revision ?? 0) < current.revision && !this._pushed.has(host.id);
    const peers = listPeers(board, self).filter(isBehind);
    for (const peer of pickRandom(peers, fanOut, random)) void this._pushTo(peer.id, current);
    if (this._roundsLeft > 0) this._pushTimer = clock.schedule(roundMs, this._pushRound);
  };

  private async _pushTo(host: string, { index, revision }: IConfigurationEntry): Promise<void> {
    this._pushed.add(host);
    const reply = await this._options.push(host, { revision, index });
    if (!this._isDisposed && reply.isOk) this._recordRevision(host, reply.value);
  }

  /** Fetches from a host that is ahead, and from a second one when the first is slow to answer. */
  private _fetchIfBehind(host: IHostEntry): void {
    const now = this._options.clock.now();
    if (this._isDisposed || (host.revision ?? 0) <= this._getRevision()) return;
    if (this._openFetches > 0 && now - this._fetchedAt < SECOND_FETCH_MS) return;
    this._fetchedAt = now;
    void this._fetchFrom(host.id);
  }

  private async _fetchFrom(host: string): Promise<void> {
    const { board, fetch } = this._options;
    const held = board.configuration.get('in-force')?.records ?? {};
    this._openFetches += 1;
    const reply = await fetch(host, Object.keys(held));
    this._openFetches -= 1;
    if (this._isDisposed) return;
    if (reply.isOk && reply.value) this._putOffer(reply.value);
    this._scheduleRetry();
  }

  private _putOffer({ index, records, revision }: ConfigCopy): void {
    const { board } = this._options;
    if (revision <= this._getRevision()) return;
    const held = board.configuration.get('in-force')?.records ?? {};
    board.configuration.set('offered', { revision, index, records: { ...held, ...records }, from: 'peer' });
  }

  /** Most changes of roll-outs name no new document, so the pushed index alone is enough. */
  private _tryHeldRecords({ index, revision }: ConfigNotice): boolean {
    const held = this._options.board.configuration.get('in-force')?.records ?? {};
    try {
      const keys = this._options.listDocumentKeys(index);
      if (keys.length === 0 || keys.some((key) => held[key] === undefined)) return false;
    } catch {
      return false;
    }
    this._putOffer({ revision, index, records: held });
    return this._getRevision() >= revision;
  }

  private _scheduleRetry(): void {
    if (this._retryTimer || this._listAhead().length === 0) return;
    this._retryTimer = this._options.clock.schedule(this._retryMs, () => {
      this._retryTimer = undefined;
      this._retryMs = Math.min(MAX_RETRY_MS, this._retryMs * 2);
      for (const host of pickRandom(this._listAhead(), 1, this._options.random)) this._fetchIfBehind(host);
      this._scheduleRetry();
    });
  }

  private _listAhead(): IHostEntry[] {
    const { board, self } = this._options;
    return listPeers(board, self).filter((host) => (host.revision ?? 0) > this._getRevision());
  }

  private _recordRevision(host: string, revision: number): void {
    const known = this._options.board.hosts.get(host);
    if (known && known.revision !== revision) this._options.board.hosts.update(host, { revision });
  }

  private _getRevision(): number {
    return this._options.board.configuration.get('in-force')?.revision ?? 0;
  }
}
