import type { Dispatcher } from 'undici';
import { createHttpAgent } from '../adapters/HttpAgent.js';
import type { Millis } from '../common/Types.js';
import { sendCall } from './LoadCall.js';
import { LoadRecorder } from './LoadRecorder.js';
import { planRequests } from './Schedule.js';
import type { ICallOutcome, ILoadPlan, ILoadSummary, ILoadTarget, IPlannedRequest } from './Types.js';

/** Options of `runLoad`. */
export interface ILoadRunOptions {
  plan: ILoadPlan;
  target: ILoadTarget;
  /**
   * Returns the delay after which a request is sent again, or `undefined` to accept the outcome as final. By
   * default no request is repeated.
   */
  chooseRepeatDelay?: (outcome: ICallOutcome) => Millis | undefined;
  /** Called with the outcome of each try of each request. */
  onOutcome?: (outcome: ICallOutcome) => void;
}

/**
 * Minimum duration of a timer of `waitUntil`, which waits in steps of half of the remaining time. Only the
 * last step may be shorter. A single long timer could fire late, and several requests would then be sent at
 * once.
 */
const MIN_TIMER_MS = 5;

/**
 * Runs an open-loop load: each request is sent at its planned time, whether or not earlier requests have been
 * answered. Resolves when all requests have a final outcome.
 */
export async function runLoad(options: ILoadRunOptions): Promise<ILoadSummary> {
  const dispatcher = createHttpAgent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
  const recorder = new LoadRecorder();
  const startedAt = performance.now();
  const calls: Promise<void>[] = [];
  for (const request of planRequests(options.plan)) {
    await waitUntil(startedAt + request.atMs);
    calls.push(runRequest(options, dispatcher, recorder, request, startedAt + request.atMs));
  }
  await Promise.all(calls);
  const durationMs = performance.now() - startedAt;
  await dispatcher.close();
  return recorder.buildSummary(options.plan.seed, durationMs);
}

/** Sends a request, repeats it as `chooseRepeatDelay` asks, and records the outcome of the last try. */
async function runRequest(
  options: ILoadRunOptions,
  dispatcher: Dispatcher,
  recorder: LoadRecorder,
  request: IPlannedRequest,
  plannedAt: Millis,
): Promise<void> {
  const onTokenInterval = (intervalMs: Millis): void => {
    recorder.recordTokenInterval(intervalMs);
  };
  for (let tries = 1; ; tries += 1) {
    const outcome = await sendCall({
      target: options.target,
      dispatcher,
      request,
      tries,
      plannedAt,
      onTokenInterval,
    });
    options.onOutcome?.(outcome);
    const delayMs = options.chooseRepeatDelay?.(outcome);
    if (delayMs === undefined) {
      recorder.recordOutcome(outcome);
      return;
    }
    await waitUntil(performance.now() + delayMs);
  }
}

/** Waits until `performance.now()` reaches `time`. */
async function waitUntil(time: Millis): Promise<void> {
  for (let remainingMs = time - performance.now(); remainingMs > 0; remainingMs = time - performance.now()) {
    const delayMs = Math.min(remainingMs, Math.max(MIN_TIMER_MS, remainingMs / 2));
    await new Promise((resolve) => setTimeout(resolve, delayMs));
  }
}
