import test from 'ava';
import type { IReleaseVerdict, RolloutStage } from '../fleet/Types.js';
import { decideReleaseRollout } from './ReleaseRollouts.js';

const SCHEDULE = { rampStartMs: 12_000, rampEndMs: 14_000, successAtMs: 14_400 };

/** Decides on a rollout that is in a stage since the given time. */
function decide(stage: RolloutStage, since: number, now: number, certainty?: IReleaseVerdict['certainty']) {
  const symptom = 'late-start' as const;
  return decideReleaseRollout({
    rollout: {
      service: 'drafts',
      release: 'v2',
      stage,
      recordedStage: stage,
      order: 1,
      recordRevision: 1,
      canaryShare: 0.05,
      maxExposureShare: 0.15,
      durationMs: 15_000,
      orderSeenAt: 0,
      orderedAt: 0,
      stageSeenAt: since,
    },
    schedule: SCHEDULE,
    verdict: certainty && { certainty, symptom, route: 'a', bad: 5, total: 8, allowedRate: 0.2 },
    newEndpointCount: 2,
    now,
  });
}

// Guards against a slow release of a small service that is kept because there was too little evidence in time.
test('a suspected release is given no more requests, and a bad one is rolled back', (t) => {
  t.snapshot({
    beforeRamp: decide('canary', 300, 11_900),
    atRamp: decide('canary', 300, 12_000),
    suspectedAtRamp: decide('canary', 300, 12_000, 'suspected'),
    badInCanary: decide('canary', 300, 5000, 'certain'),
    beforeSuccess: decide('full', 12_000, 14_300),
    atSuccess: decide('full', 12_000, 14_400),
    suspectedAtSuccess: decide('full', 12_000, 14_400, 'suspected'),
    rampBegunLate: decide('full', 14_000, 14_400),
  });
});
