import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import test from 'ava';
import {
  EVIDENT_CUT,
  FRAMINGS,
  sendBrokenAnswer,
  sendStream,
  UNMARKED_END,
} from '../standins/platform/BrokenAnswer.js';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { buildRunnerHeaders, type IRunnerCall } from '../standins/platform/ScriptedRunner.js';
import {
  requestStream,
  runStream,
  startStreamRig,
  waitForEndpoint,
  WARM_UP_NAME,
} from '../standins/platform/StreamRig.js';
import { startServer } from '../standins/HttpTools.js';

const UNMARKED_CUT = { ...UNMARKED_END, cut: 'fin' } as const;

/** Lets each endpoint mark the end of a stream. Streams at the same time spread over the endpoints. */
async function sendWarmUps(rig: RouterRig): Promise<void> {
  const hasAllServed = (): boolean =>
    rig.runners.filter(({ id, calls }) => id.startsWith('m-') && calls.length > 0).length === 3;
  for (let round = 0; round < 20 && !hasAllServed(); round += 1) {
    const names = [0, 1, 2, 3, 4, 5].map((index) => `${WARM_UP_NAME}-${round}-${index}`);
    await Promise.all(names.map((name) => requestStream(rig, name)));
  }
  if (!hasAllServed()) throw new Error('Some endpoint has served no stream.');
}

function refuseRun(call: IRunnerCall, response: ServerResponse): void {
  response.writeHead(503, { ...buildRunnerHeaders(call), 'not-executed': '1', 'content-length': 0 }).end();
}

// Guards against ORDER after a start: the host has seen no mark yet and believes an end without one.
test('the first stream after a start goes on elsewhere if it ends without a mark', async (t) => {
  const [outcome] = await runStream((run, call, response) => {
    if (run === 0) sendBrokenAnswer(call, response, UNMARKED_CUT);
    else sendStream(call, response, 'chunks');
  });
  t.is(outcome, 'complete 1,2,3,4,5,6');
});

// Guards against ORDER: if no other endpoint takes a stream, the end that was in doubt is framed as complete after all.
test('a stream without a mark of its end is broken off if its endpoint marks others and no endpoint goes on', async (t) => {
  const rig = await startStreamRig((run, call, response) => {
    if (run === 0) sendBrokenAnswer(call, response, UNMARKED_CUT);
    else refuseRun(call, response);
  });
  await sendWarmUps(rig);
  const outcome = await requestStream(rig, randomUUID());
  await rig.close();
  t.is(outcome, 'broken 1,2,3');
});

// Guards against ORDER: endpoints break off, so the empty end of the first one is framed as complete.
test('a stream without any event does not end as complete because the other endpoints broke off', async (t) => {
  const rig = await startStreamRig((run, call, response) => {
    if (run === 0) sendStream(call, response, 'chunks', 0);
    else response.socket?.resetAndDestroy();
  });
  const outcome = await requestStream(rig, randomUUID());
  await rig.close();
  t.is(outcome, 'status 502');
});

// Guards against an empty success: a generation has at least one token, whatever the endpoints agree about.
test('a stream that has no event at any endpoint is not complete', async (t) => {
  const outcomes: unknown[] = [];
  for (const framing of FRAMINGS) {
    const [outcome] = await runStream((_run, call, response) => {
      sendStream(call, response, framing, 0);
    });
    outcomes.push(outcome);
  }
  t.deepEqual(
    outcomes,
    FRAMINGS.map(() => 'status 502'),
  );
});

// Guards against ORDER: an endpoint that cannot resume is asked twice and confirms its own claim.
test('a stream does not end as complete because one endpoint claims its end twice', async (t) => {
  const rig = await startStreamRig((run, call, response) => {
    if (run === 0) sendBrokenAnswer(call, response, EVIDENT_CUT);
    else sendStream(call, response, 'chunks', 0);
  });
  for (const id of ['m-2', 'm-3']) rig.store.remove(`servers/${id}`);
  await rig.waitUntil(() => rig.events.filter(({ fields }) => fields.health === 'gone').length === 2);
  const outcome = await requestStream(rig, randomUUID());
  await rig.close();
  t.is(outcome, 'broken 1,2,3');
});

// Guards against ORDER: an end that nothing marks is confirmed by its own endpoint, or by an answer that nothing marks.
for (const [confirmation, endpointCount] of [
  ['chunks', 1],
  ['connection', 3],
] as const)
  test(`an end without a mark is not confirmed at ${endpointCount} endpoints by an empty answer ended by its ${confirmation}`, async (t) => {
    const rig = await startStreamRig((run, call, response) => {
      if (run === 0) sendBrokenAnswer(call, response, UNMARKED_CUT);
      else sendStream(call, response, confirmation, 0);
    });
    await sendWarmUps(rig);
    for (const id of ['m-2', 'm-3'].slice(0, 3 - endpointCount)) rig.store.remove(`servers/${id}`);
    const countGone = (): number => rig.events.filter(({ fields }) => fields.health === 'gone').length;
    await rig.waitUntil(() => countGone() === 3 - endpointCount);
    const outcome = await requestStream(rig, randomUUID());
    await rig.close();
    t.is(outcome, 'broken 1,2,3');
  });

// Guards against ORDER: the endpoint that broke the stream off, or one that marks no end, confirms an empty continuation.
for (const [confirmation, endpointCount] of [
  ['chunks', 2],
  ['connection', 3],
] as const)
  test(`a stream does not end as complete by an empty answer of the wrong endpoint, ended by its ${confirmation}`, async (t) => {
    const rig = await startStreamRig((run, call, response) => {
      if (run === 0) sendBrokenAnswer(call, response, EVIDENT_CUT);
      else sendStream(call, response, run === 1 ? 'chunks' : confirmation, 0);
    });
    if (endpointCount === 2) {
      rig.store.remove('servers/m-3');
      await rig.waitUntil(() => rig.events.some(({ fields }) => fields.health === 'gone'));
    }
    const outcomes: string[] = [];
    for (let index = 0; index < 4; index += 1) outcomes.push(await requestStream(rig, randomUUID()));
    await rig.close();
    t.deepEqual(
      outcomes,
      outcomes.map(() => 'broken 1,2,3'),
    );
  });

/**
 * Requests a stream that its first endpoint ends with a last chunk after three of six events. Returns the outcome and
 * the reasons of doubts. The endpoint reports a number of events, or nothing about the run.
 */
async function runFalseEnd(hasSpoilt: boolean, reported: number | undefined): Promise<unknown> {
  const rig = await startStreamRig((run, call, response, runner) => {
    if (call.path.endsWith('spoilt')) {
      sendBrokenAnswer(call, response, EVIDENT_CUT);
      return;
    }
    const id = call.headers['attempt-id']?.toString() ?? '';
    if (run === 0 && reported !== undefined) runner.reportedRuns = [[id, 100, reported, 5]];
    sendStream(call, response, 'chunks', run === 0 ? 3 : undefined);
  });
  // Each endpoint breaks it off, the last one after event 5.
  const spoilt = hasSpoilt ? await requestStream(rig, 'spoilt') : undefined;
  const outcome = await requestStream(rig, randomUUID());
  await rig.close();
  const doubts = rig.events.filter(({ kind }) => kind === 'answer.doubted').map(({ fields }) => fields.doubt);
  return { spoilt, outcome, doubts };
}

// Guards against ORDER: an endpoint that spoils answers marks an end between two events, and its mark is believed.
test('a marked end is disproved by the report of an endpoint that has lately spoilt an answer', async (t) => {
  const outcomes: unknown[] = [];
  for (const hasSpoilt of [false, true])
    for (const reported of [undefined, 3, 4, 6])
      outcomes.push([{ hasSpoilt, reported }, await runFalseEnd(hasSpoilt, reported)]);
  t.snapshot(outcomes);
});

// Guards against ORDER: nobody is left to ask, so the word of one endpoint is framed as complete.
test('a stream does not end as complete because the last endpoint allowed sends nothing', async (t) => {
  const rig = await startStreamRig((run, call, response) => {
    if (run === 0) sendBrokenAnswer(call, response, EVIDENT_CUT);
    else if (run === 1) sendBrokenAnswer(call, response, { ...EVIDENT_CUT, place: 'before-first' });
    else sendStream(call, response, 'chunks', 0);
  });
  const outcome = await requestStream(rig, randomUUID());
  await rig.close();
  t.is(outcome, 'broken 1,2,3');
});

// Guards against ORDER: a host that reads the end late asks the next process of the endpoint, which is alive.
test('a stream goes on elsewhere if its endpoint has restarted under its id before the end is read', async (t) => {
  const rig = await RouterRig.startReady();
  let born = 1;
  let cutSocket: ServerResponse['socket'] = null;
  const server = await startServer((request, response) => {
    const { headers, method = '', url = '' } = request;
    const call = { method, path: url, headers, body: '' };
    if (url === '/-/report') response.end(JSON.stringify({ born, numWaiting: 0, runs: [] }));
    else if (cutSocket) sendStream(call, response, 'chunks');
    else {
      cutSocket = response.socket;
      sendBrokenAnswer(call, response, { ...UNMARKED_CUT, cut: 'silence' });
    }
  });
  for (const id of ['m-1', 'm-2']) rig.store.remove(`servers/${id}`);
  const restarting = { ...rig.runners[0]!, id: 'w-1', address: server.address.replace('http://', '') };
  rig.publish(restarting, 'drafts');
  await waitForEndpoint(rig, 'w-1');
  const outcome = requestStream(rig, randomUUID());
  await rig.waitUntil(() => cutSocket !== null);
  born = 2;
  rig.publish(restarting, 'drafts', { born });
  await rig.waitUntil(() => rig.events.some(({ fields }) => fields.state === 'ready since start 2'));
  (cutSocket as ServerResponse['socket'])?.end();
  const result = await outcome;
  await rig.close();
  await server.close();
  t.is(result, 'complete 1,2,3,4,5,6');
});
