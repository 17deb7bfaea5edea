import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRequestEntry } from '../blackboard/Types.js';
import type { IAccountDemand } from '../estimates/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import { formatAccount } from './RequestQueue.js';

/** Options of the account demand controller. */
export interface IAccountDemandOptions {
  board: Blackboard;
  clock: IClock;
  /** Estimates the time for which a request occupies an endpoint. */
  estimateWork: (request: IRequestEntry) => Millis;
}

/**
 * Age at which the weight of a request has decayed to 1/e. A burst has to show within seconds, and a host of a large fleet
 * has to see a few dozen requests meanwhile, or the shares would follow chance.
 */
const DEMAND_DECAY_MS: Millis = 4000;

/** Largest number of entries in the panel, at about 300 bytes each. The one with the least offered work is removed. */
const MAX_ENTRIES = 256;

/**
 * Time that a caller may have used when it sends a request for the first time: the way from the caller to the host. A
 * repeat comes later, as the refusal has to reach the caller before.
 */
const MAX_FRESH_MS: Millis = 20;

/** Demand of less decayed work than this is as good as none. */
const MIN_OFFERED_MS: Millis = 0.1;

/** A request that has been offered and neither sent to an endpoint nor refused. */
interface IPendingOffer {
  key: string;
  workMs: Millis;
}

/**
 * Keeps the `accountDemand` panel: the work that requests to models have offered at this host, and how much of it was sent
 * to endpoints, by service, account and request class.
 */
export class AccountDemandController extends Disposable {
  private readonly _pending = new Map<string, IPendingOffer>();

  constructor(private readonly _options: IAccountDemandOptions) {
    super();
    this._register(
      _options.board.requests.onChange(({ after, key }) => {
        if (after?.phase === 'queued') this._recordOffer(after);
        else if (!after) this._pending.delete(key);
        else if (after.attemptCount > 0) this._recordAdmission(key);
        else if (after.phase === 'refused') this._recordRefusal(key, after.refusal?.code === 'no_capacity');
      }),
    );
  }

  private _recordOffer(request: IRequestEntry): void {
    const { board, clock, estimateWork } = this._options;
    // A request can be queued more than once, for another version or another attempt. It is one offer.
    if (request.target.kind !== 'model' || request.attemptCount > 0 || this._pending.has(request.id)) return;
    const { account, kind, priority, service } = request;
    const now = clock.now();
    const workMs = estimateWork(request);
    const isFresh = measureWaitedShare(request) * (request.fullTimeMs ?? 0) <= MAX_FRESH_MS;
    const key = `${formatAccount(request)}/${kind}`;
    const known = board.accountDemand.get(key);
    if (!known && board.accountDemand.size >= MAX_ENTRIES) this._evictEntry(now);
    const decayed = known
      ? computeDecayed(known, now)
      : createDemand({ key, service, account, kind, priority }, now);
    this._pending.set(request.id, { key, workMs });
    board.accountDemand.set(key, {
      ...decayed,
      priority,
      offeredMs: decayed.offeredMs + workMs,
      offeredTotalMs: decayed.offeredTotalMs + workMs,
      ...(isFresh ? { freshMs: decayed.freshMs + workMs, freshCount: decayed.freshCount + 1 } : {}),
      waitedMs: decayed.waitedMs + workMs * measureWaitedShare(request),
    });
  }

  private _recordAdmission(id: string): void {
    this._endOffer(id, (demand, workMs) => ({
      admittedMs: demand.admittedMs + workMs,
      admittedTotalMs: demand.admittedTotalMs + workMs,
    }));
  }

  private _recordRefusal(id: string, isForCapacity: boolean): void {
    this._endOffer(id, (demand, workMs) =>
      isForCapacity
        ? { refusedMs: demand.refusedMs + workMs, refusedTotal: demand.refusedTotal + 1 }
        : {
            offeredMs: Math.max(0, demand.offeredMs - workMs),
          },
    );
  }

  private _endOffer(
    id: string,
    change: (demand: Readonly<IAccountDemand>, workMs: Millis) => Partial<IAccountDemand>,
  ): void {
    const { board, clock } = this._options;
    const offer = this._pending.get(id);
    this._pending.delete(id);
    const demand = offer && board.accountDemand.get(offer.key);
    if (!offer || !demand) return;
    const decayed = computeDecayed(demand, clock.now());
    board.accountDemand.set(offer.key, { ...decayed, ...change(decayed, offer.workMs) });
  }

  private _evictEntry(now: Millis): void {
    let least: IAccountDemand | undefined;
    for (const entry of this._options.board.accountDemand.list()) {
      const decayed = computeDecayed(entry, now);
      if (!least || decayed.offeredMs < least.offeredMs) least = decayed;
    }
    if (least) this._options.board.accountDemand.delete(least.key);
  }
}

/**
 * Lists the demand for a service as it counts now. Entries without recent requests are left out.
 * @example
 * const demand = listDemand(board, 'drafts', clock.now());
 */
export function listDemand(board: Blackboard, service: string, now: Millis): IAccountDemand[] {
  const demands: IAccountDemand[] = [];
  for (const entry of board.accountDemand.list()) {
    if (entry.service !== service) continue;
    const decayed = computeDecayed(entry, now);
    if (decayed.offeredMs >= MIN_OFFERED_MS) demands.push(decayed);
  }
  return demands;
}

/**
 * Measures the share of a caller's time, 0 to 1, that had passed when the request arrived. A caller that has waited as it
 * was told has less time left than one that sends its request for the first time, or again at once.
 * @example
 * measureWaitedShare({ ...request, receivedAt: 0, deadlineAt: 3000, fullTimeMs: 4000 }); // 0.25
 */
export function measureWaitedShare({ deadlineAt, fullTimeMs, receivedAt }: IRequestEntry): number {
  if (fullTimeMs === undefined || fullTimeMs <= 0) return 0;
  return Math.min(1, Math.max(0, 1 - (deadlineAt - receivedAt) / fullTimeMs));
}

function createDemand(
  fields: Pick<IAccountDemand, 'key' | 'service' | 'account' | 'kind' | 'priority'>,
  now: Millis,
): IAccountDemand {
  const work = { offeredMs: 0, admittedMs: 0, refusedMs: 0, freshMs: 0, waitedMs: 0 };
  const counts = { freshCount: 0, offeredTotalMs: 0, admittedTotalMs: 0, refusedTotal: 0 };
  return { ...fields, ...work, ...counts, updatedAt: now };
}

function computeDecayed(demand: Readonly<IAccountDemand>, now: Millis): IAccountDemand {
  const weight = Math.exp(-Math.max(0, now - demand.updatedAt) / DEMAND_DECAY_MS);
  return {
    ...demand,
    offeredMs: demand.offeredMs * weight,
    admittedMs: demand.admittedMs * weight,
    refusedMs: demand.refusedMs * weight,
    freshMs: demand.freshMs * weight,
    freshCount: demand.freshCount * weight,
    waitedMs: demand.waitedMs * weight,
    updatedAt: now,
  };
}
