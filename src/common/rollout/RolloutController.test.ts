import test from 'ava';
import fc from 'fast-check';
import { Result } from 'true-myth';
import {
  buildEditorOptions,
  configCodec,
  decodeIndex,
  CONFIG_INDEX_KEY,
} from '../../adapters/ConfigStore.js';
import {
  decodeRolloutReport,
  readRolloutProgress,
  writeRolloutProgress,
} from '../../adapters/RolloutStore.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { MemoryStore, type StoreFault } from '../../testing/MemoryStore.js';
import { buildTestDocument, buildTestService, buildTestRolloutState } from '../../testing/VersionFixtures.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { IRolloutState } from '../config/Types.js';
import { decideBySequentialTest } from '../policy/Rollouts.js';
import { formatRolloutKind, listRolloutCounts, updateQuality } from './Quality.js';
import { RolloutController } from './RolloutController.js';
import { createWriteRolloutState } from './RolloutIndex.js';
import type { QualityCounts } from './Types.js';

const SEED = Number(process.env.FAST_CHECK_SEED ?? 20261204);
const STEP_SETTINGS = 'rollout_step_s = 10\nrollout_step_ratings = 20';

interface IHost {
  board: Blackboard;
  lease: { isHeld: boolean; token: number };
  controller: RolloutController;
}

/**
 * Several hosts that share one store. After each round of decisions, the index is copied to the `services`
 * panel of every host, as the configuration applier does in production.
 */
class Fleet {
  public readonly clock = new ManualClock();
  public readonly faults: StoreFault[] = [];
  public readonly store = new MemoryStore({
    clock: this.clock,
    chooseFault: (operation) => (operation === 'put' ? (this.faults.shift() ?? 'none') : 'none'),
  });
  public readonly hosts = new Map<string, IHost>();
  private _attempt = 1;

  public async open(names: readonly string[]): Promise<void> {
    const index = JSON.stringify({ services: { deposits: 1 }, rollouts: {} });
    await this.store.put(CONFIG_INDEX_KEY, index, { expectedVersion: 0 });
    for (const name of names) this._addHost(name);
    for (const { board } of this.hosts.values()) {
      for (const id of names) {
        board.hosts.set(id, { id, address: '', zone: 'a', state: 'alive', incarnation: 1, changedAt: 0 });
      }
    }
    this.applyIndex();
  }

  /** Gives the lease and its token to one host; a name that is not a host leaves the lease unheld. */
  public assignLease(owner: string, token: number): void {
    for (const [name, host] of this.hosts) host.lease.isHeld = name === owner;
    const lease = this.hosts.get(owner)?.lease;
    if (lease) lease.token = token;
  }

  /** Adds counts of a version to the comparison of `large-2` at a host. */
  public count(host: string, version: string, counts: Partial<QualityCounts>): void {
    const board = this.hosts.get(host)?.board;
    if (!board) return;
    const kind = formatRolloutKind('large-2');
    updateQuality(board, { service: 'deposits', kind, version }, (entry) =>
      Object.fromEntries(
        Object.entries(counts).map(([key, value]) => [key, entry[key as keyof QualityCounts] + value]),
      ),
    );
  }

  /** Runs every controller once per second, and copies the index to the panels after each second. */
  public async runSeconds(seconds: number): Promise<void> {
    for (let second = 0; second < seconds; second += 1) {
      await this.clock.advance(1000);
      for (const { controller } of this.hosts.values()) await controller.run();
      this.applyIndex();
    }
  }

  public setAttempt(attempt: number): void {
    this._attempt = attempt;
    this.applyIndex();
  }

  public readState(): IRolloutState | undefined {
    const found = this.store.entries.get(CONFIG_INDEX_KEY);
    return found && decodeIndex(found.value).rollouts.deposits?.['large-2'];
  }

  public formatState(): string {
    const state = this.readState();
    return state ? `${state.verdict} ${state.share}, ${state.reason}, token ${state.fencingToken}` : 'none';
  }

  public applyIndex(): void {
    const state = this.readState();
    const document = buildTestDocument({ 'large-1': 'stable', 'large-2': 'rolling-out' }, STEP_SETTINGS);
    const version = { ...document.versions['large-2']!, rolloutAttempt: this._attempt };
    const versions = { ...document.versions, 'large-2': version };
    const service = buildTestService({ ...document, versions }, state ? { 'large-2': state } : {});
    for (const { board } of this.hosts.values()) board.services.set('deposits', service);
  }

  private _addHost(name: string): void {
    const board = new Blackboard();
    const lease = { isHeld: false, token: 0 };
    const { store } = this;
    const { encodeIndex } = buildEditorOptions(store);
    const controller = new RolloutController({
      board,
      clock: this.clock,
      host: name,
      hostRunId: `run-${name}`,
      findLease: () => ({ isHeld: () => lease.isHeld, fencingToken: () => lease.token }),
      sendToPeer: (host) => {
        const peer = this.hosts.get(host);
        if (!peer) return Promise.resolve(Result.err({ kind: 'unreachable', message: host }));
        const counts = listRolloutCounts(peer.board, 'deposits');
        return Promise.resolve(Result.ok({ run: `run-${host}`, counts }));
      },
      decodeReport: decodeRolloutReport,
      decideRollout: decideBySequentialTest,
      writeState: createWriteRolloutState({ store, codec: configCodec, encodeIndex }),
      readProgress: (service, version) => readRolloutProgress(store, service, version),
      writeProgress: (service, version, progress) =>
        writeRolloutProgress(store, service, version, { fencingToken: lease.token, progress }),
    });
    this.hosts.set(name, { board, lease, controller });
  }
}

const GOOD = { good: 9, bad: 1, finished: 10 };
const BAD = { good: 3, bad: 7, finished: 10 };

/** Counts outcomes of both versions at every host and runs the controllers, second by second. */
async function simulateTraffic(
  fleet: Fleet,
  seconds: number,
  newVersion: Partial<QualityCounts>,
): Promise<string> {
  for (let second = 0; second < seconds; second += 1) {
    for (const host of fleet.hosts.keys()) {
      fleet.count(host, 'large-1', GOOD);
      fleet.count(host, 'large-2', newVersion);
    }
    await fleet.runSeconds(1);
  }
  return fleet.formatState();
}

async function openFleet(...names: string[]): Promise<Fleet> {
  const fleet = new Fleet();
  await fleet.open(names);
  fleet.assignLease(names[0] ?? '', 1);
  return fleet;
}

test('a good version advances step by step and passes; without ratings its share does not change', async (t) => {
  const fleet = await openFleet('host-1', 'host-2');
  const withoutRatings = await simulateTraffic(fleet, 30, { finished: 10 });
  const states = [];
  for (let step = 0; step < 6; step += 1) states.push(await simulateTraffic(fleet, 11, GOOD));
  t.snapshot({ withoutRatings, states });
});

// Guards against a bad version that keeps its share: bad ratings must halt it, and so must errors, slow
// attempts or rejected drafts while no rating arrives.
test('a bad version is halted and stays halted until its attempt is raised', async (t) => {
  const results: Record<string, string> = {};
  const faults = {
    ratings: BAD,
    errors: { errors: 5, finished: 5 },
    latency: { finished: 10, slow: 8 },
    drafts: { draftsAccepted: 1, draftsRejected: 9, finished: 10 },
  };
  for (const [name, counts] of Object.entries(faults)) {
    const fleet = await openFleet('host-1', 'host-2');
    for (const host of fleet.hosts.keys()) {
      fleet.count(host, 'large-1', { draftsAccepted: 1000, draftsRejected: 10 });
    }
    await simulateTraffic(fleet, 3, GOOD);
    for (let second = 0; second < 20; second += 1) {
      fleet.count('host-2', 'large-1', { draftsAccepted: 9, draftsRejected: 1 });
      await simulateTraffic(fleet, 1, counts);
    }
    results[name] = fleet.formatState();
  }
  const fleet = await openFleet('host-1');
  await simulateTraffic(fleet, 20, BAD);
  results.stillHalted = await simulateTraffic(fleet, 60, GOOD);
  fleet.setAttempt(2);
  results.nextAttempt = await simulateTraffic(fleet, 5, GOOD);
  t.snapshot(results);
});

// Guards against a rollout that restarts or loses its evidence when another host becomes the owner, and against
// writes of an owner that was paused and has been replaced.
test('the next owner continues the rollout, and the paused owner writes nothing', async (t) => {
  const fleet = await openFleet('host-1', 'host-2');
  const before = await simulateTraffic(fleet, 24, GOOD);
  fleet.assignLease('host-2', 2);
  const after = await simulateTraffic(fleet, 11, GOOD);
  const writeState = createWriteRolloutState({ ...buildEditorOptions(fleet.store) });
  const stale = buildTestRolloutState('large-2', { share: 0.05 });
  const current = fleet.readState();
  t.snapshot({
    before,
    after,
    lateWriter: await writeState('deposits', stale, { ...stale, share: 0.5 }),
    lowerToken: await writeState('deposits', current, {
      ...buildTestRolloutState('large-2'),
      fencingToken: 1,
      share: 1,
    }),
    noLease: await (async () => {
      fleet.assignLease('none', 3);
      return simulateTraffic(fleet, 30, GOOD);
    })(),
  });
});

test('lost replies, lost requests and an unavailable store neither skip nor repeat a step', async (t) => {
  const fleet = await openFleet('host-1');
  fleet.faults.push('lost-reply');
  const started = await simulateTraffic(fleet, 1, GOOD);
  fleet.faults.push('lost-request');
  const again = await simulateTraffic(fleet, 12, GOOD);
  fleet.faults.push(...Array.from({ length: 30 }, (): StoreFault => 'unavailable'));
  const down = await simulateTraffic(fleet, 12, GOOD);
  fleet.faults.length = 0;
  const back = await simulateTraffic(fleet, 12, GOOD);
  t.snapshot({ started, again, down, back });
});

// Guards the rule that a halt ends only when an edit of the document raises the attempt, whatever changes of
// owner, store faults and outcomes occur.
test('a halted rollout never resumes within the same attempt', async (t) => {
  const event = fc.record({
    owner: fc.constantFrom('host-1', 'host-2', 'none'),
    bad: fc.integer({ min: 0, max: 10 }),
    fault: fc.constantFrom<StoreFault>('none', 'lost-reply', 'lost-request', 'unavailable'),
    raisesAttempt: fc.boolean(),
  });
  const property = fc.asyncProperty(fc.array(event, { minLength: 5, maxLength: 25 }), async (events) => {
    const fleet = await openFleet('host-1', 'host-2');
    let last: IRolloutState | undefined;
    let attempt = 1;
    for (const [index, { bad, fault, owner, raisesAttempt }] of events.entries()) {
      fleet.assignLease(owner, index + 1);
      fleet.faults.push(fault);
      if (raisesAttempt && last?.verdict === 'halted' && index % 5 === 0) fleet.setAttempt((attempt += 1));
      await simulateTraffic(fleet, 3, { good: 10 - bad, bad, finished: 10 });
      const state = fleet.readState();
      const isHalted = last?.verdict === 'halted' && last.attempt === state?.attempt;
      if (isHalted && state.verdict !== 'halted') return false;
      if (last && (!state || state.attempt < last.attempt)) return false;
      last = state;
    }
    return true;
  });
  await t.notThrowsAsync(() => fc.assert(property, { seed: SEED, numRuns: 40 }));
});
