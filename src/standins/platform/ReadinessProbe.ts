import { setTimeout as wait } from 'node:timers/promises';
import type { Millis } from '../../common/Types.js';

const PROBE_INTERVAL_MS: Millis = 10;

/**
 * Checks a router again and again until an action has ended. Returns the longest time without a reply; infinite if the
 * router cannot be reached.
 * @example
 * const stallMs = await measureStall(router.readyAddress, sendCall(call).result);
 */
export async function measureStall(readyAddress: string, action: Promise<unknown>): Promise<Millis> {
  const state = { hasEnded: false };
  const ended = action.finally(() => (state.hasEnded = true));
  let longestMs = 0;
  do {
    const sentAt = performance.now();
    const reply = await fetch(`http://${readyAddress}/-/ready`).catch(() => undefined);
    if (!reply) return Infinity;
    longestMs = Math.max(longestMs, performance.now() - sentAt);
    await wait(PROBE_INTERVAL_MS);
  } while (!state.hasEnded);
  await ended;
  return longestMs;
}
