import test from 'ava';
import { DEFAULT_PLAN, planRequests } from './Schedule.js';

// Guards against requests that depend on anything but the plan, such as an unseeded random source. Two
// routing policies would then be compared under different requests.
test('planning a load twice with the same seed gives the same requests', (t) => {
  const plan = {
    ...DEFAULT_PLAN,
    seed: 7,
    steps: [
      { requestsPerSecond: 4, durationMs: 1000 },
      { requestsPerSecond: 20, durationMs: 300 },
    ],
    kindWeights: { stream: 2, whole: 1, plain: 1 },
    longShare: 0.2,
    sessions: 3,
    accounts: 2,
  };
  const requests = planRequests(plan);
  t.snapshot(requests.map((request) => ({ ...request, atMs: Math.round(request.atMs * 10) / 10 })));
  t.deepEqual(planRequests(plan), requests);
});

// Guards against a step whose rate is applied wrongly, so that a peak would be lower or higher than planned.
test('the number of arrivals in each step matches the rate of the step', (t) => {
  const steps = [
    { requestsPerSecond: 50, durationMs: 20_000 },
    { requestsPerSecond: 250, durationMs: 20_000 },
  ];
  const requests = planRequests({ ...DEFAULT_PLAN, steps });
  const firstStepCount = requests.filter(({ atMs }) => atMs < 20_000).length;
  // Tolerates four standard deviations of the Poisson distributed counts, whose means are 1,000 and 5,000.
  t.true(Math.abs(firstStepCount - 1000) < 4 * Math.sqrt(1000), String(firstStepCount));
  t.true(Math.abs(requests.length - firstStepCount - 5000) < 4 * Math.sqrt(5000), String(requests.length));
});
