import type {
  IEndpointEntry,
  IRequestEntry,
  IServiceEntry,
  RequestTarget,
} from '../common/blackboard/Types.js';
import type { IAccountSpec, IVersionSpec } from '../common/config/Types.js';
import { INITIAL_REQUEST_FIELDS, INITIAL_ENDPOINT_FIELDS } from '../common/request/InitialFields.js';

/** Creates a healthy, idle engine that serves version `small-1` in availability zone `a`. */
export function createTestEndpoint(id: string, patch: Partial<IEndpointEntry> = {}): IEndpointEntry {
  return {
    id,
    kind: 'engine',
    service: 'drafts',
    address: '',
    zone: 'a',
    health: 'healthy',
    healthChangedAt: 0,
    versions: ['small-1'],
    ...INITIAL_ENDPOINT_FIELDS,
    ...patch,
  };
}

/** Target of a test request: an answer of up to 20 tokens that is not streamed. */
export const TEST_TARGET: Extract<RequestTarget, { kind: 'model' }> = {
  kind: 'model',
  model: 'auto',
  isStreaming: false,
  promptTokens: 10,
  maxTokens: 20,
  prefixHashes: [],
  body: undefined,
};

/** Creates an idempotent request that is queued for version `small-1`, with a deadline of 10 s. */
export function createTestRequest(id: string, patch: Partial<IRequestEntry> = {}): IRequestEntry {
  const receivedAt = patch.receivedAt ?? 0;
  return {
    id,
    phase: 'queued',
    service: 'drafts',
    account: 'north',
    kind: 'draft',
    target: TEST_TARGET,
    isIdempotent: true,
    idempotencyKey: undefined,
    fingerprint: id,
    session: undefined,
    priority: 'normal',
    receivedAt,
    deadlineAt: receivedAt + 10_000,
    ...INITIAL_REQUEST_FIELDS,
    version: 'small-1',
    ...patch,
  };
}

/**
 * Creates a service with the versions `small-1`, `large-1` and `huge-1`, and one client account for each
 * entry of `weights`, which holds the weights by account name. `patch` applies to every account.
 */
export function createTestService(
  weights: Readonly<Record<string, number>> = { north: 1 },
  patch: Partial<IAccountSpec> = {},
): IServiceEntry {
  const accounts: Record<string, IAccountSpec> = {};
  for (const [name, weight] of Object.entries(weights)) {
    accounts[name] = {
      name,
      keySha256: '',
      versions: ['small-1', 'large-1', 'huge-1'],
      plainServices: [],
      requestsPerSecond: 100,
      maxInFlight: 1000,
      weight,
      ...patch,
    };
  }
  const versions: Record<string, IVersionSpec> = {};
  for (const [model, price, quality] of [
    ['small', 1, 0.8],
    ['large', 4, 0.95],
    ['huge', 9, 0.97],
  ] as const) {
    const name = `${model}-1`;
    versions[name] = {
      name,
      model,
      stage: 'stable',
      pricePerThousandTokens: price,
      expectedQuality: quality,
      rolloutAttempt: 1,
    };
  }
  const document = {
    name: 'drafts',
    qualityTarget: 0.9,
    qualityConfidence: 0.95,
    defaultDeadlineMs: 10_000,
    preference: 'latency' as const,
    billsDrafts: false,
    rolloutMaxShare: 1,
    learning: {
      explorationShare: 0,
      ratingShare: 0,
      priorRatings: 20,
      usesCascades: false,
      draftCheckMs: 500,
      draftAcceptScore: 0.5,
    },
    rollout: { stepMs: 60_000, stepRatings: 50, falseHaltRate: 0.001 },
    versions,
    accounts,
    plainServices: {},
  };
  return { name: 'drafts', document, revision: 1, rollouts: {} };
}
