import type { Millis } from '../src/common/Types.js';
import type { CallKind } from './Types.js';

/** Services of a run, and the models of the first, smallest first. */
export const MODEL_SERVICE = 'drafts';
export const PLAIN_SERVICE = 'ledger';
export const MODELS = ['small', 'large'] as const;

/** Headers that only routers set, and the caller's key: what callers send in them must not reach a runner. */
export const FORGED_HEADERS = ['authorization', 'tenant', 'expect-instance', 'hold', 'pin-ms', 'kv-from'];

/** Part of each such header that a caller sends. */
export const FORGED_VALUE = 'from-caller';

/** A route of every configuration. */
export interface ISoakRoute {
  name: string;
  kind: CallKind;
  service: string;
  timeoutMs: Millis;
  maxAttempts: number;
  /** Share of the calls. */
  share: number;
}

/** Name of the route that each configuration adds; it shows which version a router holds. */
export const VERSION_ROUTE = 'version-';

/** Routes that every configuration has, and the one that stands for the routes of versions. */
export const ROUTES: readonly ISoakRoute[] = [
  { name: 'look', kind: 'safe', service: PLAIN_SERVICE, timeoutMs: 1500, maxAttempts: 2, share: 0.3 },
  { name: 'post', kind: 'unsafe', service: PLAIN_SERVICE, timeoutMs: 1500, maxAttempts: 1, share: 0.25 },
  { name: 'short', kind: 'unsafe', service: PLAIN_SERVICE, timeoutMs: 400, maxAttempts: 1, share: 0.1 },
  { name: 'write', kind: 'streaming', service: MODEL_SERVICE, timeoutMs: 4000, maxAttempts: 3, share: 0.2 },
  {
    name: VERSION_ROUTE,
    kind: 'safe',
    service: PLAIN_SERVICE,
    timeoutMs: 1500,
    maxAttempts: 2,
    share: 0.15,
  },
];
