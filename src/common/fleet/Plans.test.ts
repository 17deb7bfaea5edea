import test from 'ava';
import { createTestEndpoint } from '../../testing/Entries.js';
import { createChooseRelease, type IReleaseView } from './Plans.js';
import type { IRolloutEntry } from './Types.js';

const ROLLOUT: IRolloutEntry = {
  service: 'drafts',
  release: 'v2',
  stage: 'canary',
  recordedStage: 'canary',
  order: 1,
  recordRevision: 1,
  durationMs: 20_000,
  seenAt: 0,
  stageSeenAt: 0,
};

const BOTH = ['v1', 'v2'].map((release) => createTestEndpoint(release, { release }));

function describeView(patch: Partial<IReleaseView>): IReleaseView {
  return { rollout: ROLLOUT, endpoints: BOTH, lastRelease: undefined, point: 0.5, now: 0, ...patch };
}

// Guards against a session that changes its release in the first half, and work for a release rolled back.
test('the release follows the stage of the rollout and the session', (t) => {
  const choose = createChooseRelease({ readCanaryShare: () => 0.1, rampMs: 4000 });
  const withStage = (stage: IRolloutEntry['stage']): IRolloutEntry => ({ ...ROLLOUT, stage });
  t.snapshot({
    noRollout: choose(describeView({ rollout: undefined })),
    ordered: choose(describeView({ rollout: withStage('ordered'), point: 0.01 })),
    canaryNewSession: choose(describeView({ point: 0.01 })),
    canaryOldSession: choose(describeView({ point: 0.01, lastRelease: 'v1' })),
    canaryOther: choose(describeView({})),
    fullStart: choose(describeView({ rollout: withStage('full'), now: 500 })),
    fullMiddle: choose(describeView({ rollout: withStage('full'), now: 2500 })),
    fullMoved: choose(describeView({ rollout: withStage('full'), now: 0, lastRelease: 'v2' })),
    succeeded: choose(describeView({ rollout: withStage('succeeded') })),
    rolledBack: choose(describeView({ rollout: withStage('rolled-back'), lastRelease: 'v2', point: 0 })),
    onlyNewLeft: choose(describeView({ rollout: withStage('rolled-back'), endpoints: BOTH.slice(1) })),
    none: choose(describeView({ endpoints: [] })),
  });
});
