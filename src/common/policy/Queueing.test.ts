import test from 'ava';
import { createTestRequest } from '../../testing/EntryFixtures.js';
import type { IRequestEntry } from '../blackboard/Types.js';
import type { IQueuedRequest } from '../request/Types.js';
import {
  classifyLength,
  compareByFairShare,
  estimateTokens,
  rankByTargetStart,
  refuseIfDeadlineUnreachable,
} from './Queueing.js';

function createItem(patch: Partial<IQueuedRequest>, request: Partial<IRequestEntry> = {}): IQueuedRequest {
  const item = {
    request: createTestRequest('r', request),
    lengthClass: 'short' as const,
    expectedTokens: 20,
    expectedMs: 300,
    queuedAt: 0,
    startTag: 0,
    ...patch,
  };
  return { ...item, rank: rankByTargetStart(item) };
}

test('the rank within an account depends on priority, expected length, deadline and arrival', (t) => {
  t.snapshot({
    normal: createItem({}).rank,
    high: createItem({}, { priority: 'high' }).rank,
    low: createItem({}, { priority: 'low' }).rank,
    long: createItem({ expectedMs: 9000 }).rank,
    urgent: createItem({}, { deadlineAt: 800 }).rank,
    later: createItem({ queuedAt: 4000 }).rank,
  });
});

test('first requests of two accounts: fair share decides within a priority, and waiting raises the priority', (t) => {
  const normal = createItem({ startTag: 5 });
  const compare = (second: IQueuedRequest, now: number): number =>
    Math.sign(compareByFairShare(normal, second, now));
  t.snapshot({
    'account with less use first': compare(createItem({ startTag: 3 }), 100),
    'high priority first': compare(createItem({ startTag: 9 }, { priority: 'high' }), 100),
    'low priority after': compare(createItem({ startTag: 3 }, { priority: 'low' }), 100),
    'low priority is not starved': compare(
      createItem({ startTag: 3, queuedAt: -10_000 }, { priority: 'low' }),
      100,
    ),
  });
});

test('a request that cannot meet its deadline is refused early', (t) => {
  const decide = (waitMs: number): unknown =>
    refuseIfDeadlineUnreachable({ item: createItem({}), waitMs, now: 0 });
  const long = createItem({ expectedMs: 60_000 });
  t.deepEqual(
    refuseIfDeadlineUnreachable({ item: long, waitMs: 0, now: 0 }),
    { kind: 'wait' },
    'refused because of its expected length alone',
  );
  t.snapshot([0, 9700, 9701, 60_000].map(decide));
});

test('the completion length is estimated from maxTokens and the share of it that the account usually uses', (t) => {
  t.snapshot({
    unknownAccount: estimateTokens(100, undefined, undefined),
    unknownAccountAtKnownVersion: estimateTokens(4000, undefined, 40),
    generousLimit: estimateTokens(2000, 0.02, 40),
    exactLimit: estimateTokens(2000, 0.9, 40),
    classes: [10, 320, 321].map((tokens) => classifyLength(tokens, 40)),
    unknownVersion: classifyLength(2000, undefined),
  });
});
