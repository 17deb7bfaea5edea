import test from 'ava';
import { Result } from 'true-myth';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { StoreError } from '../coordination/Types.js';
import { FactOwnerController, type OwnFactWriters } from './FactOwnerController.js';
import type { FleetFact, ISessionHolds } from './Types.js';

const HOLDS: ISessionHolds = { service: 'drafts', host: 'host-1', order: 7, sessions: ['s-1'] };
const CONNECTION = {
  state: 'connected' as const,
  changedAt: 0,
  revision: 1,
  losses: 0,
  changesSince: 0,
  era: 1,
};

/** Creates an owner on a store of which the first `failures` writes fail. */
function createFixture(failures: number) {
  const clock = new ManualClock();
  const board = new Blackboard();
  board.storeConnection.set('store', CONNECTION);
  const writes: string[] = [];
  const write = (name: string): Promise<Result<number, StoreError>> => {
    writes.push(`${clock.now()} ms ${name}`);
    const isLost = writes.length <= failures;
    return Promise.resolve(isLost ? Result.err({ kind: 'unavailable', message: 'down' }) : Result.ok(9));
  };
  const store: OwnFactWriters = {
    writeCrashReports: (_host, reports) => write(`reports ${reports.length}`),
    writeCrashEvidence: () => write('evidence'),
    writeHostPresence: ({ announcedAt }) => write(`presence ${announcedAt}`),
    writeRolloutEvidence: () => write('rollout evidence'),
    writeReleaseBaseline: () => write('baseline'),
    writeSessionHolds: ({ sessions }) => write(`holds ${sessions.join('+')}`),
  };
  const { writers } = new FactOwnerController({ board, clock, random: () => 1, host: 'host-1', store });
  const readFact = (key: string, era: number, fact: FleetFact): void => {
    board.facts.set(key, { key, revision: 1, era, fact });
  };
  return { board, clock, readFact, writers, writes };
}

// Guards against PINNED: the sessions that a host holds on the old release are lost with one write.
test('a write that fails is repeated until the store accepts it, with the latest content', async (t) => {
  const { clock, writers, writes } = createFixture(2);
  const first = writers.writeSessionHolds(HOLDS);
  await clock.advance(100);
  const second = writers.writeSessionHolds({ ...HOLDS, sessions: ['s-1', 's-2'] });
  await clock.advance(3000);
  t.snapshot(writes);
  t.true((await first).isOk && (await second).isOk);
});

// Guards against state of hosts that is gone for good, because a store was restored from a copy made before the write.
test('what the copy of a restored store lacks is written again by its host, and nothing else', async (t) => {
  const { board, clock, readFact, writers, writes } = createFixture(0);
  await writers.writeSessionHolds(HOLDS);
  await writers.writeHostPresence({ host: 'host-1', announcedAt: 5 });
  await writers.writeCrashReports('host-1', [{ fingerprint: 'f', crash: 'c' }]);
  writes.length = 0;
  readFact('a', 2, { kind: 'host-presence', presence: { announcedAt: 5, host: 'host-1' } });
  // Kept by this host's copy of the store, which has lost it.
  readFact('b', 1, { kind: 'session-holds', holds: HOLDS });
  board.storeConnection.update('store', { era: 2 });
  await clock.advance(1000);
  t.snapshot(writes);
});

// Guards against an outdated fact that stays, because a write without a reply took effect after a later one.
test('a fact is written again after an earlier write has replaced it', async (t) => {
  const { clock, readFact, writers, writes } = createFixture(0);
  await writers.writeSessionHolds(HOLDS);
  await writers.writeSessionHolds({ ...HOLDS, sessions: ['s-1', 's-2'] });
  writes.length = 0;
  readFact('a', 1, { kind: 'session-holds', holds: HOLDS });
  await clock.advance(5000);
  t.snapshot(writes);
});
