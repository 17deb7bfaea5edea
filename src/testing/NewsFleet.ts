import { Result } from 'true-myth';
import { createSeededRandom, hashTexts } from '../adapters/Random.js';
import { Blackboard } from '../common/blackboard/Blackboard.js';
import type { PeerError } from '../common/coordination/Peers.js';
import { FactSyncController } from '../common/fleet/FactSyncController.js';
import type { FleetFact } from '../common/fleet/Types.js';
import { RoutingTableController } from '../common/fleet/RoutingTableController.js';
import { NewsLog } from '../common/news/NewsLog.js';
import { NewsPublisher } from '../common/news/NewsPublisher.js';
import { NewsSources } from '../common/news/NewsSources.js';
import type { AskForNews, NewsReply } from '../common/news/Types.js';
import type { Millis } from '../common/Types.js';
import { decodeEntry, FactStoreStandIn, type StoreMood } from './FactStoreStandIn.js';
import { ManualClock } from './ManualClock.js';

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
}

const LINK_MS: Millis = 1;
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

  /** `minHosts` is the size of the fleet from which on some hosts read the store for the others. */
  constructor(
    count: number,
    private readonly _minHosts = 3,
  ) {
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
    board.limits.set('in-force', LIMITS);
    const common = { board, clock };
    const log = new NewsLog(clock);
    const publisher = new NewsPublisher({ ...common, log });
    const sources = new NewsSources({ ...common, host: id, hashTexts, minHosts: this._minHosts });
    const host: INewsHost = { id, board, sources, fault: 'none' };
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
      store: this.store.createClient(readMood),
      peers: { sources, log, decodeFact: decodeFleetFact, askForNews: this._createAskForNews(host) },
    });
    void controller.run();
  }

  private _createAskForNews(from: INewsHost): AskForNews {
    return async (to, position, waitMs) => {
      const asked = this.hosts.find(({ id }) => id === to);
      const publisher = this._publishers.get(to);
      if (!asked || !publisher || asked.fault === 'gone') return fail('unreachable');
      if (asked.fault === 'lost') return NEVER;
      await this._wait(LINK_MS);
      const timeout = this._wait(waitMs + 300).then(() => fail('unknown-outcome'));
      const answer = publisher.handleQuestion(position, waitMs).then(async (reply) => {
        await this._wait(LINK_MS);
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

function fail(kind: PeerError['kind']): Result<NewsReply, PeerError> {
  return Result.err({ kind, message: kind });
}

function decodeFleetFact(key: string, encoded: string): FleetFact {
  return decodeEntry(key, encoded);
}
