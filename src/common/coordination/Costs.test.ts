import test from 'ava';
import { combineTotals } from './LocalJournal.js';

// Guards against totals that differ between hosts because each adds up the partitions in a different order.
test('the total of a client account does not depend on the order of its parts', (t) => {
  const parts = [0.02, 0.0002, 0.02, 0.02].map((cost) => ({
    service: 'deposits',
    account: 'depot-north',
    count: 1,
    promptTokens: 1,
    completionTokens: 1,
    cost,
  }));
  const totals = [parts, [...parts].reverse(), [...parts.slice(2), ...parts.slice(0, 2)]].map(combineTotals);
  t.snapshot(totals.map(([total]) => total?.cost));
});
