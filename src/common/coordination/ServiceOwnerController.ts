import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock } from '../Types.js';
import { FencedOwner } from './FencedOwner.js';
import { RendezvousRanking, type HashTexts } from './Rendezvous.js';
import type { IStore } from './Types.js';

/** Options of the service owner controller. */
export interface IServiceOwnerOptions {
  board: Blackboard;
  store: IStore;
  clock: IClock;
  host: string;
  createId: () => string;
  hash: HashTexts;
  /** Number of highest-ranked hosts that compete for each service. Default 3. */
  candidates?: number;
}

/** Lease of the host that runs the rollouts and orders of one service. */
export interface IServiceLease {
  isHeld: () => boolean;
  fencingToken: () => number | undefined;
}

/**
 * Assigns the rollouts and orders of each service on the `services` panel to one owner among the alive
 * hosts. An owner acts only while it holds its lease; in addition, its writes are fenced.
 */
export class ServiceOwnerController extends Disposable {
  private readonly _owners = new Map<string, FencedOwner>();
  private readonly _ranking: RendezvousRanking;
  private readonly _options: Required<IServiceOwnerOptions>;

  constructor(options: IServiceOwnerOptions) {
    super();
    this._options = { candidates: 3, ...options };
    this._ranking = new RendezvousRanking(options.hash);
    const { board } = options;
    for (const service of board.services.list()) this._addOwner(service.name);
    this._register(
      board.services.onChange(({ key, after }) => {
        if (after) this._addOwner(key);
        else this._removeOwner(key);
      }),
    );
    this._register(
      board.hosts.onChange(({ before, after }) => {
        if (before?.state === after?.state) return;
        for (const owner of this._owners.values()) owner.checkRank();
      }),
    );
  }

  /** Finds the lease of a service; `undefined` when the service is not on the panel. */
  public readonly findLease = (service: string): IServiceLease | undefined => {
    const owner = this._owners.get(service);
    if (!owner) return undefined;
    return {
      isHeld: () => owner.isOwner(),
      fencingToken: () => (owner.isOwner() ? owner.token : undefined),
    };
  };

  /** Hands every service over and stops competing. */
  public async drain(): Promise<void> {
    await Promise.all([...this._owners.values()].map((owner) => owner.drain()));
    this.dispose();
  }

  public override dispose(): void {
    super.dispose();
    for (const service of [...this._owners.keys()]) this._removeOwner(service);
  }

  private _addOwner(service: string): void {
    if (this._owners.has(service)) return;
    const { clock, createId, host, store } = this._options;
    const owner = new FencedOwner({
      name: formatLeaseName(service),
      holder: host,
      store,
      clock,
      createId,
      getOwnRank: () => this._rankSelf(service),
      // Rollouts and orders check the lease before each step, so there is nothing to start or stop.
      start: () => Promise.resolve(true),
      stop: () => Promise.resolve(),
    });
    this._owners.set(service, owner);
    owner.run();
  }

  private _removeOwner(service: string): void {
    this._owners.get(service)?.dispose();
    this._owners.delete(service);
  }

  private _rankSelf(service: string): number | undefined {
    const { board, candidates, host } = this._options;
    const alive = [...board.hosts.list()].filter(({ state }) => state === 'alive').map(({ id }) => id);
    const rank = this._ranking.rank(formatLeaseName(service), alive, host);
    return rank !== undefined && rank < candidates ? rank : undefined;
  }
}

function formatLeaseName(service: string): string {
  return `service/${service}`;
}
