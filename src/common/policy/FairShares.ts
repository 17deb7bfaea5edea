import type { IAccountDemand } from '../estimates/Types.js';
import type { Millis, Priority } from '../Types.js';

/** Demand of an account in one request class, as far as shares depend on it. */
export type ClassDemand = Pick<
  IAccountDemand,
  'account' | 'kind' | 'priority' | 'offeredMs' | 'freshMs' | 'freshCount'
>;

/**
 * Least share of the calls of a class that is served, relative to the share of all calls. Callers are promised a quarter; the
 * rest allows for chance in the choice of the requests.
 */
const MIN_RELATIVE_SHARE = 0.3;

/**
 * Least share of the offered work that the endpoints are taken to bear. With none, nothing would be sent to them, and the
 * wait could not be measured.
 */
const MIN_BEARABLE_SHARE = 0.05;

/** Steps of the bisection for the level that accounts are filled up to; the error is below a millionth of it. */
const LEVEL_STEPS = 24;

/** Order of the classes within an account; the most urgent goes first. */
const PRIORITY_ORDER: readonly Priority[] = ['high', 'normal', 'low'];

/**
 * Computes the share of the offered work, 0 to 1, that is admitted of each class of each account, in the order of
 * `demands`, if the endpoints bear `bearableShare` of all. Accounts are filled up to the same level of work (max-min
 * fairness): one that asks for less gets all of it, and what it leaves goes to the others. Within an account the more
 * urgent classes go first. No class gets less than `MIN_RELATIVE_SHARE` of the share of all calls. Calls are counted without
 * repeats: a class that is refused is offered again and again, and would otherwise get the larger a least share the more
 * of it is refused.
 * @example
 * // The second account asks for more than its part of 0.6 * 50 = 30.
 * computeFairShares([{ ...demand, account: 'a', offeredMs: 10 }, { ...demand, account: 'b', offeredMs: 40 }], 0.6); // [1, 0.5]
 */
export function computeFairShares(demands: readonly ClassDemand[], bearableShare: number): number[] {
  const capacityMs = bearableShare * sumOffered(demands);
  const minShare = computeMinShare(demands, capacityMs);
  const accounts = new Map<string, IAccountClasses>();
  for (const demand of demands) {
    const { classes = [], minMs = 0, offeredMs = 0 } = accounts.get(demand.account) ?? {};
    accounts.set(demand.account, {
      classes: [...classes, demand],
      minMs: minMs + computeMinWork(demand, minShare),
      offeredMs: offeredMs + demand.offeredMs,
    });
  }
  const levelMs = findLevel([...accounts.values()], capacityMs);
  const shares = new Map<ClassDemand, number>();
  for (const account of accounts.values())
    assignClassShares(account, limitToLevel(account, levelMs), minShare, shares);
  return demands.map((demand) => shares.get(demand) ?? 1);
}

/** Classes of an account, with its offered work and the least that it gets. */
interface IAccountClasses {
  classes: readonly ClassDemand[];
  minMs: Millis;
  offeredMs: Millis;
}

/**
 * Computes the share of the offered work, up to 1, that the endpoints bear: the share that was admitted lately, multiplied
 * by the square of the ratio of the wait at which refusals begin to the wait expected now. It follows the capacity however
 * often callers repeat their requests, and idle endpoints end the refusals at once. As long as nothing is refused it is 1
 * up to that wait. In a played load on 60 hosts, the ratio without the square followed a burst, and its end, two seconds
 * later.
 * @example
 * computeBearableShare(demands, { waitMs: 1800, targetWaitMs: 900 }); // a quarter of what was admitted lately
 */
export function computeBearableShare(
  demands: readonly Pick<IAccountDemand, 'admittedMs' | 'refusedMs'>[],
  { targetWaitMs, waitMs }: { waitMs: Millis; targetWaitMs: Millis },
): number {
  const admittedMs = demands.reduce((sum, demand) => sum + demand.admittedMs, 0);
  const refusedMs = demands.reduce((sum, demand) => sum + demand.refusedMs, 0);
  const admittedShare = refusedMs > 0 ? admittedMs / (admittedMs + refusedMs) : 1;
  const ratio = targetWaitMs / Math.max(1, waitMs);
  return Math.min(1, Math.max(MIN_BEARABLE_SHARE, admittedShare) * ratio * ratio);
}

/**
 * Computes the least share of the calls of each class. It is relative to an upper bound on the served share of all calls:
 * that of serving the smallest first.
 */
function computeMinShare(demands: readonly ClassDemand[], capacityMs: Millis): number {
  const ordered = [...demands].sort(
    (first, second) => first.freshMs * second.freshCount - second.freshMs * first.freshCount,
  );
  let leftMs = capacityMs;
  let served = 0;
  let calls = 0;
  let freshMs = 0;
  for (const demand of ordered) {
    const share = demand.freshMs <= 0 ? 1 : Math.min(1, leftMs / demand.freshMs);
    leftMs -= share * demand.freshMs;
    served += share * demand.freshCount;
    calls += demand.freshCount;
    freshMs += demand.freshMs;
  }
  if (calls <= 0 || freshMs <= 0) return 0;
  return Math.min((MIN_RELATIVE_SHARE * served) / calls, capacityMs / freshMs);
}

function computeMinWork({ freshMs, offeredMs }: ClassDemand, minShare: number): Millis {
  return Math.min(offeredMs, minShare * freshMs);
}

function sumOffered(demands: readonly ClassDemand[]): Millis {
  return demands.reduce((sum, { offeredMs }) => sum + offeredMs, 0);
}

function limitToLevel({ minMs, offeredMs }: IAccountClasses, levelMs: Millis): Millis {
  return Math.min(offeredMs, Math.max(minMs, levelMs));
}

/** Finds the level of work at which all accounts together get the capacity. */
function findLevel(accounts: readonly IAccountClasses[], capacityMs: Millis): Millis {
  let low = 0;
  let high = Math.max(0, ...accounts.map(({ offeredMs }) => offeredMs));
  for (let step = 0; step < LEVEL_STEPS; step += 1) {
    const middle = (low + high) / 2;
    const usedMs = accounts.reduce((sum, account) => sum + limitToLevel(account, middle), 0);
    if (usedMs > capacityMs) high = middle;
    else low = middle;
  }
  return (low + high) / 2;
}

/** Assigns the work that an account gets to its classes: the least of each, and the rest to the most urgent. */
function assignClassShares(
  { classes, minMs }: IAccountClasses,
  accountMs: Millis,
  minShare: number,
  shares: Map<ClassDemand, number>,
): void {
  let leftMs = accountMs - minMs;
  for (const priority of PRIORITY_ORDER) {
    const equals = classes.filter((demand) => demand.priority === priority);
    const wantedMs = equals.reduce(
      (sum, demand) => sum + demand.offeredMs - computeMinWork(demand, minShare),
      0,
    );
    const granted = wantedMs <= 0 ? 1 : Math.min(1, Math.max(0, leftMs / wantedMs));
    leftMs -= granted * wantedMs;
    for (const demand of equals) {
      const least = demand.offeredMs <= 0 ? 1 : computeMinWork(demand, minShare) / demand.offeredMs;
      shares.set(demand, least + granted * (1 - least));
    }
  }
}
