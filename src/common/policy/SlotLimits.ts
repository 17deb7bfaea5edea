import type { AdaptLimit } from '../request/Types.js';
import { computeSlotShare } from './RefusalPauses.js';

/** Increase of the limit per answer, up to the endpoint's slots, after a refusal has lowered it. */
const LIMIT_INCREMENT = 0.5;

/**
 * Sets the limit of attempts in flight to the endpoint's slots. The endpoint schedules its own batch, so only
 * its refusals show that it is full. One that bears few refusals gets this host's share of its slots.
 */
export const limitBySlots: AdaptLimit = ({ endpoint, hostCount, limit }) => {
  const { maxRefusalsPerS, slots = limit } = endpoint;
  const maxLimit = maxRefusalsPerS === undefined ? slots : computeSlotShare(slots, hostCount);
  return Math.min(maxLimit, limit + LIMIT_INCREMENT);
};
