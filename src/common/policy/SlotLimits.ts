import type { AdaptLimit } from '../request/Types.js';

/** Increase of the limit per answer, up to the endpoint's slots, after a refusal has lowered it. */
const LIMIT_INCREMENT = 0.5;

/**
 * Sets the limit of attempts in flight to the endpoint's slots. The endpoint schedules its own batch, so only
 * its refusals show that it is full.
 */
export const limitBySlots: AdaptLimit = ({ endpoint, limit }) =>
  Math.min(endpoint.slots ?? limit, limit + LIMIT_INCREMENT);
