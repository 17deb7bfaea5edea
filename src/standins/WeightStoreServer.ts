import { sendJson, startServer } from './HttpTools.js';
import type { IStandIn } from './Types.js';

/** A running weight store stand-in. */
export interface IWeightStoreStandIn extends IStandIn {
  /** Loads in the current minute, by `POST /loads`. */
  counts: { accepted: number; refused: number };
}

const MINUTE_MS = 60_000;

/** Starts a small weight store that says its rate limit and refuses loads above it. */
export async function startWeightStoreServer(
  loadsPerMinute: number,
  port?: number,
): Promise<IWeightStoreStandIn> {
  const counts = { accepted: 0, refused: 0 };
  let minuteEndsAt = performance.now() + MINUTE_MS;
  let used = 0;
  const server = await startServer((request, response) => {
    if (request.url === '/limit') {
      sendJson(response, 200, { loadsPerMinute });
      return;
    }
    if (performance.now() >= minuteEndsAt) {
      minuteEndsAt = performance.now() + MINUTE_MS;
      used = 0;
    }
    used += 1;
    const isAccepted = used <= loadsPerMinute;
    counts[isAccepted ? 'accepted' : 'refused'] += 1;
    sendJson(response, isAccepted ? 200 : 429, {});
  }, port);
  return { ...server, counts };
}
