import {
  createChooseLeastInFlight,
  createChooseLeastReported,
  createChooseRoundRobin,
} from '../common/policy/Endpoints.js';
import { chooseCheapest, chooseCheapestExpected, chooseStrongest } from '../common/policy/Versions.js';
import type { ChooseEndpoint, ChooseVersion } from '../common/request/Types.js';
import type { RandomSource } from '../common/Types.js';

/** Names of the policies that choose an endpoint, as the settings give them. */
export const ENDPOINT_POLICIES = ['default', 'round-robin', 'least-reported', 'least-in-flight'] as const;

/** Name of a policy that chooses an endpoint. */
export type EndpointPolicy = (typeof ENDPOINT_POLICIES)[number];

/** Names of the policies that choose a version, as the settings give them. */
export const VERSION_POLICIES = ['default', 'strongest', 'cheapest'] as const;

/** Name of a policy that chooses a version. */
export type VersionPolicy = (typeof VERSION_POLICIES)[number];

const ENDPOINT_FACTORIES: Readonly<Record<EndpointPolicy, (random: RandomSource) => ChooseEndpoint>> = {
  default: createChooseLeastInFlight,
  'round-robin': createChooseRoundRobin,
  'least-reported': createChooseLeastReported,
  'least-in-flight': createChooseLeastInFlight,
};

const VERSION_CHOICES: Readonly<Record<VersionPolicy, ChooseVersion>> = {
  default: chooseCheapestExpected,
  strongest: chooseStrongest,
  cheapest: chooseCheapest,
};

/** Creates the function that chooses an endpoint. */
export function createChooseEndpoint(policy: EndpointPolicy, random: RandomSource): ChooseEndpoint {
  return ENDPOINT_FACTORIES[policy](random);
}

/** Returns the function that chooses a version. */
export function getChooseVersion(policy: VersionPolicy): ChooseVersion {
  return VERSION_CHOICES[policy];
}
