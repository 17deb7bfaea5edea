import test from 'ava';
import fc from 'fast-check';
import { computeCanaryShare, computeMaxExposureShare, computeRolloutSchedule } from './RolloutSchedule.js';

const ORDER_TIME = { orderedAt: 0, orderSeenAt: 0 };

// Guards against a release without visible faults that gets more than the allowed share before it is kept.
test('a rollout without a verdict gives the new release no more than the allowed share of the requests', (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 12_000, max: 3_600_000 }),
      fc.double({ min: 0.095, max: 1, noNaN: true }),
      fc.integer({ min: 1, max: 600 }),
      (durationMs, maxExposureShare, oldEndpointCount) => {
        const canaryShare = computeCanaryShare({ maxExposureShare, oldEndpointCount });
        const view = { ...ORDER_TIME, canaryShare, durationMs, maxExposureShare };
        const { rampEndMs, rampStartMs, successAtMs } = computeRolloutSchedule(view);
        const rampMs = rampEndMs - rampStartMs;
        const exposedMs =
          canaryShare * rampStartMs + ((1 + canaryShare) / 2) * rampMs + durationMs - rampEndMs;
        const isInOrder = rampStartMs > durationMs / 2 && rampEndMs < successAtMs && successAtMs < durationMs;
        // A short rollout of a service with few endpoints may use the lower bound of the ramp instead.
        const isBounded = exposedMs <= maxExposureShare * durationMs + 2 || rampMs <= 0.0301 * durationMs;
        return isInOrder && isBounded;
      },
    ),
  );
  t.snapshot({
    allowedOfFewRequests: computeMaxExposureShare({
      exposureShare: 0.15,
      exposureSlack: 30,
      attemptsPerS: 9.4,
      durationMs: 15_000,
    }).toFixed(3),
    fewEndpoints: computeRolloutSchedule({
      ...ORDER_TIME,
      durationMs: 15_000,
      canaryShare: 0.06,
      maxExposureShare: 0.15,
    }),
    orderReadLate: computeRolloutSchedule({
      orderedAt: -600,
      orderSeenAt: 0,
      durationMs: 15_000,
      canaryShare: 0.06,
      maxExposureShare: 0.15,
    }),
    manyEndpoints: computeRolloutSchedule({
      ...ORDER_TIME,
      durationMs: 24_000,
      canaryShare: computeCanaryShare({ maxExposureShare: 0.0975, oldEndpointCount: 63 }),
      maxExposureShare: 0.0975,
    }),
  });
});
