import test from 'ava';
import { ManualClock } from '../../testing/ManualClock.js';
import type { FactChange } from '../fleet/Types.js';
import { NewsLog } from './NewsLog.js';

const TIMES = { completeAt: 0, madeSince: 0 };

function createWrite(key: string, revision: number): FactChange {
  const fact = { kind: 'unreadable' as const, reason: 'test' };
  return { kind: 'put', key, revision, era: 1, fact, encoded: `value of ${revision}` };
}

// Guards against CONFIG: values that were replaced since are passed on to every host that asks, and fill the links.
test('an answer has the last value of each key only, in the order of the writes', (t) => {
  const log = new NewsLog(new ManualClock());
  log.recordList({ era: 1, revision: 10, facts: [] }, TIMES);
  const changes = [createWrite('config', 11), createWrite('crashes', 12), createWrite('endpoint', 13)];
  log.recordChanges(changes, { era: 1, revision: 13 }, TIMES);
  log.recordChanges(
    [
      createWrite('crashes', 14),
      { kind: 'delete', key: 'endpoint', revision: 15 },
      createWrite('crashes', 16),
    ],
    { era: 1, revision: 16 },
    TIMES,
  );
  t.snapshot({
    'from the list': log.buildReply({ era: 1, revision: 10 }, undefined),
    'from between': log.buildReply({ era: 1, revision: 14 }, undefined),
  });
});

// Guards against a host that misses changes because the log no longer has them.
test('a host further behind than the log gets all facts', (t) => {
  const log = new NewsLog(new ManualClock());
  log.recordList({ era: 1, revision: 0, facts: [] }, TIMES);
  for (let revision = 1; revision <= 2001; revision += 1)
    log.recordChanges([createWrite(`key-${revision}`, revision)], { era: 1, revision }, TIMES);
  const replies = [0, 1, 2000].map((revision) => log.buildReply({ era: 1, revision }, undefined));
  t.snapshot(
    replies.map((reply) => [reply.kind, reply.kind === 'changes' ? reply.changes.length : undefined]),
  );
});
