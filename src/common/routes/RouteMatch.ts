import { Result } from 'true-myth';
import type { IRefusal } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';
import type { IRoute, IRouteAccount, IRouteTarget, IRoutingTable } from './Types.js';

/** The properties of a call that determine its route and account. */
export interface ICallAddress {
  /** Value of the `host` header, with or without a port. */
  host: string;
  path: string;
  /** Key that identifies the caller's account. */
  key: string | undefined;
}

/** Route and account of a call. */
export interface IMatchedCall {
  route: IRoute;
  account: IRouteAccount;
}

/** Account of calls without a known key, where none is needed. */
const ANONYMOUS_ACCOUNT: IRouteAccount = { name: '', priority: undefined };

/** Time after which a refused caller may expect a host that has loaded its configuration. */
const NOT_READY_RETRY_AFTER_MS: Millis = 300;

/**
 * Finds the route and the account of a call. Without a configuration, the call is refused as `not_ready`
 * rather than as unknown, because the host cannot know which paths and keys are valid.
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

/**
 * Chooses the service of a request among the targets of a route, in proportion to their weights.
 * @param fraction Position of the request among all requests, from 0 up to 1.
 */
export function chooseTarget(targets: readonly IRouteTarget[], fraction: number): string | undefined {
  const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * totalWeight;
  for (const { service, weight } of targets) {
    if (remaining < weight) return service;
    remaining -= weight;
  }
  return targets.at(-1)?.service;
}

function findRoute(table: IRoutingTable, { host, path }: ICallAddress): IRoute | undefined {
  const hostName = host.toLowerCase().replace(/:\d+$/, '');
  return table.routesByHost.get(hostName)?.find(({ prefix }) => path.startsWith(prefix));
}

function findAccount(
  table: IRoutingTable,
  route: IRoute,
  key: string | undefined,
): IRouteAccount | undefined {
  const { accountsByKey } = table;
  if (!accountsByKey) return ANONYMOUS_ACCOUNT;
  const account = key === undefined ? undefined : accountsByKey.get(key);
  return account ?? (route.isOpen ? ANONYMOUS_ACCOUNT : undefined);
}
