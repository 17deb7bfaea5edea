import test from 'ava';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { sendEvents, startStream } from '../standins/platform/ScriptedRunner.js';

/** Two hosts with runners that end without output when they begin to answer a prompt with the part `bad`. */
async function startHosts(runnerCount: number) {
  const rig = await RouterRig.startReady();
  const peer = await rig.startPeer('host-2');
  for (let index = 3; index <= runnerCount; index += 1) await rig.addRunner(`m-${index}`, 'drafts');
  const state = { crashes: 0, isDeadly: true };
  for (const runner of rig.runners) {
    runner.answer = async (call, response) => {
      startStream(call, response);
      response.flushHeaders();
      if (state.isDeadly && call.headers['prompt-prefix']?.includes('bad:')) {
        state.crashes += 1;
        rig.store.remove(`servers/${runner.id}`);
        await runner.close();
        return;
      }
      sendEvents(response, 1, 2);
      response.end();
    };
  }
  let count = 0;
  /** Sends a prompt with these parts, and a last one of its own. */
  const send = async (host: RouterRig, parts: readonly string[]): Promise<number> => {
    count += 1;
    const list = [...parts, `own-${count}`].map((id) => `${id}:100`).join();
    return (await host.send(`/stream/${count}`, { model: '*', 'prompt-prefix': list })).status;
  };
  await rig.waitUntil(async () => (await send(rig, ['system'])) === 200);
  return { rig, peer, state, send };
}

const PAUSE_MS = 500;

// Guards against BUDGET: requests that share only a crashing part of their prompt end one runner after another.
test('a part of prompts that crashes runners is refused on all hosts, and sound prompts go on', async (t) => {
  const { peer, rig, send, state } = await startHosts(16);
  for (let index = 1; index <= 8; index += 1) {
    const host = index % 2 === 0 ? rig : peer;
    await send(host, ['system', 'bad', `other-${index}`]);
    await Promise.all([send(rig, ['system']), send(peer, ['system'])]);
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
  }
  const crashesBefore = state.crashes;
  const late: Record<string, number>[] = [];
  for (const [index, host] of [rig, peer, rig, peer].entries()) {
    const bad = await send(host, ['system', 'bad', `late-${index}`]);
    late.push({ bad, sameFirstPart: await send(host, ['system', 'more']) });
  }
  const kinds = rig.events.filter(({ kind }) => kind.startsWith('prompt.')).map(({ kind }) => kind);
  await peer.close();
  await rig.close();
  t.snapshot({ late, lateCrashes: state.crashes - crashesBefore, last: kinds.at(-1) });
});
