import test from 'ava';
import { Result } from 'true-myth';
import { createSeededRandom } from '../../adapters/Random.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { createTestEndpoint, createTestRequest } from '../../testing/EntryFixtures.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { decideReleaseRollout } from '../policy/ReleaseRollouts.js';
import type { RandomSource } from '../Types.js';
import { planAttempt } from '../request/AttemptPlan.js';
import { FleetRolloutController } from './FleetRolloutController.js';
import type { IFactEntry, IFactStore, IRolloutRecord } from './Types.js';

/** Fake store that several hosts share. */
class InMemoryFactStore {
  public readonly acceptedRecords: string[] = [];
  public isDown = false;
  /** Number of writes of rollout records, including rejected ones. */
  public recordWriteCount = 0;
  /** Time after which hosts read a written rollout record. */
  public recordDelayMs = 0;
  private _record: IFactEntry | undefined;
  private _revision = 10;
  private _recordRevision = 0;
  private readonly _boards: Blackboard[] = [];

  constructor(private readonly _clock: ManualClock) {}

  public attachBoard(board: Blackboard): void {
    this._boards.push(board);
  }

  public publishOrder(durationMs: number): void {
    this._revision += 1;
    const fact = { kind: 'rollout-order' as const, order: { service: 'drafts', release: 'v2', durationMs } };
    for (const board of this._boards)
      board.facts.set('order', { key: 'order', revision: this._revision, fact });
  }

  public readonly readRolloutRecord: IFactStore['readRolloutRecord'] = () =>
    Promise.resolve(
      this.isDown ? Result.err({ kind: 'unavailable', message: 'down' }) : Result.ok(this._record),
    );

  public readonly writeRolloutRecord: IFactStore['writeRolloutRecord'] = (record, expected) => {
    this.recordWriteCount += 1;
    if (this.isDown) return Promise.resolve(Result.err({ kind: 'unavailable', message: 'down' }));
    if (expected !== this._recordRevision)
      return Promise.resolve(Result.err({ kind: 'conflict', current: undefined }));
    this._revision += 1;
    this._recordRevision = this._revision;
    this.acceptedRecords.push(`${Math.round(this._clock.now() / 1000)} s ${record.stage}`);
    this._publishRecord(record);
    return Promise.resolve(Result.ok(this._revision));
  };

  public readonly writeRolloutEvidence: IFactStore['writeRolloutEvidence'] = (evidence) => {
    this._revision += 1;
    const key = `evidence/${evidence.host}`;
    const fact = { kind: 'rollout-evidence' as const, evidence: structuredClone(evidence) };
    for (const board of this._boards) board.facts.set(key, { key, revision: this._revision, fact });
    return Promise.resolve(Result.ok(this._revision));
  };

  private _publishRecord(record: IRolloutRecord): void {
    const entry = {
      key: 'record',
      revision: this._revision,
      fact: { kind: 'rollout-record' as const, record },
    };
    this._record = entry;
    this._clock.schedule(this.recordDelayMs, () => {
      for (const board of this._boards) board.facts.set('record', entry);
    });
  }
}

interface ITestHost {
  board: Blackboard;
  /** Ends one attempt on a release with a good or a failed answer. */
  finishAttempt: (release: string, isGood: boolean) => void;
}

function createHost(
  clock: ManualClock,
  factStore: InMemoryFactStore,
  host: string,
  random: RandomSource = () => 0.5,
): ITestHost {
  const board = new Blackboard();
  factStore.attachBoard(board);
  new FleetRolloutController({
    board,
    clock,
    random,
    host,
    store: factStore,
    decideRollout: decideReleaseRollout,
  });
  for (const release of ['v1', 'v2']) {
    board.endpoints.set(
      release,
      createTestEndpoint(release, { release, versions: [`drafts/small@${release}`] }),
    );
  }
  let count = 0;
  const finishAttempt = (release: string, isGood: boolean): void => {
    count += 1;
    const id = `${host}-${count}`;
    const request = createTestRequest(id, { version: `drafts/small@${release}` });
    board.requests.set(id, request);
    const now = clock.now();
    planAttempt(board, {
      id,
      role: 'primary',
      request,
      endpoint: release,
      expectedTokens: 1,
      lengthClass: 'short',
      now,
    });
    const error = { kind: 'failed' as const, ran: 'yes' as const, message: 'bad' };
    board.attempts.update(id, isGood ? { phase: 'finished', endedAt: now } : { phase: 'failed', error });
    board.endpoints.update(release, { inFlight: 0 });
    board.requests.delete(id);
  };
  return { board, finishAttempt };
}

// Guards against a rollout of a good release that misses its deadline, or that moves sessions to the new
// release in the first half of its duration.
test('the rollout of a good release passes through its stages and succeeds in time', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const hosts = ['host-1', 'host-2'].map((self) => createHost(clock, store, self));
  store.publishOrder(24_000);
  for (let second = 0; second < 24; second += 1) {
    for (const host of hosts) for (const release of ['v1', 'v2']) host.finishAttempt(release, true);
    await clock.advance(1000);
  }
  t.snapshot(store.acceptedRecords);
  t.deepEqual(
    hosts.map(({ board }) => board.rollouts.get('drafts')?.stage),
    ['succeeded', 'succeeded'],
  );
});

// Guards against a bad release that is not rolled back because no single host has counted enough bad answers.
test('a bad release is rolled back on the combined evidence of all hosts', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const hosts = ['host-1', 'host-2', 'host-3'].map((self) => createHost(clock, store, self));
  for (const host of hosts) for (let count = 0; count < 30; count += 1) host.finishAttempt('v1', true);
  store.publishOrder(24_000);
  for (let second = 0; second < 4; second += 1) {
    await clock.advance(1000);
    for (const host of hosts) host.finishAttempt('v2', second === 0);
  }
  await clock.advance(1000);
  t.snapshot(store.acceptedRecords);
});

// Guards against judging a release by the answers of those hosts only that have seen a bad one.
test('a good release is not rolled back because hosts without bad answers are missing from the total', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const hosts = Array.from({ length: 90 }, (_, index) => createHost(clock, store, `host-${index}`));
  store.publishOrder(24_000);
  await clock.advance(1000);
  for (const [index, host] of hosts.entries()) {
    for (let count = 0; count < 20; count += 1) host.finishAttempt('v1', count > 0);
    for (let count = 0; count < 5; count += 1) host.finishAttempt('v2', count > 0 || index % 3 > 0);
  }
  await clock.advance(2000);
  t.deepEqual(store.acceptedRecords, ['0 s canary']);
});

// Guards against using a bad release again because the rollback could not be written to the store.
test('a rollback stays in force while the store is down and is recorded once it is back', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const host = createHost(clock, store, 'host-1');
  store.publishOrder(24_000);
  await clock.advance(2000);
  store.isDown = true;
  for (let count = 0; count < 6; count += 1) host.finishAttempt('v2', false);
  await clock.advance(3000);
  const stage = host.board.rollouts.get('drafts')?.stage;
  store.isDown = false;
  await clock.advance(2000);
  t.snapshot({ stage, records: store.acceptedRecords });
});

// Guards against every host writing every stage, because hosts read each other's writes only after a delay.
test('only a few of many hosts write each stage', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  store.recordDelayMs = 1000;
  const random = createSeededRandom(7);
  const hosts = Array.from({ length: 60 }, (_, index) => createHost(clock, store, `host-${index}`, random));
  store.publishOrder(24_000);
  for (let second = 0; second < 24; second += 1) {
    for (const host of hosts) for (const release of ['v1', 'v2']) host.finishAttempt(release, true);
    await clock.advance(1000);
  }
  t.deepEqual(
    store.acceptedRecords.map((record) => record.split(' ').at(-1)),
    ['canary', 'full', 'succeeded'],
  );
  t.true(store.recordWriteCount <= 6, `${store.recordWriteCount} writes`);
});
