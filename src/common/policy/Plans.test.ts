import test from 'ava';
import fc from 'fast-check';
import {
  buildTestDocument,
  buildTestRequest,
  buildTestService,
  buildTestRolloutState,
} from '../../testing/VersionFixtures.js';
import type { IQualityEntry } from '../blackboard/Types.js';
import type { VersionStage } from '../config/Types.js';
import type { VersionDecision } from '../request/Types.js';
import { computeBetaTail } from './Beta.js';
import { createChooseByLearnedQuality } from './Plans.js';
import { chooseCheapest, chooseCheapestExpected, chooseHighestQuality } from './Versions.js';

const SEED = Number(process.env.FAST_CHECK_SEED ?? 20261204);
const STABLE = { 'small-1': 'stable', 'medium-1': 'stable', 'large-1': 'stable' } as const;

function buildQuality(version: string, counts: Partial<IQualityEntry>): IQualityEntry {
  const noOutcomes = { good: 0, bad: 0, errors: 0, finished: 0, slow: 0, latencyMs: 0 };
  const drafts = { draftsAccepted: 0, draftsRejected: 0, acceptedGood: 0, acceptedBad: 0 };
  return { service: 'deposits', kind: 'tag-note', version, ...noOutcomes, ...drafts, ...counts };
}

function describeDecision(decision: VersionDecision): string {
  if (decision.kind === 'refuse') return `refuse ${decision.refusal.code}`;
  const { isExploration = false, steps = [decision.version], eligibleRollouts = [] } = decision.plan ?? {};
  const notes = [
    isExploration ? 'exploration' : '',
    eligibleRollouts.length > 0 ? `in ${eligibleRollouts.join()}` : '',
  ];
  return [steps.join('>'), ...notes].filter((note) => note !== '').join(', ');
}

interface ICase {
  counts?: Readonly<Record<string, Partial<IQualityEntry>>>;
  request?: Parameters<typeof buildTestRequest>[0];
  isStreaming?: boolean;
  isCheckAvailable?: boolean;
  point?: number;
  pinnedVersion?: string;
  stages?: Readonly<Record<string, VersionStage>>;
  rollouts?: Parameters<typeof buildTestService>[1];
  serviceLines?: string;
}

function decide(input: ICase): string {
  const { counts = {}, isCheckAvailable = true, point = 0.9, stages = STABLE } = input;
  const choose = createChooseByLearnedQuality({
    readQuality: (_service, _kind, plan) => buildQuality(plan, counts[plan] ?? {}),
    isCheckAvailable: () => isCheckAvailable,
  });
  const service = buildTestService(buildTestDocument(stages, input.serviceLines), input.rollouts);
  const request = buildTestRequest(input.request, input.isStreaming);
  const { pinnedVersion } = input;
  const view = { request, service, pinnedVersion, hasEndpoint: () => true, hashToFraction: () => point };
  return describeDecision(choose(view));
}

const GOOD_SMALL = { 'small-1': { good: 490, bad: 10 } };
const POOR_SMALL = {
  'small-1': {
    good: 300,
    bad: 200,
    draftsAccepted: 60,
    draftsRejected: 40,
    acceptedGood: 290,
    acceptedBad: 10,
  },
  'large-1': { good: 490, bad: 10 },
};
const ROLLING = { ...STABLE, 'large-2': 'rolling-out' } as const;

test('a plan is chosen by the observed quality of each plan', (t) => {
  t.snapshot({
    nothingKnown: decide({}),
    nothingKnownStreaming: decide({ isStreaming: true }),
    cheapVersionKnownToBeGood: decide({ counts: GOOD_SMALL }),
    cheapVersionKnownToBePoor: decide({ counts: POOR_SMALL }),
    poorStreaming: decide({ counts: POOR_SMALL, isStreaming: true }),
    poorWithoutChecks: decide({ counts: POOR_SMALL, isCheckAvailable: false }),
    poorNotRepeatable: decide({ counts: POOR_SMALL, request: { isIdempotent: false } }),
    poorInSession: decide({ counts: POOR_SMALL, request: { session: 's' } }),
    cascadesOff: decide({ counts: POOR_SMALL, serviceLines: 'cascades = no' }),
    exploration: decide({ counts: POOR_SMALL, isStreaming: true, point: 0.001 }),
    explorationInSession: decide({
      counts: POOR_SMALL,
      isStreaming: true,
      point: 0.001,
      request: { session: 's' },
    }),
    explorationOff: decide({ counts: POOR_SMALL, point: 0.001, serviceLines: 'exploration_share = 0' }),
  });
});

test('a rollout takes its share of requests, a halted one takes none, and pinned sessions keep their version', (t) => {
  const common = { stages: ROLLING, isStreaming: true, counts: POOR_SMALL };
  const withState = (patch: Parameters<typeof buildTestRolloutState>[1]): ICase['rollouts'] => ({
    'large-2': buildTestRolloutState('large-2', patch),
  });
  t.snapshot({
    noState: decide({ ...common, point: 0.1 }),
    inShare: decide({ ...common, point: 0.1, rollouts: withState({}) }),
    outsideShare: decide({ ...common, point: 0.3, rollouts: withState({}) }),
    shareAboveMaximum: decide({
      ...common,
      point: 0.1,
      rollouts: withState({ share: 0.5 }),
      serviceLines: 'rollout_max_share = 0.05',
    }),
    halted: decide({ ...common, point: 0.1, rollouts: withState({ verdict: 'halted', share: 0 }) }),
    earlierAttempt: decide({ ...common, point: 0.1, rollouts: withState({ attempt: 0 }) }),
    haltedButPinned: decide({
      ...common,
      pinnedVersion: 'large-2',
      rollouts: withState({ verdict: 'halted', share: 0 }),
    }),
    pinnedToWithdrawing: decide({ stages: { 'a-1': 'withdrawing' }, pinnedVersion: 'a-1' }),
    pinnedToWithdrawn: decide({ stages: { 'a-1': 'withdrawn', 'b-1': 'stable' }, pinnedVersion: 'a-1' }),
  });
});

test('the Beta tail agrees with closed forms', (t) => {
  for (const x of [0.05, 0.3, 0.5, 0.9, 0.99]) {
    t.true(Math.abs(computeBetaTail(1, 1, x) - (1 - x)) < 1e-9);
    t.true(Math.abs(computeBetaTail(40, 1, x) - (1 - x ** 40)) < 1e-9);
    t.true(Math.abs(computeBetaTail(1, 40, x) - (1 - x) ** 40) < 1e-9);
    t.true(Math.abs(computeBetaTail(900, 100, x) + computeBetaTail(100, 900, 1 - x) - 1) < 1e-9);
  }
});

// Guards invariants I1 and I2: no policy may send new work to a version that is not allowed for the
// account, withdrawn, or halted in its rollout.
test('every policy chooses an allowed version that takes new work', (t) => {
  const stage = fc.constantFrom<VersionStage>('rolling-out', 'stable', 'withdrawing', 'withdrawn');
  const names = ['small-1', 'small-2', 'medium-1', 'large-1', 'large-2'];
  const state = fc.record({
    verdict: fc.constantFrom('ramping', 'halted', 'passed'),
    share: fc.double({ min: 0, max: 1, noNaN: true }),
    attempt: fc.integer({ min: 0, max: 2 }),
  });
  const count = fc.integer({ min: 0, max: 500 });
  const property = fc.property(
    fc.tuple(stage, stage, stage, stage, stage),
    fc.tuple(state, state, state, state, state),
    fc.subarray(names),
    fc.double({ min: 0, max: 0.999, noNaN: true }),
    fc.boolean(),
    fc.array(fc.tuple(count, count, count, count), { minLength: 3, maxLength: 3 }),
    (stages, states, allowed, point, isStreaming, counts) => {
      const document = buildTestDocument(
        Object.fromEntries(names.map((name, index) => [name, stages[index]!])),
      );
      const account = { ...document.accounts['depot-north']!, versions: allowed };
      const rollouts = Object.fromEntries(
        names.map((name, index) => [name, buildTestRolloutState(name, states[index])]),
      );
      const service = buildTestService({ ...document, accounts: { 'depot-north': account } }, rollouts);
      const readQuality = (_service: string, _kind: string, plan: string): IQualityEntry => {
        const [good, bad, draftsAccepted, draftsRejected] = counts[plan.length % 3]!;
        return buildQuality(plan, { good, bad, draftsAccepted, draftsRejected });
      };
      const learned = createChooseByLearnedQuality({ readQuality, isCheckAvailable: () => true });
      const request = buildTestRequest({}, isStreaming);
      const common = { pinnedVersion: undefined, hasEndpoint: () => true };
      const view = { ...common, request, service, hashToFraction: () => point };
      for (const choose of [learned, chooseCheapest, chooseHighestQuality, chooseCheapestExpected]) {
        const decision = choose(view);
        if (decision.kind === 'refuse') continue;
        for (const name of decision.plan?.steps ?? [decision.version]) {
          const version = document.versions[name]!;
          const isOpen =
            version.stage === 'stable' ||
            (version.stage === 'rolling-out' &&
              rollouts[name]!.verdict !== 'halted' &&
              rollouts[name]!.attempt === version.rolloutAttempt &&
              point < rollouts[name]!.share);
          if (!allowed.includes(name) || !isOpen) return false;
        }
      }
      return true;
    },
  );
  t.notThrows(() => {
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });
});
