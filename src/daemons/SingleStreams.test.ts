import test from 'ava';
import { sendBrokenAnswer, sendStream, UNMARKED_END } from '../standins/platform/BrokenAnswer.js';
import { RouterRig } from '../standins/platform/RouterRig.js';
import type { AnswerRunnerCall, IRunnerCall, IRunnerStandIn } from '../standins/platform/ScriptedRunner.js';
import { formatStreamOutcome } from '../standins/platform/StreamRig.js';

const sendUnmarked: AnswerRunnerCall = (call, response) => {
  sendStream(call, response, 'connection');
};
const sendUnmarkedPart: AnswerRunnerCall = (call, response) => {
  sendBrokenAnswer(call, response, { ...UNMARKED_END, cut: 'fin' });
};

/** Starts a rig whose endpoints answer each call of a stream alike. */
async function startRig(
  answer: (runner: IRunnerStandIn) => AnswerRunnerCall,
  endpointCount = 2,
): Promise<RouterRig> {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners) runner.answer = answer(runner);
  if (endpointCount === 1) {
    rig.store.remove('servers/m-2');
    await rig.waitUntil(() => rig.events.some(({ fields }) => fields.health === 'gone'));
  }
  return rig;
}

/** Requests a stream that may not be resumed. Describes its outcome and the number of its runs. */
async function requestOnce(rig: RouterRig, name: string): Promise<string> {
  const result = await rig.send(`/once/${name}`, { model: '*' });
  const runs = rig.runners.flatMap(({ calls }) => calls).filter(({ path }) => path.endsWith(`/${name}`));
  return `${formatStreamOutcome(result)}, ${runs.length} runs`;
}

// Guards against LOST: after each start of its host, whole streams lose the mark of their end.
for (const endpointCount of [1, 2])
  test(`streams that may run once are whole after a start at ${endpointCount} endpoints that mark no ends`, async (t) => {
    const rig = await startRig(() => sendUnmarked, endpointCount);
    const outcomes: string[] = [];
    for (let index = 0; index < 4; index += 1) outcomes.push(await requestOnce(rig, `calm-${index}`));
    await rig.close();
    t.deepEqual(
      outcomes,
      outcomes.map(() => 'complete 1,2,3,4,5,6, 1 runs'),
    );
  });

// Guards against LOST where the endpoints are reached by way of another host, and the end comes from there.
test('a stream that may run once is whole after a start behind a relay', async (t) => {
  const rig = await RouterRig.startReady({ hasPeers: true });
  const relay = await rig.startPeer('host-2');
  rig.link.stop('refused', 'reset');
  await rig.waitUntil(async () => (await rig.send('/look/1')).status === 200);
  for (const runner of rig.runners) runner.answer = sendUnmarked;
  const outcome = await requestOnce(rig, 'relayed');
  const paths = rig.events.filter(({ kind }) => kind === 'answer.doubted').map(({ fields }) => fields.path);
  await relay.close();
  await rig.close();
  t.deepEqual({ outcome, paths }, { outcome: 'complete 1,2,3,4,5,6, 1 runs', paths: ['relayed'] });
});

// Guards against ends that are held back for good: all streams of a service stay at one of its endpoints.
test('an endpoint that gets all streams of its service shows after some that it marks no ends', async (t) => {
  const rig = await startRig(() => sendUnmarked, 1);
  await rig.addRunner('m-3', 'drafts', { models: [{ name: 'other', version: 1 }] });
  await rig.waitUntil(() => rig.events.some(({ fields }) => fields.key === 'servers/m-3'));
  await Promise.all(Array.from({ length: 8 }, (_, index) => requestOnce(rig, `warm-${index}`)));
  const outcome = await requestOnce(rig, 'last');
  await rig.close();
  const doubts = rig.events.filter(({ kind }) => kind === 'answer.doubted');
  t.deepEqual(
    { outcome, streamEnds: doubts.at(-1)?.fields.streamEnds },
    { outcome: 'complete 1,2,3,4,5,6, 1 runs', streamEnds: 'unmarked' },
  );
});

// Guards against ORDER: a part is believed before the heads of the next streams show that the service marks its ends.
test('the first stream after a start is broken off if a stream that begins after its end has a mark', async (t) => {
  const rig = await startRig(() => (call, response) => {
    if (call.path.endsWith('/first')) void sendUnmarkedPart(call, response);
    else sendStream(call, response, 'chunks');
  });
  const first = requestOnce(rig, 'first');
  await rig.waitUntil(() => rig.events.some(({ kind }) => kind === 'attempt.checked'));
  const second = await requestOnce(rig, 'second');
  const outcomes = [await first, second];
  await rig.close();
  t.deepEqual(outcomes, ['broken 1,2,3, 1 runs', 'complete 1,2,3,4,5,6, 1 runs']);
});

/** What an endpoint does besides ending its stream in order. */
const CONTRADICTIONS: Readonly<Record<string, (runner: IRunnerStandIn, call: IRunnerCall) => void>> = {
  'does not reply': (runner) => {
    runner.pause = new Promise((resolve) => setTimeout(resolve, 3000));
  },
  'still runs the call': (runner, { headers }) => {
    runner.reportedRuns = [[headers['attempt-id']?.toString() ?? '', 100, 3, 5]];
  },
  'has made more events': (runner, { headers }) => {
    runner.reportedRuns = [[headers['attempt-id']?.toString() ?? '', 100, 6, 5]];
  },
};

// Guards against ORDER: nothing is known of the service, and the word of its endpoint is against the end.
for (const [name, contradict] of Object.entries(CONTRADICTIONS))
  test(`the first stream after a start is broken off if its endpoint ${name}`, async (t) => {
    const rig = await startRig((runner) => (call, response) => {
      contradict(runner, call);
      void sendUnmarkedPart(call, response);
    });
    const outcome = await requestOnce(rig, 'first');
    await rig.close();
    t.is(outcome, 'broken 1,2,3, 1 runs');
  });
