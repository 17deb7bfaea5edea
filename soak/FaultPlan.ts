import type { Millis, RandomSource } from '../src/common/Types.js';
import { planFaultChain } from '../src/testing/FaultChains.js';
import type {
  FalseEndKind,
  LastingFaultKind,
  LinkFaultKind,
  PlannedWorkKind,
  RouterFaultKind,
  RouterLinkFaultKind,
  RunnerFaultKind,
  SoakFault,
  SoakProfile,
  StoreFaultKind,
} from './Types.js';

/** Kinds of planned work. */
export const PLANNED_WORK_KINDS: readonly PlannedWorkKind[] = [
  'stop-router',
  'reload-router',
  'drain-runner',
  'change-configuration',
  'revoke-key',
];
const ROUTER_KINDS: readonly RouterFaultKind[] = [
  'kill-router',
  'kill-all-routers',
  'pause-router',
  'step-clock',
];
const LINK_KINDS: readonly LinkFaultKind[] = [
  'delay-runner',
  'reset-runner',
  'mute-to-runner',
  'mute-from-runner',
  'silence-runner',
  'delay-callers',
  'reset-callers',
  'silence-callers',
  'silence-store',
  'reset-store',
  'delay-store',
];
const RUNNER_KINDS: readonly RunnerFaultKind[] = [
  'crash-runner',
  'fail-answers',
  'refuse-calls',
  'lose-answers',
  'tear-answers',
  'hang-answers',
];
const STORE_KINDS: readonly StoreFaultKind[] = [
  'store-refuse',
  'store-silent',
  'store-lose-replies',
  'store-compact',
];

const RESTORE_KINDS: readonly StoreFaultKind[] = ['store-restore'];

const FALSE_END_KINDS: readonly FalseEndKind[] = ['deny-resumptions', 'skip-events'];

const ROUTER_LINK_KINDS: readonly RouterLinkFaultKind[] = ['hang-router-link', 'refuse-router-link'];

const LASTING_KINDS: readonly LastingFaultKind[] = ['crash-on-part', 'limit-rate'];

/**
 * Kinds of faults in each chain of a profile. The chains run at the same time, so that faults of different
 * chains overlap. The profile `planned` has two chains, so that planned work overlaps as well.
 */
const CHAIN_KINDS: Readonly<Record<SoakProfile, readonly (readonly SoakFault['kind'][])[]>> = {
  planned: [PLANNED_WORK_KINDS, PLANNED_WORK_KINDS],
  links: [PLANNED_WORK_KINDS, ROUTER_LINK_KINDS],
  mixed: [
    PLANNED_WORK_KINDS,
    ROUTER_KINDS,
    LINK_KINDS,
    LINK_KINDS,
    RUNNER_KINDS,
    STORE_KINDS,
    // Last, so that the chains of earlier seeds stay as they were.
    LASTING_KINDS,
    RESTORE_KINDS,
    // In two chains, so that runners end while their answers are unmarked.
    ['unmark-answers'],
    ['end-runner'],
    FALSE_END_KINDS,
    ROUTER_LINK_KINDS,
  ],
};

/**
 * Range of the durations: shorter and longer than the 3 s for which a router must be undisturbed before time
 * limits apply.
 */
const DURATION_LIMITS = { shortestMs: 100, longestMs: 4500 };

/** Plans the fault chains of a soak. */
export function planSoakFaults(profile: SoakProfile, random: RandomSource, endMs: Millis): SoakFault[][] {
  return CHAIN_KINDS[profile].map((kinds) => planFaultChain(random, kinds, { ...DURATION_LIMITS, endMs }));
}
