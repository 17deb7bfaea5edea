import test from 'ava';
import { computeShareByDemand } from './RateShares.js';

test('shares of an account limit follow demand and leave out the rate that other hosts may still use', (t) => {
  const compute = (demands: readonly number[], outstanding: readonly number[]): number => {
    const holders = demands.map((demand, index) => ({
      host: `h-${index}`,
      demand,
      outstandingRate: outstanding[index] ?? 0,
    }));
    return computeShareByDemand({ limit: 100, host: 'h-0', holders, liveHostCount: 4 });
  };
  t.snapshot({
    alone: compute([10], []),
    spareIsSplit: compute([10, 20], [0, 20]),
    byDemand: compute([300, 100], [0, 20]),
    othersStillHold: compute([300, 100], [0, 80]),
    nothingLeft: compute([300, 100], [0, 95]),
  });
});
