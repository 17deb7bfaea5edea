import { Result } from 'true-myth';
import { request as sendRequest, type Dispatcher } from 'undici';
import * as z from 'zod';
import type { OrderError, SendOrder } from '../common/rollout/Types.js';
import type { Millis } from '../common/Types.js';
import { DEFAULT_AGENT } from './HttpAgent.js';
import { readLimitedText } from './LimitedBody.js';
import { limitList } from './LimitedList.js';

/** Options of the function that sends orders to engines. */
export interface IEngineOrderOptions {
  dispatcher?: Dispatcher;
  /** Longest wait for the engine's reply. Default 5000. */
  timeoutMs?: Millis;
}

/** Largest reply of an engine that is read. */
const MAX_REPLY_BYTES = 1_048_576;

const REPORT_SCHEMA = z.object({ versions: limitList(z.string()) });

/**
 * Creates the function that orders an engine to have exactly the given versions loaded. It resolves with the
 * versions that the engine has loaded now, which are part of the load report in its reply.
 */
export function createSendOrder(options: IEngineOrderOptions = {}): SendOrder {
  return async (endpoint, order) => {
    try {
      const reply = await sendRequest(`${endpoint.address}/orders`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(order),
        signal: AbortSignal.timeout(options.timeoutMs ?? 5000),
        dispatcher: options.dispatcher ?? DEFAULT_AGENT,
      });
      const text = await readLimitedText(reply.body, { maxBytes: MAX_REPLY_BYTES });
      if (reply.statusCode === 409) return Result.err('fenced');
      const report = reply.statusCode < 300 ? REPORT_SCHEMA.safeParse(JSON.parse(text)) : undefined;
      return report?.success ? Result.ok(report.data.versions) : Result.err('failed');
    } catch {
      return Result.err<readonly string[], OrderError>('failed');
    }
  };
}
