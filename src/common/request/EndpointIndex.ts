import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry, IRequestEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { isAcceptingWork } from './Candidates.js';

/** Options of the endpoint index. */
export interface IEndpointIndexOptions {
  board: Blackboard;
  /** Id of this host. It is part of the hash, so that hosts choose different subsets. */
  host: string;
  /** Availability zone of this host. */
  zone: string;
  /** Hashes texts to a text whose sort order is independent of theirs. */
  hashTexts: (...texts: readonly string[]) => string;
  /** Number of endpoints per pool that this host uses. Default 12. */
  subsetSize?: number;
}

/**
 * Largest share of the subset that is filled from the local zone before other zones are considered, so that
 * this host can still use endpoints of other zones.
 */
const LOCAL_SUBSET_SHARE = 2 / 3;

/**
 * Index of the endpoints that accept new work by pool. There is one pool per version and one per plain
 * service. A host uses all endpoints of a pool up to the subset size. From a larger pool it uses a subset
 * that is chosen by rendezvous hashing, the local availability zone first.
 */
export class EndpointIndex extends Disposable {
  private readonly _pools = new Map<string, Set<string>>();
  private readonly _subsets = new Map<string, readonly string[]>();

  constructor(private readonly _options: IEndpointIndexOptions) {
    super();
    const { board } = _options;
    for (const endpoint of board.endpoints.list()) this._updatePools(undefined, endpoint);
    this._register(
      board.endpoints.onChange(({ before, after }) => {
        if (!before || !after || !hasSamePools(before, after)) this._updatePools(before, after);
      }),
    );
  }

  /** Lists the endpoints of this host's subset that can run a request. */
  public listCandidates(request: IRequestEntry): Readonly<IEndpointEntry>[] {
    return this.listPool(formatPool(request));
  }

  /** Lists the endpoints of this host's subset of a pool. */
  public listPool(pool: string): Readonly<IEndpointEntry>[] {
    const { board } = this._options;
    const entries: Readonly<IEndpointEntry>[] = [];
    for (const id of this._listSubset(pool)) {
      const entry = board.endpoints.get(id);
      // The panel may be newer than this index while change notifications are pending.
      if (entry && isAcceptingWork(entry) && listPoolsOf(entry).includes(pool)) entries.push(entry);
    }
    return entries;
  }

  /** Tells whether any endpoint that accepts new work has a version. */
  public hasVersion(version: string): boolean {
    return (this._pools.get(`version:${version}`)?.size ?? 0) > 0;
  }

  /** Iterates over the names of the pools that have, or had, endpoints. */
  public listPools(): IterableIterator<string> {
    return this._pools.keys();
  }

  private _listSubset(pool: string): readonly string[] {
    const known = this._subsets.get(pool);
    if (known) return known;
    const subset = this._chooseSubset([...(this._pools.get(pool) ?? [])]);
    this._subsets.set(pool, subset);
    return subset;
  }

  private _chooseSubset(ids: readonly string[]): readonly string[] {
    const { board, hashTexts, host, subsetSize = 12, zone } = this._options;
    if (ids.length <= subsetSize) return ids;
    const ranked = ids
      .map((id) => ({ id, rank: hashTexts(host, id), isLocal: board.endpoints.get(id)?.zone === zone }))
      .sort((first, second) => (first.rank < second.rank ? -1 : 1));
    const local = ranked
      .filter(({ isLocal }) => isLocal)
      .slice(0, Math.ceil(subsetSize * LOCAL_SUBSET_SHARE));
    const chosen = new Set(local.map(({ id }) => id));
    const remaining = ranked
      .filter(({ id }) => !chosen.has(id))
      .sort((a, b) => Number(a.isLocal) - Number(b.isLocal));
    for (const { id } of remaining.slice(0, subsetSize - chosen.size)) chosen.add(id);
    return [...chosen];
  }

  private _updatePools(before: IEndpointEntry | undefined, after: IEndpointEntry | undefined): void {
    if (before) for (const pool of listPoolsOf(before)) this._removeMember(pool, before.id);
    if (!after || !isAcceptingWork(after)) return;
    for (const pool of listPoolsOf(after)) {
      const members = this._pools.get(pool) ?? new Set<string>();
      members.add(after.id);
      this._pools.set(pool, members);
      this._subsets.delete(pool);
    }
  }

  private _removeMember(pool: string, id: string): void {
    this._pools.get(pool)?.delete(id);
    this._subsets.delete(pool);
  }
}

/** Formats the name of the pool that a request is routed in. */
export function formatPool(request: IRequestEntry): string {
  return request.target.kind === 'plain' && request.version === undefined
    ? `plain:${request.target.plainService}`
    : `version:${request.version ?? ''}`;
}

/**
 * Lists the names of the pools that an endpoint belongs to: those of its versions and, for a plain endpoint,
 * that of its service.
 */
export function listPoolsOf(endpoint: IEndpointEntry): string[] {
  const pools = endpoint.versions.map((version) => `version:${version}`);
  return endpoint.kind === 'plain' ? [`plain:${endpoint.service}`, ...pools] : pools;
}

function hasSamePools(before: IEndpointEntry, after: IEndpointEntry): boolean {
  return (
    isAcceptingWork(before) === isAcceptingWork(after) &&
    before.zone === after.zone &&
    before.kind === after.kind &&
    before.service === after.service &&
    (before.versions === after.versions || before.versions.join() === after.versions.join())
  );
}
