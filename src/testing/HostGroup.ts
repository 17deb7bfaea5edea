import { Result } from 'true-myth';
import { createConfigCalls, createConfigHandlers, listDocumentKeys } from '../adapters/ConfigMessages.js';
import { buildEditorOptions, configCodec } from '../adapters/ConfigStore.js';
import { createGossipCalls, createGossipHandlers, measureUpdate } from '../adapters/GossipMessages.js';
import { hashTexts } from '../adapters/Random.js';
import { Blackboard } from '../common/blackboard/Blackboard.js';
import { applyEdit } from '../common/config/ConfigEditor.js';
import { ConfigExchange } from '../common/config/ConfigExchange.js';
import { ConfigApplier } from '../common/config/ConfigApplier.js';
import { ConfigStoreReader } from '../common/config/ConfigStoreReader.js';
import { EndpointStateController } from '../common/coordination/EndpointStateController.js';
import { GossipController } from '../common/coordination/GossipController.js';
import { MembershipController } from '../common/coordination/MembershipController.js';
import { isHostReady } from '../common/coordination/Readiness.js';
import type { IStore, IStoreValue, StoreError } from '../common/coordination/Types.js';
import { createPublishUpdate } from '../common/coordination/UpdateQueue.js';
import { disposeAll, type IDisposable } from '../common/Lifecycle.js';
import type { Millis, RandomSource } from '../common/Types.js';
import { ManualClock } from './ManualClock.js';
import { MemoryPeers, type IDelivery, type IMemoryPeersOptions } from './MemoryPeers.js';
import { MemoryStore } from './MemoryStore.js';

/**
 * How the store answers the reads of one host. `up`: from its current entries. `silent`: not at all, so that
 * reads and watches fail after a time-out. `old`: reads return the entries that the store had at the last
 * call of `serveStaleReads`, and watches fail after a time-out. Writes are not affected.
 */
export type StoreAccess = 'up' | 'silent' | 'old';

/** One host of a group, with its blackboard and its controllers of membership and configuration. */
export interface IGroupHost {
  id: string;
  board: Blackboard;
  gossip: GossipController;
  /** Time of the group's clock. */
  startedAt: number;
  dispose: () => void;
}

/** Options of a group of hosts. */
export interface IHostGroupOptions {
  random: RandomSource;
  /** Chooses how a call between two connected hosts is delivered. Default: without faults, after 1 ms. */
  chooseDelivery?: () => IDelivery;
  onCall?: IMemoryPeersOptions['onCall'];
}

/** Time from a change of the platform's host list until the hosts receive it. */
const HOST_LIST_LAG_MS = 2000;
/** Time after which a read that the store does not answer fails. Watches wait this much longer than asked. */
const STORE_TIMEOUT_MS = 1000;
const STORE_TIMED_OUT: Result<never, StoreError> = Result.err({ kind: 'unavailable', message: 'No answer.' });

/**
 * Hosts in one process. They run the real controllers of membership and configuration with a simulated peer
 * protocol, store and clock in memory.
 */
export class HostGroup {
  public readonly clock = new ManualClock();
  public readonly store = new MemoryStore({ clock: this.clock });
  public readonly hosts = new Map<string, IGroupHost>();
  /** Pairs of hosts that cannot reach one another, as formatted by `formatPair`. */
  public readonly disconnectedPairs = new Set<string>();
  /** Access of each host to the store. A host without an entry has access `up`. */
  public readonly storeAccess = new Map<string, StoreAccess>();
  /** Whether the store is `silent` for all hosts, whatever their `storeAccess`. */
  public isStoreDown = false;
  /** Delay of each answer to a read or a watch. */
  public storeDelayMs = 0;
  public readonly peers: MemoryPeers;
  private readonly _zonesByHost = new Map<string, string>();
  /** Entries of the store at the last call of `serveStaleReads`, for all hosts with access `old`. */
  private _staleEntries = new Map<string, IStoreValue>();
  private _lastDocumentNumber = 0;

  constructor(private readonly _options: IHostGroupOptions) {
    const { chooseDelivery, onCall } = _options;
    this.peers = new MemoryPeers({
      clock: this.clock,
      chooseDelivery: (from, to) => {
        if (this.disconnectedPairs.has(formatPair(from, to))) return { kind: 'lose-request', delayMs: 0 };
        return chooseDelivery?.() ?? { kind: 'deliver', delayMs: 1 };
      },
      ...(onCall ? { onCall } : {}),
    });
  }

  /**
   * Starts a host, for the first time or after it was stopped. The new host has the platform's host list at
   * once; the other hosts receive its entry `HOST_LIST_LAG_MS` later.
   */
  public startHost(id: string, zone: string): IGroupHost {
    this._zonesByHost.set(id, zone);
    const host = this._createHost(id, zone);
    this.hosts.set(id, host);
    this.clock.schedule(HOST_LIST_LAG_MS, () => {
      for (const other of this.hosts.values()) this._addListedHosts(other);
    });
    return host;
  }

  /** Stops a host without telling its peers. It stays in the platform's host list. */
  public stopHost(id: string): void {
    this.hosts.get(id)?.dispose();
    this.hosts.delete(id);
    this.peers.handlers.delete(id);
  }

  /**
   * Gives a host access `old`: from now on it reads the entries that the store has at present, and sees no
   * later changes.
   */
  public serveStaleReads(id: string): void {
    this._staleEntries = new Map(this.store.entries);
    this.storeAccess.set(id, 'old');
  }

  /**
   * Writes a new document for the service `deposits` to the store, as an operator's edit does. Returns the
   * revision of the configuration. Throws if the edit is refused.
   */
  public async applyDocument(text: string): Promise<number> {
    const edit = {
      text,
      author: 'test',
      editedAt: '2026-12-04T00:00:00Z',
      baseNumber: this._lastDocumentNumber,
    };
    const accepted = await applyEdit(buildEditorOptions(this.store), edit);
    if (accepted.isErr) throw new Error(JSON.stringify(accepted.error));
    this._lastDocumentNumber = accepted.value.number;
    return accepted.value.revision;
  }

  /** Tells whether the store answers a host's reads from its current entries. */
  public isStoreReachable(id: string): boolean {
    return !this.isStoreDown && (this.storeAccess.get(id) ?? 'up') === 'up';
  }

  /** Tells whether two hosts can reach one another. */
  public isConnected(first: string, second: string): boolean {
    return !this.disconnectedPairs.has(formatPair(first, second));
  }

  /** Describes the state of one host for snapshots: revision in force, readiness, and states of all hosts. */
  public describe(id: string): { revision: number; isReady: boolean; hosts: Record<string, string> } {
    const board = this.hosts.get(id)?.board;
    const states = [...(board?.hosts.list() ?? [])].map((host): [string, string] => [host.id, host.state]);
    return {
      revision: board?.configuration.get('in-force')?.revision ?? 0,
      isReady: board !== undefined && isHostReady(board, this.clock.now()),
      hosts: Object.fromEntries(states.sort()),
    };
  }

  public dispose(): void {
    for (const id of [...this.hosts.keys()]) this.stopHost(id);
  }

  private _createHost(id: string, zone: string): IGroupHost {
    const { clock } = this;
    const { random } = this._options;
    const board = new Blackboard();
    const own = { id, zone, address: `10.0.0.1:${id}`, incarnation: Math.floor(clock.now() / 1000) + 1 };
    const send = this.peers.createSend(id);
    const commonOptions = { board, clock, random, self: id };
    const controllers = {
      configApplier: new ConfigApplier({ board, codec: configCodec }),
      membership: new MembershipController({ board, clock, own }),
      endpoints: new EndpointStateController({
        board,
        clock,
        publish: createPublishUpdate(board, clock.now),
      }),
      exchange: new ConfigExchange({ ...commonOptions, ...createConfigCalls(send), listDocumentKeys }),
      gossip: new GossipController({ ...commonOptions, ...createGossipCalls(send), measureUpdate }),
      reader: new ConfigStoreReader({
        ...commonOptions,
        zone,
        store: this._createStore(id),
        codec: configCodec,
        computeWatcherRank: (host) => hashTexts('config-watch', host),
      }),
    };
    const { exchange, gossip, reader } = controllers;
    this.peers.handlers.set(id, { ...createGossipHandlers(gossip), ...createConfigHandlers(exchange) });
    const disposables: IDisposable[] = Object.values(controllers);
    const host: IGroupHost = {
      id,
      board,
      gossip,
      startedAt: clock.now(),
      dispose: () => {
        disposeAll(disposables);
      },
    };
    this._addListedHosts(host);
    gossip.start();
    void reader.run();
    return host;
  }

  private _addListedHosts({ board }: IGroupHost): void {
    for (const [id, zone] of this._zonesByHost) {
      const entry = { id, zone, address: `10.0.0.1:${id}`, state: 'live' as const };
      if (!board.listedHosts.has(id)) board.listedHosts.set(id, entry);
    }
  }

  private _createStore(id: string): IStore {
    const { clock, store } = this;
    const wait = (delay: Millis): Promise<void> =>
      new Promise((resolve) => {
        clock.schedule(delay, resolve);
      });
    const failAfter = async (delay: Millis): Promise<Result<never, StoreError>> => {
      await wait(delay);
      return STORE_TIMED_OUT;
    };
    const getAccess = (): StoreAccess => (this.isStoreDown ? 'silent' : (this.storeAccess.get(id) ?? 'up'));
    return {
      put: store.put,
      delete: store.delete,
      get: async (key) => {
        if (getAccess() === 'silent') return failAfter(STORE_TIMEOUT_MS);
        if (this.storeDelayMs > 0) await wait(this.storeDelayMs);
        return getAccess() === 'old' ? Result.ok(this._staleEntries.get(key)) : store.get(key);
      },
      watch: async (key, afterVersion, timeoutMs) => {
        if (getAccess() !== 'up') return failAfter(timeoutMs + STORE_TIMEOUT_MS);
        const startedAt = clock.now();
        const result = await store.watch(key, afterVersion, timeoutMs);
        if (this.storeDelayMs > 0) await wait(this.storeDelayMs);
        // If the host has lost access to the store during the watch, the watch fails after its time-out.
        if (getAccess() === 'up') return result;
        return failAfter(startedAt + timeoutMs + STORE_TIMEOUT_MS - clock.now());
      },
    };
  }
}

/** Formats a pair of host ids so that the result does not depend on their order. */
export function formatPair(first: string, second: string): string {
  return first < second ? `${first}|${second}` : `${second}|${first}`;
}

/** Builds the text of a service document. It differs for each `number`, which sets the default deadline. */
export function buildDocumentText(number: number, stage = 'stable'): string {
  return `[service]\nname = deposits\nquality_target = 0.9\ndefault_deadline_ms = ${1000 + number}\n
[version small-1]\nmodel = small\nstage = ${stage}\nprice_per_1k_tokens = 0.2\n`;
}
