import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import { sendStream } from './BrokenAnswer.js';
import type { ICallResult } from './CallSender.js';
import { RouterRig } from './RouterRig.js';
import type { IRunnerCall, IRunnerStandIn } from './ScriptedRunner.js';

/** Answers a run of a stream at an endpoint; `run` counts the runs of the stream from 0. */
export type AnswerRun = (
  run: number,
  call: IRunnerCall,
  response: ServerResponse,
  runner: IRunnerStandIn,
) => void;

/** Beginning of the names of streams that are always answered well. */
export const WARM_UP_NAME = 'warm';

/** Starts a rig with three endpoints for models, which answer the runs of each stream alike. */
export async function startStreamRig(answerRun: AnswerRun): Promise<RouterRig> {
  const rig = await RouterRig.startReady();
  await rig.addRunner('m-3', 'drafts');
  const runs = new Map<string, number>();
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      const run = runs.get(call.path) ?? 0;
      runs.set(call.path, run + 1);
      if (call.path.startsWith(`/stream/${WARM_UP_NAME}`)) sendStream(call, response, 'chunks');
      else answerRun(run, call, response, runner);
    };
  }
  await waitForEndpoint(rig, 'm-3');
  return rig;
}

/** Waits until the host of a rig has read the announcement of an endpoint. */
export function waitForEndpoint(rig: RouterRig, id: string): Promise<void> {
  return rig.waitUntil(() => rig.events.some(({ fields }) => fields.key === `servers/${id}`));
}

/** Requests a stream. Describes whether the response was complete, and the ids of its events. */
export async function requestStream(
  rig: RouterRig,
  name: string,
  headers: Record<string, string> = {},
): Promise<string> {
  return formatStreamOutcome(await rig.send(`/stream/${name}`, { model: '*', ...headers }));
}

/** Describes whether the response to a stream was complete, and the ids of its events. */
export function formatStreamOutcome({ body, isComplete, status }: ICallResult): string {
  const pieces = body.split('\n\n').filter((text) => text !== '' && !text.startsWith(':'));
  const ids = pieces.map((text) => /^id: (\d+)\ndata: piece \1$/.exec(text)?.[1] ?? `"${text}"`);
  return status === 200 ? `${isComplete ? 'complete' : 'broken'} ${ids.join()}` : `status ${status}`;
}

/** Requests a stream from a new rig. Returns its outcome and its number of runs at each endpoint that it reached. */
export async function runStream(
  answerRun: AnswerRun,
  headers: Record<string, string> = {},
): Promise<[string, number[]]> {
  const rig = await startStreamRig(answerRun);
  // The name is unique, because the port of an endpoint may have belonged to one of another test.
  const name = randomUUID();
  const outcome = await requestStream(rig, name, headers);
  await rig.close();
  const runs = rig.runners.map(({ calls }) => calls.filter(({ path }) => path.endsWith(name)).length);
  return [outcome, runs.filter((count) => count > 0)];
}
