import { Result } from 'true-myth';
import { createConfigCalls, createConfigHandlers, listDocumentKeys } from '../adapters/ConfigMessages.js';
import { buildEditorOptions, configCodec } from '../adapters/ConfigStore.js';
import { createGossipCalls, createGossipHandlers, measureUpdate } from '../adapters/GossipMessages.js';
import { hashTexts } from '../adapters/Random.js';
import { Blackboard } from '../common/blackboard/Blackboard.js';
import { applyEdit } from '../common/config/ConfigEditor.js';
import { ConfigExchange } from '../common/config/ConfigExchange.js';
import { ConfigFeed } from '../common/config/ConfigFeed.js';
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

/** What a host's calls to the store meet: answers, silence, or answers from an earlier state. */
export type StoreAccess = 'up' | 'silent' | 'old';

/** One host of a group: its panels and the controllers of membership and configuration. */
export interface IGroupHost {
  id: string;
  board: Blackboard;
  gossip: GossipController;
  startedAt: number;
  dispose: () => void;
}

/** Options of a group of hosts. */
export interface IHostGroupOptions {
  random: RandomSource;
  /** Delivery of messages between hosts that are not cut off from one another. Default: after 1 ms. */
  chooseDelivery?: () => IDelivery;
  onCall?: IMemoryPeersOptions['onCall'];
}

/** Time from a change of the platform's list to its arrival at the hosts. */
const LIST_LAG_MS = 2000;
const SILENCE_MS = 1000;
const SILENT: Result<never, StoreError> = Result.err({ kind: 'unavailable', message: 'No answer.' });

/** Hosts in one process: real controllers over peers, a store and a clock in memory. */
export class HostGroup {
  public readonly clock = new ManualClock();
  public readonly store = new MemoryStore({ clock: this.clock });
  public readonly hosts = new Map<string, IGroupHost>();
  /** Pairs of hosts that cannot reach one another, as `a|b` with a before b. */
  public readonly cutPairs = new Set<string>();
  public readonly storeAccess = new Map<string, StoreAccess>();
  public isStoreDown = false;
  /** Time that the store takes for an answer. */
  public storeDelayMs = 0;
  public readonly peers: MemoryPeers;
  private readonly _zones = new Map<string, string>();
  private _oldEntries = new Map<string, IStoreValue>();
  private _lastNumber = 0;

  constructor(private readonly _options: IHostGroupOptions) {
    const { chooseDelivery, onCall } = _options;
    this.peers = new MemoryPeers({
      clock: this.clock,
      chooseDelivery: (from, to) => {
        if (this.cutPairs.has(formatPair(from, to))) return { kind: 'lose-request', delayMs: 0 };
        return chooseDelivery?.() ?? { kind: 'deliver', delayMs: 1 };
      },
      ...(onCall ? { onCall } : {}),
    });
  }

  /** Starts a host, for the first time or again. It is listed at once at itself and late at the others. */
  public startHost(id: string, zone: string): IGroupHost {
    this._zones.set(id, zone);
    const host = this._createHost(id, zone);
    this.hosts.set(id, host);
    this.clock.schedule(LIST_LAG_MS, () => {
      for (const other of this.hosts.values()) this._listHosts(other);
    });
    return host;
  }

  /** Ends a host without notice. It stays in the platform's list. */
  public stopHost(id: string): void {
    this.hosts.get(id)?.dispose();
    this.hosts.delete(id);
    this.peers.handlers.delete(id);
  }

  /** Makes the answers of a host's store calls those of the present state from now on. */
  public holdOldStore(id: string): void {
    this._oldEntries = new Map(this.store.entries);
    this.storeAccess.set(id, 'old');
  }

  /** Accepts a new document for the service `deposits`; returns the revision. */
  public async applyDocument(text: string): Promise<number> {
    const edit = { text, author: 'test', editedAt: '2026-12-04T00:00:00Z', baseNumber: this._lastNumber };
    const accepted = await applyEdit(buildEditorOptions(this.store), edit);
    if (accepted.isErr) throw new Error(JSON.stringify(accepted.error));
    this._lastNumber = accepted.value.number;
    return accepted.value.revision;
  }

  /** Whether a host's calls to the store are answered from the present state. */
  public isStoreReachable(id: string): boolean {
    return !this.isStoreDown && (this.storeAccess.get(id) ?? 'up') === 'up';
  }

  /** Whether two hosts reach one another. */
  public isConnected(first: string, second: string): boolean {
    return !this.cutPairs.has(formatPair(first, second));
  }

  /** Describes what one host knows, for snapshots. */
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
    const common = { board, clock, random, self: id };
    const parts = {
      feed: new ConfigFeed({ board, codec: configCodec }),
      membership: new MembershipController({ board, clock, own }),
      endpoints: new EndpointStateController({
        board,
        clock,
        publish: createPublishUpdate(board, clock.now),
      }),
      exchange: new ConfigExchange({ ...common, ...createConfigCalls(send), listDocumentKeys }),
      gossip: new GossipController({ ...common, ...createGossipCalls(send), measureUpdate }),
      reader: new ConfigStoreReader({
        ...common,
        zone,
        store: this._createStore(id),
        codec: configCodec,
        rankWatcher: (host) => hashTexts('config-watch', host),
      }),
    };
    const { exchange, gossip, reader } = parts;
    this.peers.handlers.set(id, { ...createGossipHandlers(gossip), ...createConfigHandlers(exchange) });
    const disposables: IDisposable[] = Object.values(parts);
    const host: IGroupHost = {
      id,
      board,
      gossip,
      startedAt: clock.now(),
      dispose: () => {
        disposeAll(disposables);
      },
    };
    this._listHosts(host);
    gossip.start();
    void reader.run();
    return host;
  }

  private _listHosts({ board }: IGroupHost): void {
    for (const [id, zone] of this._zones) {
      const entry = { id, zone, address: `10.0.0.1:${id}`, state: 'live' as const };
      if (!board.listedHosts.has(id)) board.listedHosts.set(id, entry);
    }
  }

  private _createStore(id: string): IStore {
    const { clock, store } = this;
    const waitFor = (delay: Millis): Promise<void> =>
      new Promise((resolve) => {
        clock.schedule(delay, resolve);
      });
    const waitSilently = async (delay: Millis): Promise<Result<never, StoreError>> => {
      await waitFor(delay);
      return SILENT;
    };
    const getAccess = (): StoreAccess => (this.isStoreDown ? 'silent' : (this.storeAccess.get(id) ?? 'up'));
    return {
      put: store.put,
      delete: store.delete,
      get: async (key) => {
        if (getAccess() === 'silent') return waitSilently(SILENCE_MS);
        if (this.storeDelayMs > 0) await waitFor(this.storeDelayMs);
        return getAccess() === 'old' ? Result.ok(this._oldEntries.get(key)) : store.get(key);
      },
      watch: async (key, afterVersion, timeoutMs) => {
        if (getAccess() !== 'up') return waitSilently(timeoutMs + SILENCE_MS);
        const startedAt = clock.now();
        const found = await store.watch(key, afterVersion, timeoutMs);
        // A watch that was open when the host was cut off brings nothing.
        if (this.storeDelayMs > 0) await waitFor(this.storeDelayMs);
        if (getAccess() === 'up') return found;
        return waitSilently(startedAt + timeoutMs + SILENCE_MS - clock.now());
      },
    };
  }
}

/** Formats a pair of hosts independent of their order. */
export function formatPair(first: string, second: string): string {
  return first < second ? `${first}|${second}` : `${second}|${first}`;
}

/** Builds a service document with a number in it, so that each edit differs. */
export function buildDocument(number: number, stage = 'stable'): string {
  return `[service]\nname = deposits\nquality_target = 0.9\ndefault_deadline_ms = ${1000 + number}\n
[version small-1]\nmodel = small\nstage = ${stage}\nprice_per_1k_tokens = 0.2\n`;
}
