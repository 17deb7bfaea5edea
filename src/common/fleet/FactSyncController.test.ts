import test from 'ava';
import { Result } from 'true-myth';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { FactSyncController } from './FactSyncController.js';
import type { FactChange, IFactStore } from './Types.js';

const FACT = { kind: 'unreadable' as const, reason: 'test' };

/** Creates a controller on a store to which an endpoint is added every 50 ms between the two given times. */
function createFixture(firstChangeAt: number, lastChangeAt: number) {
  const clock = new ManualClock();
  const board = new Blackboard();
  let watchCount = 0;
  let isCompacted = false;
  const listTimes: number[] = [];
  const listChanges = (after: number): FactChange[] => {
    const changes: FactChange[] = [];
    for (
      let at = Math.max(firstChangeAt, (after + 1) * 50);
      at <= Math.min(lastChangeAt, clock.now());
      at += 50
    ) {
      changes.push({ kind: 'put', key: `e-${at / 50}`, revision: at / 50, fact: FACT });
    }
    return changes;
  };
  const store: Pick<IFactStore, 'listFacts' | 'watchFacts'> = {
    listFacts: () => {
      listTimes.push(clock.now());
      return Promise.resolve(Result.ok({ facts: [], revision: Math.floor(clock.now() / 50) }));
    },
    watchFacts: async (after, waitMs) => {
      watchCount += 1;
      if (isCompacted) {
        isCompacted = false;
        return Result.ok({ kind: 'compacted' as const });
      }
      const end = clock.now() + waitMs;
      while (listChanges(after).length === 0 && clock.now() < end) {
        await new Promise<void>((resolve) => void clock.schedule(10, resolve));
      }
      const changes = listChanges(after);
      return Result.ok({ kind: 'changes' as const, changes, revision: changes.at(-1)?.revision ?? after });
    },
  };
  const controller = new FactSyncController({ board, clock, random: () => 0.5, store });
  void controller.run();
  const compactHistory = (): void => {
    isCompacted = true;
  };
  return {
    board,
    clock,
    compactHistory,
    feed: controller,
    listTimes,
    countWatches: () => watchCount,
  };
}

// Guards against one store call per host for every endpoint that is added or removed.
test('many changes in a short time take few store calls, and each is read in time', async (t) => {
  const { board, clock, countWatches, feed } = createFixture(1000, 5000);
  await clock.advance(1000);
  const idleCalls = countWatches();
  await clock.advance(4000);
  const callsDuringChanges = countWatches() - idleCalls;
  t.true(callsDuringChanges <= 8, `${callsDuringChanges} calls for 81 changes in 4 s`);
  // Without limits in force, a change must take effect within 2 s.
  const lastRevision = [...board.facts.list()].at(-1)?.revision ?? 0;
  t.true(5000 - lastRevision * 50 <= 1000, `the last change seen is ${5000 - lastRevision * 50} ms old`);
  await clock.advance(1000);
  t.is(board.facts.size, 81);
  feed.dispose();
});

// Guards against a host that pauses before and after it lists the facts, because it takes a watch that
// reports a compacted history for one that brought changes.
test('the facts are listed at once when the store has compacted its history', async (t) => {
  const { clock, compactHistory, feed, listTimes } = createFixture(50, 50);
  await clock.advance(100);
  compactHistory();
  // The controller pauses once, after the change. The next watch then reports the compaction.
  await clock.advance(700);
  t.is(listTimes.length, 2);
  feed.dispose();
});

// Guards against calling a store without changes more often than the detection of silent connections
// requires.
test('a store without changes is called once per watch timeout', async (t) => {
  const { clock, countWatches, feed, board } = createFixture(1, 0);
  const limits = {
    maxRetryShare: 0.9,
    sessionRetentionMs: 5000,
    maxExposureShare: 0.1,
    exposureSlack: 0,
    shutdownTimeoutMs: 8000,
  };
  board.limits.set('in-force', { ...limits, storeContactMs: 4000, maxApplyDelayMs: 3000 });
  await clock.advance(16_000);
  t.true(countWatches() <= 6, `${countWatches()} calls in 16 s`);
  feed.dispose();
});
