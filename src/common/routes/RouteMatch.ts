import { Result } from 'true-myth';
import type { IRefusal } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';
import type { IRoute, IRouteAccount, IRouteTarget, IRoutingTable } from './Types.js';

/** What of a call decides on its route and account. */
export interface ICallAddress {
  host: string;
  path: string;
  key: string | undefined;
}

/** A call whose route and account are known. */
export interface IMatchedCall {
  route: IRoute;
  account: IRouteAccount;
}

/** Account of calls on open routes. */
const OPEN_ACCOUNT: IRouteAccount = { name: '', priority: undefined };

/** Time after which a caller may find a host that knows its configuration. */
const NOT_READY_RETRY_AFTER_MS: Millis = 300;

/**
 * Finds the route and the account of a call. Without a configuration nothing is denied: the host cannot
 * know what is allowed.
 * @example
 * matchCall(table, { host: 'a.example', path: '/drafts/1', key: 'secret' }).map(({ route }) => route.name);
 */
export function matchCall(
  table: IRoutingTable | undefined,
  call: ICallAddress,
): Result<IMatchedCall, IRefusal> {
  if (!table) {
    const message = 'The host has no configuration yet.';
    const retryAfterMs = NOT_READY_RETRY_AFTER_MS;
    return Result.err({ code: 'not_ready', message, ran: 'no', retryAfterMs });
  }
  const route = findRoute(table, call);
  if (!route) return Result.err({ code: 'unknown_path', message: 'No route matches.', ran: 'no' });
  const account = findAccount(table, route, call.key);
  if (!account) {
    return Result.err({ code: 'unknown_key', message: 'The key is missing or not known.', ran: 'no' });
  }
  return Result.ok({ route, account });
}

/** Chooses among the targets of a route by a point from 0 up to 1. */
export function chooseTarget(targets: readonly IRouteTarget[], point: number): string | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = point * total;
  for (const { service, weight } of targets) {
    if (left < weight) return service;
    left -= weight;
  }
  return targets.at(-1)?.service;
}

function findRoute(table: IRoutingTable, { host, path }: ICallAddress): IRoute | undefined {
  const name = host.toLowerCase().replace(/:\d+$/, '');
  return table.routesByHost.get(name)?.find(({ prefix }) => path.startsWith(prefix));
}

function findAccount(
  table: IRoutingTable,
  route: IRoute,
  key: string | undefined,
): IRouteAccount | undefined {
  const { accountsByKey } = table;
  if (!accountsByKey) return OPEN_ACCOUNT;
  const account = key === undefined ? undefined : accountsByKey.get(key);
  return account ?? (route.isOpen ? OPEN_ACCOUNT : undefined);
}
