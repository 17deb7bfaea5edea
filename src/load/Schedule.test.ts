import test from 'ava';
import { DEFAULT_PLAN, planRequests } from './Schedule.js';

test('the same seed gives the same load, so that baselines meet the same requests', (t) => {
  const plan = {
    ...DEFAULT_PLAN,
    seed: 7,
    steps: [
      { requestsPerSecond: 4, durationMs: 1000 },
      { requestsPerSecond: 20, durationMs: 300 },
    ],
    mix: { stream: 2, whole: 1, plain: 1 },
    longShare: 0.2,
    sessions: 3,
    accounts: 2,
  };
  const requests = planRequests(plan);
  t.snapshot(requests.map((request) => ({ ...request, atMs: Math.round(request.atMs * 10) / 10 })));
  t.deepEqual(planRequests(plan), requests);
});

test('arrivals keep to the rate of each step, so that a crest has its stated height', (t) => {
  const steps = [
    { requestsPerSecond: 50, durationMs: 20_000 },
    { requestsPerSecond: 250, durationMs: 20_000 },
  ];
  const requests = planRequests({ ...DEFAULT_PLAN, steps });
  const before = requests.filter(({ atMs }) => atMs < 20_000).length;
  // Four standard deviations of the Poisson counts 1,000 and 5,000.
  t.true(Math.abs(before - 1000) < 4 * Math.sqrt(1000), String(before));
  t.true(Math.abs(requests.length - before - 5000) < 4 * Math.sqrt(5000), String(requests.length));
});
