import type { IEndpointEntry, IRequestEntry } from '../blackboard/Types.js';

/** Initial values of the fields of a new request that decisions set later. */
export const INITIAL_REQUEST_FIELDS = {
  version: undefined,
  winningAttempt: undefined,
  attemptCount: 0,
  escalatedFrom: [],
  ran: 'no',
  isCallerGone: false,
  answer: undefined,
  refusal: undefined,
} as const satisfies Partial<IRequestEntry>;

/** Initial values of the measured fields of an endpoint that this host has not used yet. */
export const INITIAL_ENDPOINT_FIELDS = {
  inFlight: 0,
  inFlightTokens: 0,
  firstTokenMs: undefined,
  tokenMs: undefined,
  consecutiveFailures: 0,
  report: undefined,
  checksFencing: false,
} as const satisfies Partial<IEndpointEntry>;
