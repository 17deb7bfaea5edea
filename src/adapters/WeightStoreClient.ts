import { request as sendRequest } from 'undici';
import * as z from 'zod';
import type { FetchLoadLimit } from '../common/rollout/Types.js';

const LIMIT_SCHEMA = z.object({ loadsPerMinute: z.number().min(0) });

/** Creates the function that reads how many loads of a version per minute the weight store allows. */
export function createFetchVersionLoadLimit(address: string, timeoutMs = 1000): FetchLoadLimit {
  return async () => {
    try {
      const reply = await sendRequest(`${address}/limit`, { signal: AbortSignal.timeout(timeoutMs) });
      const parsed = LIMIT_SCHEMA.safeParse(await reply.body.json());
      return parsed.success ? parsed.data.loadsPerMinute : undefined;
    } catch {
      return undefined;
    }
  };
}
