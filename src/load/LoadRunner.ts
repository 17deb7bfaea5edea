import { Agent, type Dispatcher } from 'undici';
import type { Millis } from '../common/Types.js';
import { sendCall } from './LoadCall.js';
import { LoadRecorder } from './LoadRecorder.js';
import { planRequests } from './Schedule.js';
import type { ICallOutcome, ILoadPlan, ILoadSummary, ILoadTarget, IPlannedRequest } from './Types.js';

/** Options of one run of a load. */
export interface ILoadRunOptions {
  plan: ILoadPlan;
  target: ILoadTarget;
  /** Decides whether a caller repeats a request: the delay, or `undefined` to stop. Default: never. */
  decideRepeat?: (outcome: ICallOutcome) => Millis | undefined;
  /** Receives the outcome of each try. */
  onOutcome?: (outcome: ICallOutcome) => void;
}

/** Longest time between two looks at the schedule, so that late timers do not bunch up sends. */
const LONGEST_WAIT_MS = 5;

/** Sends a load open loop: arrivals follow the plan and never wait for answers. */
export async function runLoad(options: ILoadRunOptions): Promise<ILoadSummary> {
  const dispatcher = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
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

async function runRequest(
  options: ILoadRunOptions,
  dispatcher: Dispatcher,
  recorder: LoadRecorder,
  request: IPlannedRequest,
  plannedAt: Millis,
): Promise<void> {
  const onGap = (gapMs: Millis): void => {
    recorder.recordGap(gapMs);
  };
  for (let tries = 1; ; tries += 1) {
    const outcome = await sendCall({ target: options.target, dispatcher, request, tries, plannedAt, onGap });
    options.onOutcome?.(outcome);
    const delayMs = options.decideRepeat?.(outcome);
    if (delayMs === undefined) {
      recorder.recordOutcome(outcome);
      return;
    }
    await waitUntil(performance.now() + delayMs);
  }
}

async function waitUntil(time: Millis): Promise<void> {
  for (let rest = time - performance.now(); rest > 0; rest = time - performance.now()) {
    const wait = Math.min(rest, Math.max(LONGEST_WAIT_MS, rest / 2));
    await new Promise((resolve) => setTimeout(resolve, wait));
  }
}
