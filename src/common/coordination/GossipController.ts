import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IHostEntry, IGossipUpdateEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis, RandomSource } from '../Types.js';
import {
  buildHostUpdate,
  isNewerHostState,
  type CheckHost,
  type ExchangeGossip,
  type IGossipMessage,
} from './Gossip.js';
import type { GossipUpdate, IHostUpdate } from './Updates.js';
import {
  applyHostUpdate,
  decideHostState,
  listPeers,
  revertStatesDecidedWhileCutOff,
  type IHostStateContext,
} from './HostStates.js';
import { isCutOff } from './Readiness.js';
import { removeExpiredUpdates, publishUpdate, takeUpdates } from './UpdateQueue.js';
import { createTokenBucket, pickRandom, shuffleItems, type TakeToken } from './Sampling.js';

/** Options of the gossip controller. */
export interface IGossipOptions {
  board: Blackboard;
  clock: IClock;
  random: RandomSource;
  /** Id of this host. */
  self: string;
  exchange: ExchangeGossip;
  check: CheckHost;
  /** Computes the encoded size of one update, in bytes. */
  measureUpdate: (update: GossipUpdate) => number;
  /** Time between two regular exchanges. Default 1000. */
  intervalMs?: Millis;
  /** Peers asked to check a host that missed an exchange. Default 2. */
  indirectChecks?: number;
  /** Number of peers to which one round pushes urgent updates. Default 4. */
  fanOut?: number;
  /** Number of rounds in which an urgent update is pushed. Default 2. */
  pushRounds?: number;
  /** Time between two push rounds. Default 200. */
  roundMs?: Millis;
  /** Largest number of updates in one message. Default 8. */
  maxUpdates?: number;
  /** Largest encoded size of the updates in one message. Default 280, for exchanges of about 700 bytes. */
  maxUpdateBytes?: number;
}

/**
 * Pushes allowed in a burst, and per second over time. A call with as many updates as fit takes 1,250
 * bytes with HTTP headers. Two regular calls per second and these pushes stay below 3 KB/s.
 */
const PUSH_BURST = 32;
const PUSHES_PER_SECOND = 0.2;
/** In one of this many intervals, a `gone` host is contacted too, to notice when it can be reached again. */
const INTERVALS_PER_GONE_HOST_PROBE = 3;

/** Exchanges state with peers, marks hosts that do not answer as `suspect`, and pushes urgent updates. */
export class GossipController extends Disposable {
  private readonly _options: Required<IGossipOptions>;
  private readonly _takePushToken: TakeToken;
  private _probeQueue: string[] = [];
  private _tickCount = 0;
  private _tickTimer: IDisposable | undefined;
  private _pushTimer: IDisposable | undefined;

  constructor(options: IGossipOptions) {
    super();
    this._options = {
      intervalMs: 1000,
      indirectChecks: 2,
      fanOut: 4,
      pushRounds: 2,
      roundMs: 200,
      maxUpdates: 8,
      maxUpdateBytes: 280,
      ...options,
    };
    const { board, clock } = this._options;
    this._takePushToken = createTokenBucket(clock, PUSH_BURST, PUSHES_PER_SECOND);
    this._register(
      board.gossipUpdates.onChange(({ before, after }) => {
        const isNew = after !== undefined && before?.update !== after.update;
        if (isNew && after.urgency === 'now') this._schedulePush(0);
      }),
    );
  }

  /** Starts the regular exchanges, at a random time in the first interval. */
  public start(): void {
    this._scheduleTick(this._options.random() * this._options.intervalMs);
  }

  /** Handles an exchange that a peer started; returns the reply. */
  public handleExchange(message: IGossipMessage): IGossipMessage {
    this._applyMessage(message);
    return this._buildMessage(this._findCorrection(message.from));
  }

  /** Checks on behalf of a peer whether a host answers. */
  public async checkHost(target: string): Promise<boolean> {
    const host = this._options.board.hosts.get(target);
    return host !== undefined && (await this._exchangeWith(host));
  }

  /** Sends the remaining updates to some random peers and waits for their replies, at the end of a drain. */
  public async flush(): Promise<void> {
    const { board, fanOut, random, self } = this._options;
    const peers = listPeers(board, self).filter((host) => host.state !== 'suspect');
    await Promise.all(pickRandom(peers, fanOut, random).map((peer) => this._exchangeWith(peer)));
  }

  public override dispose(): void {
    super.dispose();
    this._tickTimer?.dispose();
    this._pushTimer?.dispose();
  }

  private _scheduleTick(delay: Millis): void {
    if (this._isDisposed) return;
    this._tickTimer = this._options.clock.schedule(delay, () => {
      this._scheduleTick(this._options.intervalMs);
      this._runInterval();
    });
  }

  private _runInterval(): void {
    const { board, clock, random, self } = this._options;
    this._tickCount += 1;
    removeExpiredUpdates(board, clock.now());
    const next = this._takeNextPeer();
    if (next) void this._probe(next);
    // A suspect host is also contacted, so that it can refute the suspicion before it is taken for gone.
    const suspects = listPeers(board, self).filter((host) => host.state === 'suspect' && host !== next);
    for (const suspect of pickRandom(suspects, 1, random)) void this._probe(suspect);
    if (this._tickCount % INTERVALS_PER_GONE_HOST_PROBE !== 0) return;
    const gone = [...board.hosts.list()].filter((host) => host.state === 'gone' && host.id !== self);
    for (const host of pickRandom(gone, 1, random)) void this._exchangeWith(host);
  }

  /**
   * Takes the peers in random order, each one once per pass, so that every host is checked in bounded time.
   */
  private _takeNextPeer(): IHostEntry | undefined {
    const { board, random, self } = this._options;
    const peers = new Map(listPeers(board, self).map((host) => [host.id, host]));
    if (!this._probeQueue.some((id) => peers.has(id)))
      this._probeQueue = shuffleItems([...peers.keys()], random);
    for (let id = this._probeQueue.pop(); id !== undefined; id = this._probeQueue.pop()) {
      const host = peers.get(id);
      if (host) return host;
    }
    return undefined;
  }

  private async _probe(host: IHostEntry): Promise<void> {
    if (await this._exchangeWith(host)) return;
    if (await this._checkThroughPeers(host)) return;
    const { board, clock } = this._options;
    const known = board.hosts.get(host.id);
    const isUnchanged = known?.incarnation === host.incarnation && known.state === host.state;
    if (this._isDisposed || !isUnchanged || known.state === 'suspect') return;
    decideHostState(this._buildContext(), known, 'suspect', isCutOff(board, clock.now()));
  }

  private async _checkThroughPeers(host: IHostEntry): Promise<boolean> {
    const { board, check, indirectChecks, random, self } = this._options;
    const others = listPeers(board, self).filter((peer) => peer.id !== host.id && peer.state !== 'suspect');
    const asked = pickRandom(others, indirectChecks, random);
    const answers = await Promise.all(asked.map((peer) => check(peer.id, host.id)));
    return answers.some((answer) => answer.isOk && answer.value);
  }

  private async _exchangeWith(host: IHostEntry): Promise<boolean> {
    // A host can refute a wrong state only if it receives it.
    const stateUpdate = host.state === 'alive' ? undefined : buildHostUpdate(host);
    const reply = await this._options.exchange(host.id, this._buildMessage(stateUpdate));
    if (this._isDisposed || reply.isErr) return false;
    this._applyMessage(reply.value);
    return true;
  }

  private _buildContext(): IHostStateContext {
    const { board, clock, self } = this._options;
    return { board, self, now: clock.now() };
  }

  private _buildMessage(correction: IHostUpdate | undefined): IGossipMessage {
    const { board, maxUpdateBytes, maxUpdates, measureUpdate, self } = this._options;
    const own = board.hosts.get(self);
    if (!own)
      throw new Error('The hosts panel has no entry for this host. Create the membership controller first.');
    const updates = takeUpdates(board, {
      maxCount: correction ? maxUpdates - 1 : maxUpdates,
      maxBytes: maxUpdateBytes - (correction ? measureUpdate(correction) : 0),
      hostCount: board.hosts.size,
      measureUpdate,
    });
    return {
      from: buildHostUpdate(own),
      updates: correction ? [correction, ...updates] : updates,
      revision: board.configuration.get('in-force')?.revision ?? 0,
    };
  }

  /** Finds an update about the sender that the sender lacks, such as a state from before its restart. */
  private _findCorrection(from: IHostUpdate): IHostUpdate | undefined {
    const known = this._options.board.hosts.get(from.id);
    const hasOtherAddress = known?.address !== from.address;
    if (!known || (!isNewerHostState(known, from) && !hasOtherAddress)) return undefined;
    return buildHostUpdate(known);
  }

  private _applyMessage(message: IGossipMessage): void {
    const { board, clock } = this._options;
    const context = this._buildContext();
    board.contacts.set('peer', { at: clock.now() });
    revertStatesDecidedWhileCutOff(context);
    applyHostUpdate(context, message.from, 'own-word');
    for (const update of message.updates) {
      if (update.kind === 'host') applyHostUpdate(context, update);
      else publishUpdate(board, update, { urgency: 'now', origin: 'peer', now: context.now });
    }
    const sender = board.hosts.get(message.from.id);
    if (sender && sender.revision !== message.revision) {
      board.hosts.update(sender.id, { revision: message.revision });
    }
  }

  private _schedulePush(delay: Millis): void {
    if (this._isDisposed || this._pushTimer) return;
    this._pushTimer = this._options.clock.schedule(delay, () => {
      this._pushTimer = undefined;
      this._pushUpdates();
    });
  }

  private _pushUpdates(): void {
    const { board, fanOut, random, roundMs, self } = this._options;
    if (!this._hasUpdatesToPush()) return;
    const peers = listPeers(board, self).filter((host) => host.state !== 'suspect');
    for (const peer of pickRandom(peers, fanOut, random)) {
      if (!this._takePushToken()) return;
      void this._exchangeWith(peer);
    }
    if (this._hasUpdatesToPush() && peers.length > 0) this._schedulePush(roundMs);
  }

  private _hasUpdatesToPush(): boolean {
    const { board, fanOut, pushRounds } = this._options;
    const needsPush = (entry: IGossipUpdateEntry): boolean =>
      entry.urgency === 'now' && entry.sendCount < fanOut * pushRounds;
    return [...board.gossipUpdates.list()].some(needsPush);
  }
}
