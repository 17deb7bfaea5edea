import type { Millis } from '../src/common/Types.js';
import type { CallKind } from './Types.js';

/** Names of the services, and the models of the first one from the smallest to the largest. */
export const MODEL_SERVICE = 'drafts';
export const PLAIN_SERVICE = 'ledger';
export const MODELS = ['small', 'large'] as const;

/**
 * Headers whose values from callers must not reach a runner: those that only routers set, and the API key.
 */
export const FORGED_HEADERS = ['authorization', 'tenant', 'expect-instance', 'hold', 'pin-ms', 'kv-from'];

/** Text that every caller sends in these headers, so that a runner recognizes a value from a caller. */
export const FORGED_VALUE = 'from-caller';

/** A route of the operator's configurations. */
export interface ISoakRoute {
  name: string;
  kind: CallKind;
  service: string;
  timeoutMs: Millis;
  maxAttempts: number;
  /** Share of all calls that go to this route. */
  share: number;
}

/**
 * Prefix of the version routes. Each configuration adds the route of its own version, so a call to it shows
 * which configuration a router has applied.
 */
export const VERSION_ROUTE = 'version-';

/** Routes of every configuration. The entry with the name `VERSION_ROUTE` stands for all version routes. */
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
