import test from 'ava';
import { createComputeAttemptInterval } from './RateLimitShares.js';

const compute = createComputeAttemptInterval((endpoint, host) => `${endpoint} ${host}`);

/** Intervals of all hosts of a fleet, with the number of hosts that have each. */
function countIntervals(hostCount: number, requestsPerS: number): string {
  const hosts = Array.from({ length: hostCount }, (_, index) => `h-${index}`);
  const counts = new Map<number, number>();
  for (const host of hosts) {
    const interval = Math.round(compute({ endpoint: 'e-1', host, hosts, requestsPerS }));
    counts.set(interval, (counts.get(interval) ?? 0) + 1);
  }
  return [...counts].map(([interval, count]) => `${count} hosts each ${interval} ms`).join(', ');
}

test('the hosts that share a limit send together no more than it, whatever their number', (t) => {
  t.snapshot({
    'one host, 3.7 a second': countIntervals(1, 3.7),
    '7 hosts, 3.7 a second': countIntervals(7, 3.7),
    '7 hosts, 0.3 a second': countIntervals(7, 0.3),
    '61 hosts, 2 a second': countIntervals(61, 2),
    '340 hosts, 40 a second': countIntervals(340, 40),
  });
});

test('a host that is not announced yet counts itself', (t) => {
  t.is(compute({ endpoint: 'e-1', host: 'h-9', hosts: ['h-1'], requestsPerS: 2 }), 1000);
});
