import test from 'ava';
import { Result } from 'true-myth';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { FactFeedController } from './FactFeedController.js';
import type { FactChange, IFactStore } from './Types.js';

const FACT = { kind: 'unreadable' as const, reason: 'test' };

/** A store in which an endpoint comes every 50 ms from `from` to `to`. */
function createRig(from: number, to: number) {
  const clock = new ManualClock();
  const board = new Blackboard();
  let watches = 0;
  let isCompacted = false;
  const lists: number[] = [];
  const listChanges = (after: number): FactChange[] => {
    const changes: FactChange[] = [];
    for (let at = Math.max(from, (after + 1) * 50); at <= Math.min(to, clock.now()); at += 50) {
      changes.push({ kind: 'put', key: `e-${at / 50}`, revision: at / 50, fact: FACT });
    }
    return changes;
  };
  const store: Pick<IFactStore, 'listFacts' | 'watchFacts'> = {
    listFacts: () => {
      lists.push(clock.now());
      return Promise.resolve(Result.ok({ facts: [], revision: Math.floor(clock.now() / 50) }));
    },
    watchFacts: async (after, waitMs) => {
      watches += 1;
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
  const feed = new FactFeedController({ board, clock, random: () => 0.5, store });
  void feed.run();
  const dropHistory = (): void => {
    isCompacted = true;
  };
  return { board, clock, dropHistory, feed, lists, countWatches: () => watches };
}

// Guards against a call of every host for every endpoint that comes or goes.
test('many changes in a short time cost few calls, and each is seen in time', async (t) => {
  const { board, clock, countWatches, feed } = createRig(1000, 5000);
  await clock.advance(1000);
  const calm = countWatches();
  await clock.advance(4000);
  const busy = countWatches() - calm;
  t.true(busy <= 8, `${busy} calls for 81 changes in 4 s`);
  // Changes take effect within 2 s where no limits say otherwise.
  const seen = [...board.facts.list()].at(-1)?.revision ?? 0;
  t.true(5000 - seen * 50 <= 1000, `the last change seen is ${5000 - seen * 50} ms old`);
  await clock.advance(1000);
  t.is(board.facts.size, 81);
  feed.dispose();
});

// Guards against a host that waits twice before it reads what the store has forgotten to tell.
test('a list follows at once when the store has dropped its history', async (t) => {
  const { clock, dropHistory, feed, lists } = createRig(50, 50);
  await clock.advance(100);
  dropHistory();
  // One pause after the change, then the watch that tells of it.
  await clock.advance(700);
  t.is(lists.length, 2);
  feed.dispose();
});

// Guards against a calm store that is asked more often than its connection has to be tested.
test('a calm store is asked once in the time of a watch', async (t) => {
  const { clock, countWatches, feed, board } = createRig(1, 0);
  const limits = { retryShare: 0.9, sessionMs: 5000, exposureShare: 0.1, stopMs: 8000 };
  board.limits.set('in-force', { ...limits, contactMs: 4000, applyMs: 3000 });
  await clock.advance(16_000);
  t.true(countWatches() <= 6, `${countWatches()} calls in 16 s`);
  feed.dispose();
});
