import { Result } from 'true-myth';
import { createSeededRandom, hashTexts } from '../adapters/Random.js';
import { Blackboard } from '../common/blackboard/Blackboard.js';
import type { PeerError } from '../common/coordination/Peers.js';
import { FactSyncController } from '../common/fleet/FactSyncController.js';
import type { StoreError } from '../common/coordination/Types.js';
import type { FactChanges, FleetFact, IFactStore } from '../common/fleet/Types.js';
import { RoutingTableController } from '../common/fleet/RoutingTableController.js';
import { NewsLog } from '../common/news/NewsLog.js';
import { NewsPublisher } from '../common/news/NewsPublisher.js';
import { NewsSources } from '../common/news/NewsSources.js';
import type { AskForNews, NewsReply } from '../common/news/Types.js';
import type { Millis } from '../common/Types.js';
import { decodeEntry, FactStoreStandIn, type StoreMood } from './FactStoreStandIn.js';
import { ManualClock } from './ManualClock.js';
import { NarrowLink } from './NarrowLink.js';

/**
 * What is wrong with a host: `gone` refuses connections, `lost` does not respond to them, and the network never ends
 * questions to it; `frozen` answers nobody and does nothing, `cut` is not reached by other hosts, `deaf` does not get the
 * replies of others, and the store does not answer one that is `turned-away`.
 */
export type HostFault = 'none' | 'gone' | 'lost' | 'frozen' | 'cut' | 'deaf' | 'turned-away';

/** A host of the fleet. */
export interface INewsHost {
  id: string;
  board: Blackboard;
  sources: NewsSources;
  fault: HostFault;
  /** Directions of the host's link, which the store's and the other hosts' messages share. */
  uplink: NarrowLink;
  downlink: NarrowLink;
}

/** Options of a fleet. */
export interface INewsFleetOptions {
  /** Number of hosts. */
  count: number;
  /** Size of the fleet from which on some hosts read the store for the others. Default 3. */
  minHosts?: number;
  /** Rate of each direction of a host's link, in bytes a second. Default 1e9. */
  linkBytesPerS?: number;
}

const LINK_MS: Millis = 1;
/** Size of a question or call, and of the parts of a message around each value. */
const MESSAGE_BYTES = 300;
const VALUE_OVERHEAD_BYTES = 80;
/** Time limits of a watch, as those of the client of the users' platform. */
const MIN_WATCH_TIMEOUT_MS: Millis = 1000;
const WATCH_TIMEOUT_MARGIN_MS: Millis = 500;
/** Question that the network never ends. */
const NEVER = new Promise<Result<NewsReply, PeerError>>(() => undefined);
const LIMITS = {
  maxRetryShare: 0.9,
  sessionRetentionMs: 5000,
  maxExposureShare: 0.1,
  exposureSlack: 0,
  shutdownTimeoutMs: 8000,
  storeContactMs: 3000,
  maxApplyDelayMs: 2000,
};

/** Hosts on a manual clock that read one store, some of them by way of others. */
export class NewsFleet {
  public readonly clock = new ManualClock();
  public readonly store = new FactStoreStandIn(this.clock);
  public readonly hosts: INewsHost[] = [];
  /** Times at which a host went back to an older configuration. */
  public readonly broken: string[] = [];
  private readonly _publishers = new Map<string, NewsPublisher>();
  private _version = 0;

  private readonly _options: Required<INewsFleetOptions>;

  constructor({ count, linkBytesPerS = 1e9, minHosts = 3 }: INewsFleetOptions) {
    this._options = { count, linkBytesPerS, minHosts };
    for (let index = 0; index < count; index += 1) {
      const host = `host-${index}`;
      const presence = { host, announcedAt: 0, address: host, zone: `zone-${index % 3}` };
      this.store.put(`presence/${host}`, { kind: 'host-presence', presence });
    }
    for (let index = 0; index < count; index += 1) this._createHost(`host-${index}`, `zone-${index % 3}`);
  }

  /** Version of the configuration that was written last. */
  public get version(): number {
    return this._version;
  }

  /** Writes a configuration with the next version. */
  public writeConfiguration(): void {
    this._version += 1;
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const table = { routesByHost: new Map(), services: new Map(), accountsByKey: undefined, limits };
    this.store.put('config', { kind: 'routing-table', table: { ...table, version: this._version } });
  }

  /** Hosts that others read the store by. */
  public listReaders(): INewsHost[] {
    return this.hosts.filter(({ sources }) => sources.isReader());
  }

  /** Lists the hosts without a fault that do not have the latest configuration in force. */
  public listOutdated(): string[] {
    return this.hosts
      .filter(
        ({ board, fault }) => fault === 'none' && board.routing.get('in-force')?.version !== this._version,
      )
      .map(({ id }) => id);
  }

  private _createHost(id: string, zone: string): void {
    const board = new Blackboard();
    const { clock } = this;
    const { linkBytesPerS, minHosts } = this._options;
    board.limits.set('in-force', { ...LIMITS, linkBytesPerS });
    const common = { board, clock };
    const log = new NewsLog(clock);
    const publisher = new NewsPublisher({ ...common, log });
    const sources = new NewsSources({ ...common, host: id, hashTexts, minHosts });
    const uplink = new NarrowLink(clock, linkBytesPerS);
    const downlink = new NarrowLink(clock, linkBytesPerS);
    const host: INewsHost = { id, board, sources, fault: 'none', uplink, downlink };
    this.hosts.push(host);
    board.facts.onChange(({ after }) => {
      if (after?.fact.kind === 'host-presence') {
        const { presence } = after.fact;
        board.presentHosts.set(presence.host, presence);
      }
    });
    new RoutingTableController(board);
    board.routing.onChange(({ before, after }) => {
      if (before && after && after.version < before.version)
        this.broken.push(`${id} in ${zone}: version ${after.version} after ${before.version}`);
    });
    const readMood = (): StoreMood =>
      host.fault === 'turned-away' ? 'refusing' : host.fault === 'none' ? 'sound' : 'silent';
    this._publishers.set(id, publisher);
    const controller = new FactSyncController({
      ...common,
      random: createSeededRandom(this.hosts.length),
      store: this._createStoreClient(host, readMood),
      peers: { sources, log, decodeFact: decodeFleetFact, askForNews: this._createAskForNews(host) },
    });
    void controller.run();
  }

  /** Creates the calls of a host to the store, which pass through its link. */
  private _createStoreClient(
    { downlink, uplink }: INewsHost,
    readMood: () => StoreMood,
  ): Pick<IFactStore, 'listFacts' | 'watchFacts'> {
    const client = this.store.createClient(readMood);
    return {
      listFacts: client.listFacts,
      watchFacts: async (position, waitMs) => {
        // Once a reply has begun, its parts may take their time.
        const timeoutMs = Math.max(MIN_WATCH_TIMEOUT_MS, waitMs + WATCH_TIMEOUT_MARGIN_MS);
        const timeout = this._wait(timeoutMs).then(() =>
          Result.err<FactChanges, StoreError>({ kind: 'unknown-outcome', message: 'no reply' }),
        );
        const call = uplink.send(MESSAGE_BYTES).then(() => client.watchFacts(position, waitMs));
        const watched = await Promise.race([call, timeout]);
        if (watched.isOk && watched.value.kind === 'changes')
          await downlink.send(measureValues(watched.value.changes));
        return watched;
      },
    };
  }

  private _createAskForNews(from: INewsHost): AskForNews {
    return async (to, position, waitMs) => {
      const asked = this.hosts.find(({ id }) => id === to);
      const publisher = this._publishers.get(to);
      if (!asked || !publisher || asked.fault === 'gone') return fail('unreachable');
      if (asked.fault === 'lost') return NEVER;
      await from.uplink.send(MESSAGE_BYTES);
      await this._wait(LINK_MS);
      const timeout = this._wait(waitMs + 300).then(() => fail('unknown-outcome'));
      const answer = publisher.handleQuestion(position, waitMs).then(async (reply) => {
        const bytes = measureReply(reply);
        await asked.uplink.send(bytes);
        await this._wait(LINK_MS);
        await from.downlink.send(bytes);
        if (asked.fault === 'lost') return NEVER;
        const isSilent = (fault: HostFault): boolean => fault === 'frozen' || fault === 'gone';
        if (isSilent(asked.fault) || asked.fault === 'cut' || asked.fault === 'deaf' || from.fault === 'deaf')
          return timeout;
        return Result.ok<NewsReply, PeerError>(reply);
      });
      return Promise.race([answer, timeout]);
    };
  }

  private _wait(ms: Millis): Promise<void> {
    return new Promise((resolve) => void this.clock.schedule(ms, resolve));
  }
}

function measureReply(reply: NewsReply): number {
  if (reply.kind !== 'list' && reply.kind !== 'changes') return MESSAGE_BYTES;
  return MESSAGE_BYTES + measureValues(reply.kind === 'list' ? reply.facts : reply.changes);
}

function measureValues(values: readonly object[]): number {
  return values.reduce((sum: number, value) => {
    const encoded = 'encoded' in value && typeof value.encoded === 'string' ? value.encoded : '';
    return sum + VALUE_OVERHEAD_BYTES + encoded.length;
  }, 0);
}

function fail(kind: PeerError['kind']): Result<NewsReply, PeerError> {
  return Result.err({ kind, message: kind });
}

function decodeFleetFact(key: string, encoded: string): FleetFact {
  return decodeEntry(key, encoded);
}
