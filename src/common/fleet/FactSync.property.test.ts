import test from 'ava';
import fc from 'fast-check';
import { createSeededRandom } from '../../adapters/Random.js';
import { FactStoreStandIn, type StoreMood } from '../../testing/FactStoreStandIn.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { isAcceptingWork } from '../request/Candidates.js';
import { EndpointRegistryController } from './EndpointRegistryController.js';
import { FactOwnerController } from './FactOwnerController.js';
import { FactSyncController } from './FactSyncController.js';
import { RoutingTableController } from './RoutingTableController.js';
import type { FleetFact, IEndpointAnnouncement } from './Types.js';

const SEED = Number(process.env.FAST_CHECK_SEED ?? 20261204);
const ENDPOINTS = 3;

/** Time after the last fault and change from which on every host has to know the truth: the contact time. */
const CONTACT_MS = 3000;

/** Time after which lost facts of hosts have to be written again, beyond the longest pause between two tries. */
const REWRITTEN_MS = 16_000;

type Step =
  | { kind: 'configure' }
  | { kind: 'compact' }
  | { kind: 'announce' | 'leave' | 'remove' | 'disturb'; endpoint: number }
  | { kind: 'restore'; changes: number }
  | { kind: 'treat'; mood: StoreMood }
  | { kind: 'hold'; host: number }
  | { kind: 'advance'; ms: number };

const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('configure' as const) }),
  fc.record({ kind: fc.constant('compact' as const) }),
  fc.record({
    kind: fc.constantFrom('announce' as const, 'leave' as const, 'remove' as const, 'disturb' as const),
    endpoint: fc.nat(ENDPOINTS - 1),
  }),
  fc.record({ kind: fc.constant('restore' as const), changes: fc.nat(6) }),
  fc.record({
    kind: fc.constant('treat' as const),
    mood: fc.constantFrom<StoreMood>('sound', 'silent', 'slow', 'refusing'),
  }),
  fc.record({ kind: fc.constant('hold' as const), host: fc.nat(1) }),
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.nat(4000) }) },
);

/** Two hosts on one store, and what must never be taken back on either. */
class Fleet {
  public readonly clock = new ManualClock();
  public readonly store = new FactStoreStandIn(this.clock);
  public readonly broken: string[] = [];
  private readonly _hosts = [0, 1].map((index) => this._createHost(`host-${index}`));
  private readonly _starts = Array.from({ length: ENDPOINTS }, () => 0);
  private _version = 0;
  private _holdCount = 0;

  public async run(step: Step): Promise<void> {
    if (step.kind === 'configure') this._writeConfiguration();
    else if (step.kind === 'compact') this.store.compact();
    else if (step.kind === 'restore') this.store.restore(step.changes);
    else if (step.kind === 'treat') this.store.mood = step.mood;
    else if (step.kind === 'hold') this._publishHolds(step.host);
    else if (step.kind === 'advance') await this.clock.advance(step.ms);
    else this._updateEndpoint(step.kind, step.endpoint);
  }

  /** Compares what each host has in force with what the operator and the endpoints wrote last. */
  public checkTruth(): void {
    const truth = [...this.store.truth.values()];
    const ready = truth.flatMap((fact) =>
      fact.kind === 'endpoint' && !fact.endpoint.isLeaving
        ? [`${fact.endpoint.id}@${fact.endpoint.startedAt}`]
        : [],
    );
    for (const { board, id } of this._hosts) {
      const version = board.routing.get('in-force')?.version ?? 0;
      if (version !== this._version)
        this.broken.push(`${id}: version ${version} instead of ${this._version}`);
      const used = [...board.endpoints.list()].filter(isAcceptingWork);
      const names = used.map((endpoint) => `${endpoint.id}@${endpoint.incarnation ?? 0}`).sort();
      if (names.join() !== ready.sort().join())
        this.broken.push(`${id}: uses ${names.join()} instead of ${ready.join()}`);
    }
  }

  /** Checks that the store has what each host wrote last. */
  public checkOwnFacts(): void {
    for (const { id, sessions } of this._hosts) {
      const stored = this.store.read(`hosts/${id}`);
      const found = stored?.kind === 'session-holds' ? stored.holds.sessions.join() : '';
      if (found !== sessions.join())
        this.broken.push(`${id}: the store has ${found} instead of ${sessions.join()}`);
    }
  }

  private _createHost(id: string) {
    const board = new Blackboard();
    const common = { board, clock: this.clock, random: createSeededRandom(id.length) };
    const client = this.store.createClient();
    const refuseWrite = () => Promise.reject(new Error('not used'));
    const { writers } = new FactOwnerController({
      ...common,
      host: id,
      store: {
        ...client,
        writeCrashReports: refuseWrite,
        writeCrashEvidence: refuseWrite,
        writeHostPresence: refuseWrite,
        writeRolloutEvidence: refuseWrite,
        writeReleaseBaseline: refuseWrite,
      },
    });
    new EndpointRegistryController(common);
    new RoutingTableController(board);
    board.routing.onChange(({ before, after }) => {
      if (before && after && after.version < before.version)
        this.broken.push(`${id}: version ${after.version} after ${before.version}`);
    });
    const known = new Set<string>();
    board.endpoints.onChange(({ key, before, after }) => {
      const name = `${key}@${after?.incarnation ?? 0}`;
      if (before && !after) known.add(`${key}@${before.incarnation ?? 0}`);
      if (before?.health === 'leaving') known.add(`${key}@${before.incarnation ?? 0}`);
      if (after?.health === 'healthy' && known.has(name) && !this._isReady(key, after.incarnation))
        this.broken.push(`${id}: ${name} is used again although it has gone`);
    });
    void new FactSyncController({ ...common, store: client }).run();
    return { id, board, writers, sessions: [] as string[] };
  }

  private _isReady(id: string, startedAt: number | undefined): boolean {
    const fact = this.store.truth.get(`endpoints/${id}`);
    return fact?.kind === 'endpoint' && fact.endpoint.startedAt === startedAt && !fact.endpoint.isLeaving;
  }

  private _writeConfiguration(): void {
    this._version += 1;
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const table = { routesByHost: new Map(), services: new Map(), accountsByKey: undefined, limits };
    this.store.put('config', { kind: 'routing-table', table: { ...table, version: this._version } });
  }

  private _updateEndpoint(kind: 'announce' | 'leave' | 'remove' | 'disturb', index: number): void {
    const key = `endpoints/e-${index}`;
    const known = this.store.truth.get(key);
    const odd: FleetFact = { kind: 'unreadable', reason: 'odd' };
    if (kind === 'disturb')
      this.store.put(`${key}-odd`, this.store.truth.has(`${key}-odd`) ? undefined : odd);
    else if (kind === 'announce' && !known) {
      const startedAt = (this._starts[index] ?? 0) + 1;
      this._starts[index] = startedAt;
      this._writeAnnouncement(key, { id: `e-${index}`, startedAt, isLeaving: false });
    } else if (kind === 'leave' && known?.kind === 'endpoint')
      this._writeAnnouncement(key, { ...known.endpoint, isLeaving: true });
    else if (kind === 'remove' && known) this.store.put(key, undefined);
  }

  private _writeAnnouncement(
    key: string,
    patch: Pick<IEndpointAnnouncement, 'id' | 'startedAt' | 'isLeaving'>,
  ): void {
    const rest = {
      service: 's',
      address: '10.0.0.1:80',
      zone: 'a',
      release: 'v1',
      slots: 4,
      models: [],
      warmUpMs: 0,
    };
    this.store.put(key, { kind: 'endpoint', endpoint: { ...rest, ...patch } });
  }

  private _publishHolds(index: number): void {
    const host = this._hosts[index]!;
    this._holdCount += 1;
    host.sessions = [...host.sessions, `s-${this._holdCount}`];
    void host.writers.writeSessionHolds({ service: 's', host: host.id, order: 1, sessions: host.sessions });
  }
}

/** An endpoint that goes, and a restoration that brings it back; rare among random steps. */
const RETURN_OF_GONE: Step[] = [
  { kind: 'announce', endpoint: 0 },
  { kind: 'advance', ms: 3000 },
  { kind: 'remove', endpoint: 0 },
  { kind: 'advance', ms: 3000 },
  { kind: 'restore', changes: 0 },
  { kind: 'advance', ms: 1000 },
];

// Guards against DRAIN and CONFIG: news of the store that a host refuses for a wrong reason, takes although they are
// older, or learns late; and against state of hosts that a restored store loses.
test('whatever happens to the store, hosts know the truth in time, never go back, and keep what they wrote', async (t) => {
  const property = fc.asyncProperty(fc.array(STEP, { minLength: 5, maxLength: 40 }), async (steps) => {
    const fleet = new Fleet();
    for (const step of steps) await fleet.run(step);
    fleet.store.mood = 'sound';
    // Lost facts of others are written again within this time of a restoration.
    await fleet.clock.advance(CONTACT_MS);
    fleet.checkTruth();
    await fleet.clock.advance(REWRITTEN_MS);
    fleet.checkTruth();
    fleet.checkOwnFacts();
    if (fleet.broken.length > 0) throw new Error(fleet.broken.join('\n'));
  });
  await t.notThrowsAsync(
    fc.assert(property, {
      seed: SEED,
      numRuns: 150,
      examples: [[RETURN_OF_GONE]],
      includeErrorInReport: true,
    }),
  );
});
