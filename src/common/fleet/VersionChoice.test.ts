import test from 'ava';
import { createTestEndpoint } from '../../testing/EntryFixtures.js';
import { createChooseRelease, type IReleaseView } from './VersionChoice.js';
import type { IRolloutEntry } from './Types.js';

const ROLLOUT: IRolloutEntry = {
  service: 'drafts',
  release: 'v2',
  stage: 'canary',
  recordedStage: 'canary',
  order: 1,
  recordRevision: 1,
  canaryShare: 0.05,
  maxExposureShare: 0.2,
  durationMs: 20_000,
  orderSeenAt: 0,
  orderedAt: 0,
  stageSeenAt: 0,
};

const ENDPOINTS = ['v1', 'v2'].map((release) => createTestEndpoint(release, { release }));

function createReleaseView(patch: Partial<IReleaseView>): IReleaseView {
  return {
    rollout: ROLLOUT,
    endpoints: ENDPOINTS,
    lastRelease: undefined,
    isHeld: false,
    hashFraction: 0.5,
    now: 0,
    ...patch,
  };
}

// Guards against moving a session to another release in the stage `canary`, and against sending requests to a
// release that was rolled back.
test('the chosen release depends on the stage of the rollout and the last release of the session', (t) => {
  const choose = createChooseRelease();
  const withStage = (stage: IRolloutEntry['stage']): IRolloutEntry => ({ ...ROLLOUT, stage });
  t.snapshot({
    noRollout: choose(createReleaseView({ rollout: undefined })),
    ordered: choose(createReleaseView({ rollout: withStage('ordered'), hashFraction: 0.01 })),
    canaryNewSession: choose(createReleaseView({ hashFraction: 0.01 })),
    canaryOldSession: choose(createReleaseView({ hashFraction: 0.01, lastRelease: 'v1' })),
    canaryHeldSession: choose(createReleaseView({ hashFraction: 0.01, isHeld: true })),
    canaryOther: choose(createReleaseView({})),
    fullStart: choose(createReleaseView({ rollout: withStage('full'), now: 500 })),
    fullMiddle: choose(createReleaseView({ rollout: withStage('full'), now: 3000 })),
    fullMoved: choose(createReleaseView({ rollout: withStage('full'), now: 0, lastRelease: 'v2' })),
    succeeded: choose(createReleaseView({ rollout: withStage('succeeded') })),
    rolledBack: choose(
      createReleaseView({ rollout: withStage('rolled-back'), lastRelease: 'v2', hashFraction: 0 }),
    ),
    onlyNewLeft: choose(
      createReleaseView({ rollout: withStage('rolled-back'), endpoints: ENDPOINTS.slice(1) }),
    ),
    none: choose(createReleaseView({ endpoints: [] })),
  });
});
