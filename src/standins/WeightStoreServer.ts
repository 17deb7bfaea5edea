import { sendJson, startServer } from './HttpTools.js';
import type { IStandIn } from './Types.js';

/** A running weight store stand-in. */
export interface IWeightStoreStandIn extends IStandIn {
  /** Load requests since the start. Every request other than `/limit` counts as one. */
  counts: { accepted: number; refused: number };
}

const MINUTE_MS = 60_000;

/** Starts a fake weight store that serves its rate limit at `/limit` and refuses load requests above this limit. */
export async function startWeightStoreServer(
  loadsPerMinute: number,
  port?: number,
): Promise<IWeightStoreStandIn> {
  const counts = { accepted: 0, refused: 0 };
  let minuteEndsAt = performance.now() + MINUTE_MS;
  let loadsThisMinute = 0;
  const server = await startServer((request, response) => {
    if (request.url === '/limit') {
      sendJson(response, 200, { loadsPerMinute });
      return;
    }
    if (performance.now() >= minuteEndsAt) {
      minuteEndsAt = performance.now() + MINUTE_MS;
      loadsThisMinute = 0;
    }
    loadsThisMinute += 1;
    const isAccepted = loadsThisMinute <= loadsPerMinute;
    counts[isAccepted ? 'accepted' : 'refused'] += 1;
    sendJson(response, isAccepted ? 200 : 429, {});
  }, port);
  return { ...server, counts };
}
