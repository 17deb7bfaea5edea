import test from 'ava';
import { sendBrokenAnswer, sendStream, UNMARKED_END } from '../standins/platform/BrokenAnswer.js';
import { sendUnmarkedAnswer } from '../standins/platform/PlainAnswers.js';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { formatStreamOutcome } from '../standins/platform/StreamRig.js';

const ANNOUNCEMENT_KEY = 'mulberryweir/hosts/host-1';

/** Starts a rig whose endpoints mark no ends, and waits until its host has announced that. */
async function startAnnouncedRig(): Promise<RouterRig> {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners)
    runner.answer = (call, response) => {
      if (runner.id.startsWith('m-')) sendStream(call, response, 'connection');
      else sendUnmarkedAnswer(call, response, 'whole');
    };
  // Enough also if all streams go to one endpoint.
  const names = Array.from({ length: 8 }, (_, index) => index);
  const paths = names.flatMap((name) => [`/once/${name}`, `/post/${name}`]);
  await Promise.all(paths.map((path) => rig.send(path, { model: '*' })));
  const isAnnounced = (): boolean => {
    const { unmarkedEnds = [] } = (rig.store.read(ANNOUNCEMENT_KEY) ?? {}) as { unmarkedEnds?: unknown[] };
    return unmarkedEnds.length === 2;
  };
  await rig.waitUntil(isAnnounced);
  return rig;
}

// Guards against whole answers that a host loses or holds back after its start, though other hosts know how they end.
test('a host that starts knows from the announcements of others which answers have no mark', async (t) => {
  const rig = await startAnnouncedRig();
  const peer = await rig.startPeer('host-2');
  const stream = formatStreamOutcome(await peer.send('/once/first', { model: '*' }));
  const { body, status } = await peer.send('/post/first');
  const held = peer.events.filter(({ kind }) => kind === 'answer.held').length;
  await peer.close();
  await rig.close();
  t.deepEqual(
    { stream, plain: `${status} ${body}`, held },
    { stream: 'complete 1,2,3,4,5,6', plain: '200 whole', held: 0 },
  );
});

// Guards against ORDER: what other hosts have announced takes the place of the question to another endpoint.
test('a stream that may be resumed is confirmed by another endpoint whatever other hosts have announced', async (t) => {
  const rig = await startAnnouncedRig();
  let runs = 0;
  for (const runner of rig.runners)
    runner.answer = (call, response) => {
      runs += 1;
      if (runs === 1) sendBrokenAnswer(call, response, { ...UNMARKED_END, cut: 'fin' });
      else sendStream(call, response, 'chunks');
    };
  const peer = await rig.startPeer('host-2');
  const outcome = formatStreamOutcome(await peer.send('/stream/first', { model: '*' }));
  await peer.close();
  await rig.close();
  t.is(outcome, 'complete 1,2,3,4,5,6');
});
