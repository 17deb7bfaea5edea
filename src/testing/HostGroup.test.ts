import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import { createSeededRandom } from '../adapters/Random.js';
import type { Millis, RandomSource } from '../common/Types.js';
import { buildDocument, formatPair, HostGroup } from './HostGroup.js';
import type { IDelivery } from './MemoryPeers.js';

type Step =
  | { kind: 'cut' | 'join'; first: number; second: number }
  | { kind: 'cut-store' | 'old-store' | 'join-store'; host: number }
  /** Cuts a host from all peers, or all other hosts from the store. */
  | { kind: 'isolate' | 'only-reader'; host: number }
  | { kind: 'store-down' | 'store-up' | 'edit' }
  | { kind: 'stop' | 'start'; host: number };

interface IAccepted {
  revision: number;
  at: Millis;
}

const SEED = Number(process.env.FAST_CHECK_SEED ?? 20261204);
/** Most hosts share a zone, so that most are not watchers. */
const ZONES = ['zone-a', 'zone-a', 'zone-a', 'zone-b'];
const IN_FORCE_MS = 4000;
const CHECK_MS = 100;
/** Suspicion, 5 s until gone, and a turn of every peer for the refutation. */
const SETTLE_MS = 40_000;

/** Runs random steps, and checks at short intervals what must hold on every host. */
class Run {
  public readonly failures: string[] = [];
  private readonly _group: HostGroup;
  private readonly _random: RandomSource;
  private readonly _accepted: IAccepted[] = [];
  private readonly _revisions = new Map<string, number>();
  /** Since when a host has reached the store, or a pair of hosts one another. */
  private readonly _since = new Map<string, Millis>();
  private _edits = 0;

  constructor(
    private readonly _hostCount: number,
    seed: number,
  ) {
    this._random = createSeededRandom(seed);
    this._group = new HostGroup({ random: this._random, chooseDelivery: () => this._chooseDelivery() });
    for (let index = 0; index < _hostCount; index += 1) this._start(index);
  }

  public async apply(step: Step): Promise<void> {
    const group = this._group;
    switch (step.kind) {
      case 'cut':
        group.cutPairs.add(this._formatPair(step.first, step.second));
        break;
      case 'join':
        group.cutPairs.delete(this._formatPair(step.first, step.second));
        break;
      case 'cut-store':
        group.storeAccess.set(this._getId(step.host), 'silent');
        break;
      case 'old-store':
        group.holdOldStore(this._getId(step.host));
        break;
      case 'join-store':
        group.storeAccess.delete(this._getId(step.host));
        break;
      case 'isolate':
      case 'only-reader':
        for (let index = 0; index < this._hostCount; index += 1) {
          if (index === step.host % this._hostCount) continue;
          if (step.kind === 'isolate') group.cutPairs.add(this._formatPair(index, step.host));
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
        if (!group.hosts.has(this._getId(step.host))) this._start(step.host);
        break;
    }
  }

  public async advance(duration: Millis): Promise<void> {
    for (let passed = 0; passed < duration; passed += CHECK_MS) {
      this._trackReach();
      await this._group.clock.advance(CHECK_MS);
      this._checkRevisions();
    }
  }

  /** Ends all faults but stopped hosts; after some time every host must know the truth. */
  public async finish(): Promise<void> {
    const group = this._group;
    group.cutPairs.clear();
    group.storeAccess.clear();
    group.isStoreDown = false;
    await this.advance(SETTLE_MS);
    for (const { board, id } of group.hosts.values()) {
      for (const host of board.hosts.list()) {
        // A lost message may raise a suspicion at any time; it must not last until the host counts as gone.
        const isRight = group.hosts.has(host.id) ? host.state !== 'gone' : host.state === 'gone';
        if (!isRight) this.failures.push(`${id} holds ${host.id} for ${host.state}`);
      }
    }
    group.dispose();
  }

  private async _applyEdit(): Promise<void> {
    if (this._group.isStoreDown) return;
    this._edits += 1;
    const revision = await this._group.applyDocument(buildDocument(this._edits));
    this._accepted.push({ revision, at: this._group.clock.now() });
  }

  private _start(index: number): void {
    const id = this._getId(index);
    this._revisions.delete(id);
    this._group.startHost(id, ZONES[index % ZONES.length]!);
  }

  private _chooseDelivery(): IDelivery {
    const draw = this._random();
    const delayMs = draw < 0.05 ? 600 * this._random() : 5 * this._random();
    const repeat = this._random() < 0.05 ? { repeatMs: 3000 * this._random() } : {};
    const kind = draw > 0.99 ? 'lose-reply' : draw > 0.98 ? 'lose-request' : 'deliver';
    return { kind, delayMs, ...repeat };
  }

  private _trackReach(): void {
    const ids = Array.from({ length: this._hostCount }, (_, index) => this._getId(index));
    for (const id of ids) {
      const isRunning = this._group.hosts.has(id);
      this._trackSince(id, isRunning && this._group.isStoreReachable(id));
      for (const other of ids) {
        const isJoined = isRunning && this._group.hosts.has(other) && this._group.isConnected(id, other);
        if (id < other) this._trackSince(formatPair(id, other), isJoined);
      }
    }
  }

  private _trackSince(key: string, holds: boolean): void {
    if (!holds) this._since.delete(key);
    else if (!this._since.has(key)) this._since.set(key, this._group.clock.now());
  }

  private _checkRevisions(): void {
    const now = this._group.clock.now();
    for (const { id } of this._group.hosts.values()) {
      const { revision } = this._group.describe(id);
      const last = this._revisions.get(id) ?? 0;
      if (revision < last) this.failures.push(`${id} went back from ${last} to ${revision} at ${now}`);
      this._revisions.set(id, revision);
      const due = this._accepted.findLast(({ at }) => this._isDue(id, at, now));
      if (due && revision < due.revision) {
        this.failures.push(`${id} has ${revision} at ${now}, ${due.revision} was accepted at ${due.at}`);
      }
    }
  }

  /** Due 4 s after acceptance where the host has reached the store, or a peer that did, all that time. */
  private _isDue(id: string, at: Millis, now: Millis): boolean {
    const hasLasted = (key: string): boolean =>
      now - Math.max(at, this._since.get(key) ?? Infinity) > IN_FORCE_MS + CHECK_MS;
    if (hasLasted(id)) return true;
    const others = [...this._group.hosts.keys()].filter((other) => other !== id);
    return others.some((other) => hasLasted(other) && hasLasted(formatPair(id, other)));
  }

  private _formatPair(first: number, second: number): string {
    return formatPair(this._getId(first), this._getId(second));
  }

  private _getId(index: number): string {
    return `host-${index % this._hostCount}`;
  }
}

const INDEX = fc.nat({ max: 6 });
const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constantFrom('cut' as const, 'join' as const), first: INDEX, second: INDEX }),
  fc.record({
    kind: fc.constantFrom('cut-store' as const, 'old-store' as const, 'join-store' as const),
    host: INDEX,
  }),
  fc.record({ kind: fc.constantFrom('isolate' as const, 'only-reader' as const), host: INDEX }),
  fc.record({ kind: fc.constantFrom('store-down' as const, 'store-up' as const) }),
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('edit' as const) }) },
  fc.record({ kind: fc.constantFrom('stop' as const, 'start' as const), host: INDEX }),
);
const PLAN = fc.array(fc.tuple(STEP, fc.integer({ min: 0, max: 6000 })), { minLength: 5, maxLength: 25 });

async function checkPlan(
  hostCount: number,
  seed: number,
  plan: readonly [Step, number][],
): Promise<readonly string[]> {
  const run = new Run(hostCount, seed);
  await run.apply({ kind: 'edit' });
  await run.advance(5000);
  for (const [step, pause] of plan) {
    await run.apply(step);
    await run.advance(pause);
  }
  await run.finish();
  return run.failures;
}

async function checkProperty(t: ExecutionContext, hostCount: number, numRuns: number): Promise<void> {
  const property = fc.asyncProperty(fc.nat(), PLAN, async (seed, plan) => {
    const failures = await checkPlan(hostCount, seed, plan);
    if (failures.length > 0) throw new Error(failures.slice(0, 5).join('; '));
  });
  const { counterexample, errorInstance, failed } = await fc.check(property, { seed: SEED, numRuns });
  t.false(failed, `${String(errorInstance)} ${JSON.stringify(counterexample)}`);
}

// Guards against lost or reverted revisions and wrong membership under cuts, restarts and outages.
for (const hostCount of [2, 3, 7]) {
  test(`revisions are in force within 4 s and membership settles on ${hostCount} hosts`, async (t) => {
    await checkProperty(t, hostCount, 30);
  });
}
