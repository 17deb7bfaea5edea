import { spawnSync } from 'node:child_process';
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import test from 'ava';
import {
  EVIDENT_CUT,
  FRAMINGS,
  LAST_EVENT,
  PLACES,
  sendBrokenAnswer,
  sendStream,
  UNMARKED_END,
  type IBrokenAnswer,
} from '../standins/platform/BrokenAnswer.js';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { buildRunnerHeaders, startStream } from '../standins/platform/ScriptedRunner.js';
import { requestStream, runStream, startStreamRig, waitForEndpoint } from '../standins/platform/StreamRig.js';

/** A kind of broken stream, and in which run of the stream it occurs. */
type BrokenCase = IBrokenAnswer & { run: 'first' | 'resumed' };

const WHOLE_STREAM = 'complete 1,2,3,4,5,6';
/** Pause after which an observed reset no longer affects other answers. */
const RESET_PAUSE_MS = 80;

/** Time for which a thread is blocked: longer than an answer of the worker takes to arrive and to be cut. */
const BLOCK_S = 0.2;

function listCases(): BrokenCase[] {
  const cuts = FRAMINGS.flatMap((framing) => [
    { framing, place: 'between-events', cut: 'silence', timing: 'at-once' } as const,
    ...PLACES.flatMap((place) =>
      (['fin', 'reset'] as const).flatMap((cut) =>
        (['at-once', 'after-25-ms'] as const).map((timing) => ({ framing, place, cut, timing })),
      ),
    ),
  ]);
  // The connection alone does not tell these from answers that are complete.
  const isAmbiguous = ({ cut, framing, place }: IBrokenAnswer): boolean =>
    framing === 'connection' && cut === 'fin' && place !== 'inside-event';
  const brokenCuts = cuts.filter((answer) => !isAmbiguous(answer));
  return brokenCuts.flatMap((answer) => (['first', 'resumed'] as const).map((run) => ({ ...answer, run })));
}

async function runCases(cases: readonly BrokenCase[]): Promise<[string, string][]> {
  const rig = await startStreamRig((run, call, response) => {
    const brokenCase = cases[Number(call.path.split('/').at(-1))]!;
    const brokenRun = brokenCase.run === 'first' ? 0 : 1;
    if (run > brokenRun) sendStream(call, response, 'chunks');
    else sendBrokenAnswer(call, response, run < brokenRun ? EVIDENT_CUT : brokenCase);
  });
  const outcomes: [string, string][] = [];
  for (const [index, { cut, framing, place, run, timing }] of cases.entries()) {
    const name = [run, framing, place, cut, timing].join(' ');
    outcomes.push([name, await requestStream(rig, String(index))]);
    await new Promise((resolve) => setTimeout(resolve, RESET_PAUSE_MS));
  }
  await rig.close();
  return outcomes;
}

// Guards against ORDER: a stream that breaks off reaches its caller as if it were complete.
test('a stream that breaks off in any way goes on elsewhere and never looks complete with a piece missing', async (t) => {
  const cases = listCases();
  const outcomes: [string, string][] = [];
  // The retry budget of a new rig allows six cases, half of them in a resumed run.
  const runGroups = async (): Promise<void> => {
    while (cases.length > 0) outcomes.push(...(await runCases(cases.splice(0, 6))));
  };
  await Promise.all(Array.from({ length: 7 }, runGroups));
  const wrong = outcomes.filter(([, outcome]) => outcome !== WHOLE_STREAM).sort();
  const falselyComplete = wrong.filter(([, outcome]) => outcome.startsWith('complete'));
  const notContinued = wrong.filter((entry) => !falselyComplete.includes(entry));
  const expected = { falselyComplete: [], notContinued: [], count: 110 };
  t.deepEqual({ falselyComplete, notContinued, count: outcomes.length }, expected);
});

// Guards against ORDER: a process that dies closes its connections in order, which looks like the end of its streams.
test('a stream that ends with its connection goes on elsewhere if its endpoint dies', async (t) => {
  const result = await runStream((run, call, response, runner) => {
    if (run === 0) sendBrokenAnswer(call, response, { ...UNMARKED_END, cut: 'silence' });
    else sendStream(call, response, 'chunks');
    if (run === 0) setTimeout(() => void runner.close(), 25);
  });
  t.deepEqual(result, [WHOLE_STREAM, [1, 1]]);
});

// Guards against ORDER: an endpoint that marks the ends of its streams is believed about one without a mark.
test('a stream that ends with its connection goes on elsewhere if its endpoint marked the ends of others', async (t) => {
  const state = { isCut: false };
  const rig = await startStreamRig((_run, call, response, { calls }) => {
    const isCutNow = !state.isCut && calls.length > 3;
    if (isCutNow) sendBrokenAnswer(call, response, { ...UNMARKED_END, cut: 'fin' });
    else sendStream(call, response, 'chunks');
    state.isCut ||= isCutNow;
  });
  const outcomes: string[] = [];
  while (!state.isCut && outcomes.length < 20)
    outcomes.push(await requestStream(rig, String(outcomes.length)));
  await rig.close();
  const runs = rig.runners.flatMap(({ calls }) => calls).length;
  t.deepEqual([...outcomes, runs], [...outcomes.map(() => WHOLE_STREAM), outcomes.length + 1]);
});

// Guards against streams that are broken off or run twice although their connection marks their end.
test('a stream is complete at a live endpoint that ends all its streams with the connection, and run once after the first', async (t) => {
  const rig = await startStreamRig((_run, call, response) => {
    sendStream(call, response, 'connection');
  });
  const countRuns = (): number => rig.runners.flatMap(({ calls }) => calls).length;
  const first = [await requestStream(rig, 'first'), countRuns()];
  const outcomes: string[] = [];
  for (const name of ['second', 'third', 'fourth']) outcomes.push(await requestStream(rig, name));
  const runs = countRuns() - Number(first[1]);
  await rig.close();
  t.snapshot({ first, outcomes, runs });
});

// Guards against an empty success: an endpoint that produced nothing is believed.
test('a stream that is complete and has no event is sent again', async (t) => {
  const outcomes: unknown[] = [];
  for (const framing of FRAMINGS) {
    const result = await runStream((run, call, response) => {
      sendStream(call, response, run === 0 ? framing : 'chunks', run === 0 ? 0 : LAST_EVENT);
    });
    outcomes.push([framing, ...result]);
  }
  const expected = FRAMINGS.map((framing) => [framing, WHOLE_STREAM, [1, 1]]);
  t.deepEqual(outcomes, expected);
});

// Guards against ORDER: an endpoint that cannot resume a stream answers with an empty one, and the rest is missing.
for (const [lastEvent, expected] of [
  [LAST_EVENT, WHOLE_STREAM],
  [3, 'broken 1,2,3'],
] as const) {
  const name =
    lastEvent === LAST_EVENT
      ? 'is complete if another endpoint sends the rest'
      : 'is broken off if all are empty';
  test(`a stream with an empty continuation ${name}`, async (t) => {
    const outcomes: unknown[] = [];
    for (const framing of FRAMINGS) {
      const result = await runStream((run, call, response) => {
        if (run === 0) sendBrokenAnswer(call, response, EVIDENT_CUT);
        else sendStream(call, response, run === 1 ? framing : 'chunks', run === 1 ? 0 : lastEvent);
      });
      outcomes.push([framing, ...result]);
    }
    const expectedOutcomes = FRAMINGS.map((framing) => [framing, expected, [1, 1, 1]]);
    t.deepEqual(outcomes, expectedOutcomes);
  });
}

// Guards against ORDER: by a spoilt status, a part of a stream or nothing is delivered as a plain answer.
test('a stream goes on elsewhere if its endpoint answers with another success than 200', async (t) => {
  const outcomes: unknown[] = [];
  for (const status of [204, 206, 304])
    outcomes.push(
      await runStream((run, call, response) => {
        if (run === 0) response.writeHead(status, buildRunnerHeaders(call)).end();
        else sendStream(call, response, 'chunks');
      }),
    );
  t.deepEqual(
    outcomes,
    [204, 206, 304].map(() => [WHOLE_STREAM, [1, 1]]),
  );
});

// Guards against ORDER: without an id the next endpoint cannot go on, and sends the stream from its beginning.
test('a stream without ids that breaks off is not sent twice', async (t) => {
  const rig = await startStreamRig((_run, call, response) => {
    startStream(call, response);
    response.write('data: piece\n\n');
    setTimeout(() => response.destroy(), 20);
  });
  const { body, isComplete } = await rig.send('/stream/1', { model: '*' });
  await rig.close();
  t.deepEqual({ body, isComplete }, { body: 'data: piece\n\n', isComplete: false });
});

// Guards against ORDER: a busy thread reads the last bytes and a later reset together, and sees the end of the answer.
test.serial('a stream whose connection is reset while the router is busy goes on elsewhere', async (t) => {
  const cuts = PLACES.map((place) => ({ ...UNMARKED_END, place, cut: 'reset' as const }));
  const answers = new Map(cuts.map((cut) => [`/stream/${cut.place}`, cut]));
  const workerUrl = new URL('../standins/platform/BrokenRunnerWorker.js', import.meta.url);
  const worker = new Worker(workerUrl, { workerData: answers });
  const [addresses] = (await once(worker, 'message')) as [string[]];
  worker.on('message', () => {
    spawnSync('sleep', [String(BLOCK_S)]);
  });
  const rig = await RouterRig.startReady();
  for (const id of ['m-1', 'm-2']) rig.store.remove(`servers/${id}`);
  for (const [index, address] of addresses.entries())
    rig.publish({ ...rig.runners[0]!, id: `w-${index + 1}`, address }, 'drafts');
  await waitForEndpoint(rig, 'w-2');
  const outcomes: [string, string][] = [];
  for (const place of PLACES) {
    outcomes.push([place, await requestStream(rig, place)]);
    await new Promise((resolve) => setTimeout(resolve, RESET_PAUSE_MS));
  }
  await rig.close();
  await worker.terminate();
  const expected = PLACES.map((place) => [place, WHOLE_STREAM]);
  t.deepEqual(outcomes, expected);
  // Each reset is told at once, without a question to the endpoint.
  t.false(rig.events.some(({ kind }) => kind === 'answer.doubted'));
});
