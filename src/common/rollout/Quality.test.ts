import test from 'ava';
import { Blackboard } from '../blackboard/Blackboard.js';
import { countRating, updateQuality } from './Quality.js';

// Guards against unbounded growth: callers choose the names of request kinds, and each new one adds an entry.
test('the quality panel deletes its oldest entries beyond the limit, but keeps those of rollouts', (t) => {
  const board = new Blackboard();
  const count = (kind: string): void => {
    updateQuality(board, { service: 'deposits', kind, version: 'small-1' }, (entry) =>
      countRating(entry, 'good', false),
    );
  };
  count('rollout:small-2');
  for (let index = 0; index < 10_100; index += 1) count(`kind-${index}`);
  t.is(board.quality.size, 10_000);
  t.true(board.quality.has('deposits|rollout:small-2|small-1'));
  t.true(board.quality.has('deposits|kind-10099|small-1'));
  t.false(board.quality.has('deposits|kind-0|small-1'));
});

// Guards against old ratings that outweigh recent ones, which would hide a change in a version's quality.
test('recent ratings outweigh older ones when there are many', (t) => {
  const board = new Blackboard();
  const identity = { service: 'deposits', kind: 'tag-note', version: 'small-1' };
  for (let index = 0; index < 6000; index += 1) {
    updateQuality(board, identity, (entry) => countRating(entry, index < 4000 ? 'good' : 'bad', false));
  }
  const { good = 0, bad = 0 } = board.quality.get('deposits|tag-note|small-1') ?? {};
  t.true(good + bad <= 2001);
  t.true(bad / (good + bad) > 0.7);
});
