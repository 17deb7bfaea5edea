import test from 'ava';
import { Blackboard } from '../blackboard/Blackboard.js';
import { countRating, updateQuality } from './Quality.js';

// Callers choose the names of kinds, so the panel must not grow with every new name.
test('the quality panel is bounded and keeps the counts of rollouts', (t) => {
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

// Ratings of long ago must not keep a version that has changed from being judged anew.
test('old ratings fade', (t) => {
  const board = new Blackboard();
  const place = { service: 'deposits', kind: 'tag-note', version: 'small-1' };
  for (let index = 0; index < 6000; index += 1) {
    updateQuality(board, place, (entry) => countRating(entry, index < 4000 ? 'good' : 'bad', false));
  }
  const { good = 0, bad = 0 } = board.quality.get('deposits|tag-note|small-1') ?? {};
  t.true(good + bad <= 2001);
  t.true(bad / (good + bad) > 0.7);
});
