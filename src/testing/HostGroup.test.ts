import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import { createSeededRandom } from '../adapters/Random.js';
import type { Millis, RandomSource } from '../common/Types.js';
import { buildDocumentText, formatPair, HostGroup } from './HostGroup.js';
import type { IDelivery } from './MemoryPeers.js';

type Step =
  | { kind: 'cut' | 'join'; first: number; second: number }
  | { kind: 'cut-store' | 'old-store' | 'join-store'; host: number }
  /** `isolate` disconnects a host from all peers; `only-reader` disconnects all other hosts from the store. */
  | { kind: 'isolate' | 'only-reader'; host: number }
  | { kind: 'store-down' | 'store-up' | 'edit' }
  | { kind: 'stop' | 'start'; host: number };

interface IAcceptedRevision {
  revision: number;
  acceptedAt: Millis;
}

const SEED = Number(process.env.FAST_CHECK_SEED ?? 20261204);
/**
 * Availability zones of the hosts, in turn. Most hosts share a zone; because only some hosts of each zone
 * watch the configuration in the store, most hosts of a large group do not.
 */
const ZONES = ['zone-a', 'zone-a', 'zone-a', 'zone-b'];
/** Longest time from the acceptance of a revision until it is in force on connected hosts. */
const MAX_PROPAGATION_MS = 4000;
const CHECK_INTERVAL_MS = 100;
/**
 * Time in which the host states become correct after the faults end: failed checks until a host is `suspect`,
 * 5 s from `suspect` to `gone`, and one exchange with every peer, so that a refutation has arrived.
 */
const CONVERGENCE_MS = 40_000;

/**
 * Applies steps to a group of hosts and checks the revisions in force on every host at short intervals, and
 * the host states at the end.
 */
class Simulation {
  public readonly failures: string[] = [];
  private readonly _group: HostGroup;
  private readonly _random: RandomSource;
  private readonly _acceptedRevisions: IAcceptedRevision[] = [];
  private readonly _lastRevisions = new Map<string, number>();
  /** Start of the current connection, by host id for the store and by pair for two hosts. */
  private readonly _connectedSince = new Map<string, Millis>();
  private _editCount = 0;

  constructor(
    private readonly _hostCount: number,
    seed: number,
  ) {
    this._random = createSeededRandom(seed);
    this._group = new HostGroup({ random: this._random, chooseDelivery: () => this._chooseDelivery() });
    for (let index = 0; index < _hostCount; index += 1) this._startHost(index);
  }

  public async apply(step: Step): Promise<void> {
    const group = this._group;
    switch (step.kind) {
      case 'cut':
        group.disconnectedPairs.add(this._formatPair(step.first, step.second));
        break;
      case 'join':
        group.disconnectedPairs.delete(this._formatPair(step.first, step.second));
        break;
      case 'cut-store':
        group.storeAccess.set(this._getId(step.host), 'silent');
        break;
      case 'old-store':
        group.serveStaleReads(this._getId(step.host));
        break;
      case 'join-store':
        group.storeAccess.delete(this._getId(step.host));
        break;
      case 'isolate':
      case 'only-reader':
        for (let index = 0; index < this._hostCount; index += 1) {
          if (index === step.host % this._hostCount) continue;
          if (step.kind === 'isolate') group.disconnectedPairs.add(this._formatPair(index, step.host));
          else group.storeAccess.set(this._getId(index), 'silent');
        }
        break;
      case 'store-down':
      case 'store-up':
        group.isStoreDown = step.kind === 'store-down';
        break;
      case 'edit':
        await this._applyEdit();
        break;
      case 'stop':
        group.stopHost(this._getId(step.host));
        break;
      case 'start':
        if (!group.hosts.has(this._getId(step.host))) this._startHost(step.host);
        break;
    }
  }

  public async advance(duration: Millis): Promise<void> {
    for (let elapsed = 0; elapsed < duration; elapsed += CHECK_INTERVAL_MS) {
      this._trackConnections();
      await this._group.clock.advance(CHECK_INTERVAL_MS);
      this._checkRevisions();
    }
  }

  /**
   * Ends all faults, without restarting stopped hosts. After `CONVERGENCE_MS`, every host must have `gone` as
   * the state of the stopped hosts, and of no running one.
   */
  public async finish(): Promise<void> {
    const group = this._group;
    group.disconnectedPairs.clear();
    group.storeAccess.clear();
    group.isStoreDown = false;
    await this.advance(CONVERGENCE_MS);
    for (const { board, id } of group.hosts.values()) {
      for (const host of board.hosts.list()) {
        // Messages are still lost, so a running host may become `suspect`. It must refute that before it is
        // `gone`.
        const isCorrect = group.hosts.has(host.id) ? host.state !== 'gone' : host.state === 'gone';
        if (!isCorrect) this.failures.push(`${id} has the wrong state ${host.state} for ${host.id}`);
      }
    }
    group.dispose();
  }

  private async _applyEdit(): Promise<void> {
    if (this._group.isStoreDown) return;
    this._editCount += 1;
    const revision = await this._group.applyDocument(buildDocumentText(this._editCount));
    this._acceptedRevisions.push({ revision, acceptedAt: this._group.clock.now() });
  }

  private _startHost(index: number): void {
    const id = this._getId(index);
    this._lastRevisions.delete(id);
    this._group.startHost(id, ZONES[index % ZONES.length]!);
  }

  private _chooseDelivery(): IDelivery {
    const randomPoint = this._random();
    const delayMs = randomPoint < 0.05 ? 600 * this._random() : 5 * this._random();
    const repeat = this._random() < 0.05 ? { repeatMs: 3000 * this._random() } : {};
    const kind = randomPoint > 0.99 ? 'lose-reply' : randomPoint > 0.98 ? 'lose-request' : 'deliver';
    return { kind, delayMs, ...repeat };
  }

  private _trackConnections(): void {
    const ids = Array.from({ length: this._hostCount }, (_, index) => this._getId(index));
    for (const id of ids) {
      const isRunning = this._group.hosts.has(id);
      this._recordConnection(id, isRunning && this._group.isStoreReachable(id));
      for (const other of ids) {
        const isPairConnected =
          isRunning && this._group.hosts.has(other) && this._group.isConnected(id, other);
        if (id < other) this._recordConnection(formatPair(id, other), isPairConnected);
      }
    }
  }

  private _recordConnection(key: string, isConnected: boolean): void {
    if (!isConnected) this._connectedSince.delete(key);
    else if (!this._connectedSince.has(key)) this._connectedSince.set(key, this._group.clock.now());
  }

  private _checkRevisions(): void {
    const now = this._group.clock.now();
    for (const { id } of this._group.hosts.values()) {
      const { revision } = this._group.describe(id);
      const previousRevision = this._lastRevisions.get(id) ?? 0;
      if (revision < previousRevision)
        this.failures.push(`${id} went back from revision ${previousRevision} to ${revision} at ${now} ms`);
      this._lastRevisions.set(id, revision);
      const latestDue = this._acceptedRevisions.findLast(({ acceptedAt }) =>
        this._isDueOnHost(id, acceptedAt, now),
      );
      if (latestDue && revision < latestDue.revision) {
        this.failures.push(
          `${id} has revision ${revision} at ${now} ms, but ${latestDue.revision} was accepted at ${latestDue.acceptedAt} ms`,
        );
      }
    }
  }

  /**
   * Tells whether a revision must be in force on a host. It must when, for more than `MAX_PROPAGATION_MS` and
   * one check interval after it was accepted, the host has been connected to the store, or to a peer that was.
   */
  private _isDueOnHost(id: string, acceptedAt: Millis, now: Millis): boolean {
    const hasStayedConnected = (key: string): boolean =>
      now - Math.max(acceptedAt, this._connectedSince.get(key) ?? Infinity) >
      MAX_PROPAGATION_MS + CHECK_INTERVAL_MS;
    if (hasStayedConnected(id)) return true;
    const others = [...this._group.hosts.keys()].filter((other) => other !== id);
    return others.some((other) => hasStayedConnected(other) && hasStayedConnected(formatPair(id, other)));
  }

  private _formatPair(first: number, second: number): string {
    return formatPair(this._getId(first), this._getId(second));
  }

  private _getId(index: number): string {
    return `host-${index % this._hostCount}`;
  }
}

const HOST_INDEX = fc.nat({ max: 6 });
const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('cut' as const, 'join' as const),
    first: HOST_INDEX,
    second: HOST_INDEX,
  }),
  fc.record({
    kind: fc.constantFrom('cut-store' as const, 'old-store' as const, 'join-store' as const),
    host: HOST_INDEX,
  }),
  fc.record({ kind: fc.constantFrom('isolate' as const, 'only-reader' as const), host: HOST_INDEX }),
  fc.record({ kind: fc.constantFrom('store-down' as const, 'store-up' as const) }),
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('edit' as const) }) },
  fc.record({ kind: fc.constantFrom('stop' as const, 'start' as const), host: HOST_INDEX }),
);
const PLAN = fc.array(fc.tuple(STEP, fc.integer({ min: 0, max: 6000 })), { minLength: 5, maxLength: 25 });

async function runPlan(
  hostCount: number,
  seed: number,
  plan: readonly [Step, number][],
): Promise<readonly string[]> {
  const simulation = new Simulation(hostCount, seed);
  await simulation.apply({ kind: 'edit' });
  await simulation.advance(5000);
  for (const [step, pauseMs] of plan) {
    await simulation.apply(step);
    await simulation.advance(pauseMs);
  }
  await simulation.finish();
  return simulation.failures;
}

async function checkProperty(t: ExecutionContext, hostCount: number, numRuns: number): Promise<void> {
  const property = fc.asyncProperty(fc.nat(), PLAN, async (seed, plan) => {
    const failures = await runPlan(hostCount, seed, plan);
    if (failures.length > 0) throw new Error(failures.slice(0, 5).join('; '));
  });
  const { counterexample, errorInstance, failed } = await fc.check(property, { seed: SEED, numRuns });
  t.false(failed, `${String(errorInstance)} ${JSON.stringify(counterexample)}`);
}

// Guards against lost or reverted revisions and wrong host states when connections between hosts or to the
// store fail, hosts stop and restart, and peer messages are delayed, repeated or lost.
for (const hostCount of [2, 3, 7]) {
  test(`on ${hostCount} hosts, revisions are in force within 4 s and host states become correct after faults`, async (t) => {
    await checkProperty(t, hostCount, 30);
  });
}
