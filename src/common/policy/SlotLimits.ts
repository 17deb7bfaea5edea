import type { AdaptLimit } from '../request/Types.js';

/** Growth per answer, back to the endpoint's slots, after a refusal has lowered the limit. */
const RECOVERY = 0.5;

/**
 * Keeps the limit of attempts in flight at the endpoint's slots. The endpoint schedules its own batch;
 * only its refusals say that it is full.
 */
export const limitBySlots: AdaptLimit = ({ endpoint, limit }) =>
  Math.min(endpoint.slots ?? limit, limit + RECOVERY);
