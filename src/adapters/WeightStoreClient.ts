import { request as sendRequest } from 'undici';
import * as z from 'zod';
import type { FetchLoadLimit } from '../common/rollout/Types.js';
import { DEFAULT_AGENT } from './HttpAgent.js';
import { readLimitedJson } from './LimitedBody.js';

const MAX_REPLY_BYTES = 65_536;

const LIMIT_SCHEMA = z.object({ loadsPerMinute: z.number().min(0) });

/** Creates the function that reads how many loads of a version per minute the weight store allows. */
export function createFetchVersionLoadLimit(address: string, timeoutMs = 1000): FetchLoadLimit {
  return async () => {
    try {
      const reply = await sendRequest(`${address}/limit`, {
        signal: AbortSignal.timeout(timeoutMs),
        dispatcher: DEFAULT_AGENT,
      });
      const parsed = LIMIT_SCHEMA.safeParse(await readLimitedJson(reply.body, { maxBytes: MAX_REPLY_BYTES }));
      return reply.statusCode === 200 && parsed.success ? parsed.data.loadsPerMinute : undefined;
    } catch {
      return undefined;
    }
  };
}
