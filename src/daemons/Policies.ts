import {
  createChooseExpectedDelay,
  createChooseLeastInFlight,
  createChooseLeastReported,
  createChooseRoundRobin,
} from '../common/policy/Endpoints.js';
import { decideHealth, decideUnchangedHealth } from '../common/policy/Health.js';
import { decideHedgeByQuantile, decideNoHedge } from '../common/policy/Hedging.js';
import { computeLimitByQueueing, computeUnchangedLimit } from '../common/policy/InFlightLimits.js';
import {
  ARRIVAL_ORDER,
  FAIR_ORDER,
  refuseIfDeadlineUnreachable,
  waitAlways,
} from '../common/policy/Queueing.js';
import { chooseSpilloverByTarget } from '../common/policy/Spillover.js';
import { chooseCheapest, chooseHighestQuality } from '../common/policy/Versions.js';
import type {
  AdaptLimit,
  ChooseEndpoint,
  ChooseSpilloverVersion,
  ChooseVersion,
  DecideHealth,
  DecideHedge,
  DecideQueued,
  IQueueOrder,
} from '../common/request/Types.js';
import type { RandomSource } from '../common/Types.js';

/** Policies of the routing controllers. */
export interface IRoutingPolicies {
  chooseEndpoint: ChooseEndpoint;
  queueOrder: IQueueOrder;
  decideQueued: DecideQueued;
  chooseSpilloverVersion: ChooseSpilloverVersion;
  decideHealth: DecideHealth;
  adaptLimit: AdaptLimit;
  decideHedge: DecideHedge;
}

/** Names of the routing policies in the settings. All but `default` are baselines for comparisons. */
export const ENDPOINT_POLICIES = ['default', 'round-robin', 'least-reported', 'least-in-flight'] as const;

/** Name of a routing policy. */
export type EndpointPolicy = (typeof ENDPOINT_POLICIES)[number];

/** Names of the version policies in the settings. All but `default` are baselines for comparisons. */
export const VERSION_POLICIES = ['default', 'strongest', 'cheapest'] as const;

/** Name of a policy that chooses a version. */
export type VersionPolicy = (typeof VERSION_POLICIES)[number];

const ENDPOINT_POLICY_FACTORIES: Readonly<Record<EndpointPolicy, (random: RandomSource) => ChooseEndpoint>> =
  {
    default: createChooseExpectedDelay,
    'round-robin': createChooseRoundRobin,
    'least-reported': createChooseLeastReported,
    'least-in-flight': createChooseLeastInFlight,
  };

const VERSION_BASELINES: Readonly<Record<Exclude<VersionPolicy, 'default'>, ChooseVersion>> = {
  strongest: chooseHighestQuality,
  cheapest: chooseCheapest,
};

/**
 * Creates the routing policies for a name from the settings. A baseline never changes the health or the
 * in-flight limit of an endpoint, sends no hedges and refuses no request early.
 */
export function createRoutingPolicies(
  random: RandomSource,
  policy: EndpointPolicy = 'default',
): IRoutingPolicies {
  const chooseEndpoint = ENDPOINT_POLICY_FACTORIES[policy](random);
  const chooseSpilloverVersion = chooseSpilloverByTarget;
  if (policy === 'default') {
    return {
      chooseEndpoint,
      chooseSpilloverVersion,
      decideHealth,
      queueOrder: FAIR_ORDER,
      decideQueued: refuseIfDeadlineUnreachable,
      adaptLimit: computeLimitByQueueing,
      decideHedge: decideHedgeByQuantile,
    };
  }
  return {
    chooseEndpoint,
    chooseSpilloverVersion,
    queueOrder: ARRIVAL_ORDER,
    decideQueued: waitAlways,
    decideHealth: decideUnchangedHealth,
    adaptLimit: computeUnchangedLimit,
    decideHedge: decideNoHedge,
  };
}

/** Returns the function that chooses versions: the given one, which learns from ratings, or a baseline. */
export function selectChooseVersion(
  policy: VersionPolicy,
  chooseLearnedVersion: ChooseVersion,
): ChooseVersion {
  return policy === 'default' ? chooseLearnedVersion : VERSION_BASELINES[policy];
}
