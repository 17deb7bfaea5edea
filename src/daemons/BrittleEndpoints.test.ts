import test from 'ava';
import { RouterRig } from '../standins/platform/RouterRig.js';
import {
  buildRunnerHeaders,
  sendFullAnswer,
  type IRunnerStandIn,
} from '../standins/platform/ScriptedRunner.js';

const SLOTS = 2;
const WORK_MS = 100;
/** Refusals in a second beyond which an endpoint falls over. */
const MAX_REFUSALS_PER_S = 5;
/** Time after the first announcement in which endpoints still bear more. */
const GRACE_MS = 3000;
const LOAD_MS = 7000;
/** Twice what the two endpoints can do. */
const CALLS_PER_S = 80;

/** Makes an endpoint of plain calls run `SLOTS` calls at a time and refuse the others, and collects the times of its refusals. */
function limitRoom(runner: IRunnerStandIn): number[] {
  const refusals: number[] = [];
  let running = 0;
  runner.answer = async (call, response) => {
    response.setHeader('server-brittle', String(MAX_REFUSALS_PER_S));
    if (running >= SLOTS) {
      refusals.push(performance.now());
      response.writeHead(503, { ...buildRunnerHeaders(call), 'not-executed': '1' }).end();
      return;
    }
    running += 1;
    await new Promise((resolve) => setTimeout(resolve, WORK_MS));
    running -= 1;
    sendFullAnswer(call, response, 200, 'done');
  };
  return refusals;
}

function countMostPerS(times: readonly number[]): number {
  return Math.max(0, ...times.map((from) => times.filter((at) => at >= from && at < from + 1000).length));
}

// Guards against LIMIT: the hosts together make brittle endpoints refuse more in a second than they bear.
test('hosts together stay below the refusals that brittle endpoints bear', async (t) => {
  const rig = await RouterRig.startReady({ hasPeers: true });
  const hosts = [rig, await rig.startPeer('host-2'), await rig.startPeer('host-3')];
  const runners = rig.runners.filter(({ id }) => id.startsWith('p-'));
  for (const runner of runners) rig.publish(runner, 'ledger', { slots: SLOTS });
  const refusals = runners.map(limitRoom);
  const startedAt = performance.now();
  const calls: Promise<number>[] = [];
  while (performance.now() < startedAt + LOAD_MS) {
    const host = hosts[calls.length % hosts.length] ?? rig;
    calls.push(host.send('/look/1', { 'deadline-ms': '1000' }).then(({ status }) => status));
    await new Promise((resolve) => setTimeout(resolve, 1000 / CALLS_PER_S));
  }
  const statuses = await Promise.all(calls);
  for (const host of [...hosts].reverse()) await host.close();
  const mostPerS = refusals.map((times) => countMostPerS(times.filter((at) => at > startedAt + GRACE_MS)));
  const servedPerS = statuses.filter((status) => status === 200).length / (LOAD_MS / 1000);
  t.true(Math.max(...mostPerS) <= MAX_REFUSALS_PER_S, `${mostPerS.join()} refusals a second`);
  t.true(servedPerS >= 0.5 * ((2 * SLOTS * 1000) / WORK_MS), `${servedPerS} served a second`);
});
