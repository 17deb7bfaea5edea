import type { IRevisionStoreStandIn } from '../src/standins/platform/RevisionStoreServer.js';
import { createTestRoute } from '../src/standins/platform/Routes.js';
import type { SoakBoard } from './SoakBoard.js';
import { FORGED_VALUE, MODEL_SERVICE, MODELS, PLAIN_SERVICE, ROUTES, VERSION_ROUTE } from './Traffic.js';

/** Number of previous versions whose version route a configuration still contains. */
const PREVIOUS_VERSION_ROUTES = 2;

/** Key of the account `north`, which is valid in every configuration. */
const PERMANENT_KEY = `${FORGED_VALUE}-north`;

/** Names of the accounts. */
const ACCOUNTS = { north: 'north', south: 'south' };

/** Returns the name of the account that a key belongs to. */
export function findAccount(key: string): string {
  return key === PERMANENT_KEY ? ACCOUNTS.north : ACCOUNTS.south;
}

/** Writes configurations to the store, as the operator of the platform does. */
export class SoakOperator {
  private _version = 1;
  private _keyNumber = 1;

  constructor(
    private readonly _board: SoakBoard,
    private readonly _store: IRevisionStoreStandIn,
  ) {
    this._publishConfiguration();
  }

  /** Publishes the next configuration: it adds a version route and drops the oldest one. */
  public publishNext(): void {
    this._version += 1;
    this._publishConfiguration();
  }

  /** Revokes the key of the account `south` and issues a new one. */
  public replaceKey(): void {
    this._keyNumber += 1;
    this.publishNext();
  }

  private _publishConfiguration(): void {
    const version = this._version;
    const keys = [PERMANENT_KEY, `${FORGED_VALUE}-south-${this._keyNumber}`];
    const versionRoutes = [...Array(PREVIOUS_VERSION_ROUTES + 1).keys()]
      .map((age) => version - age)
      .filter((number) => number > 0)
      .map((number) => `${VERSION_ROUTE}${number}`);
    const routes = ROUTES.flatMap(({ kind, maxAttempts, name, service, timeoutMs }) => {
      const streamOptions = { sizes: MODELS, streamResume: true, gapAimMs: 1200 };
      const patch = { service, timeoutMs, maxAttempts, ...(kind === 'streaming' ? streamOptions : {}) };
      const expandedNames = name === VERSION_ROUTE ? versionRoutes : [name];
      return expandedNames.map((routeName) => createTestRoute(routeName, kind, patch));
    });
    const sentAt = this._board.now();
    this._store.put('op/config', {
      version,
      routes,
      services: [
        { name: MODEL_SERVICE, engine: { models: [] } },
        { name: PLAIN_SERVICE, healthPath: '/health' },
      ],
      tenants: [
        { name: ACCOUNTS.north, apiKeys: keys.slice(0, 1) },
        { name: ACCOUNTS.south, apiKeys: keys.slice(1) },
      ],
    });
    const routeNames = [
      ...ROUTES.map(({ name }) => name).filter((name) => name !== VERSION_ROUTE),
      ...versionRoutes,
    ];
    this._board.configurations.set(version, {
      version,
      sentAt,
      acknowledgedAt: this._board.now(),
      routes: routeNames,
      keys,
    });
  }
}
