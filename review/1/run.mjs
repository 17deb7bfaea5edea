import { CONFIGURATION, Deployment, KEY, TENANT, wait } from '../standins/Deployment.mjs';
import { DarkPort } from '../standins/DarkPort.mjs';
import { sendAnswer } from '../standins/Runner.mjs';

/** Fourteen machines: from twelve on, two of them read the store and the others ask these two for its news. */
const MACHINES = 14;
const DRAIN_MS = 2000;
const CONFIG_APPLY_MS = 2000;
/** How long after the loss of the machine the configuration changes. It is over `contactMs`, 3000 ms. */
const CHANGE_AFTER_MS = 8000;
const CHECKS = 6;
const CHECK_INTERVAL_MS = 700;

const REVOKED_KEY = 'k1bbbbbbbbbbbbbbbbbb';
const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Finds the machine that has called the store's watch most often. Every machine serves this figure on its metrics page. */
async function findReader(routers) {
  const counts = await Promise.all(
    routers.map(async (router) => {
      const found = /store_calls\{operation="watch",outcome="200"\} (\d+)/.exec(await router.readMetrics());
      return { router, watches: Number(found?.[1] ?? 0) };
    }),
  );
  counts.sort((first, second) => second.watches - first.watches);
  return counts[0].router;
}

async function play(deployment) {
  const { record } = deployment;
  const tenants = [{ name: TENANT, apiKeys: [KEY, REVOKED_KEY], priority: 1 }];
  const { store } = { store: await deployment.startStore({ ...CONFIGURATION, tenants }) };
  const answer = (call, response, runner) => sendAnswer(call, response, runner);
  const leaving = await deployment.startRunner({ id: 'i-ledger-1', service: 'ledger', slots: 6, answer });
  await deployment.startRunner({ id: 'i-ledger-2', service: 'ledger', slots: 6, answer });
  const names = Array.from({ length: MACHINES }, (_, index) => index + 1);
  const start = (number) =>
    deployment.startRouter(`front-zone-a-${number}`, { ip: `127.0.0.${10 + number}` });
  await Promise.all(names.map(start));
  await wait(4000);

  const lost = await findReader(deployment.routers);
  const others = deployment.routers.filter((router) => router !== lost);
  let darkPort;
  if (HAS_TROUBLE) {
    await lost.kill();
    darkPort = await new DarkPort(lost.ip, lost.ports[3]).start();
    record('machine-lost', { router: lost.name });
  }
  await wait(CHANGE_AFTER_MS);

  store.put(`servers/${leaving.id}`, leaving.announce('draining'));
  store.put('op/config', {
    ...CONFIGURATION,
    version: 19,
    tenants: [{ name: TENANT, apiKeys: [KEY], priority: 1 }],
  });
  const acknowledgedAt = Date.now();
  record('acknowledged', { version: 19, revoked: REVOKED_KEY, draining: leaving.id });
  await wait(Math.max(CONFIG_APPLY_MS, DRAIN_MS) + 200);

  const revoked = [];
  const proper = [];
  for (let check = 0; check < CHECKS; check += 1) {
    for (const router of others) {
      const path = `/look/${check}`;
      const headers = { Authorization: `Token ${REVOKED_KEY}` };
      revoked.push(deployment.send(router, { path, headers, timeoutMs: 3000 }));
      proper.push(deployment.send(router, { path, timeoutMs: 3000 }));
    }
    await wait(CHECK_INTERVAL_MS);
  }
  const revokedIds = new Set((await Promise.all(revoked)).map(({ id }) => id));
  const served = (await Promise.all(proper)).filter(({ status }) => status === 200).length;
  darkPort?.stop();

  const runs = deployment.runners.flatMap((runner) =>
    runner.runs.map((run) => ({ ...run, runner: runner.id })),
  );
  const stale = runs.filter(({ id }) => revokedIds.has(id));
  const drained = runs.filter(({ at, runner }) => runner === leaving.id && at > acknowledgedAt + DRAIN_MS);
  const lastMs = Math.max(0, ...stale.map(({ at }) => at - acknowledgedAt));
  record('result', {
    revokedSent: revokedIds.size,
    revokedRun: stale.length,
    lastMs,
    reachedDraining: drained.length,
    served,
  });
  if (served === 0) throw new Error('No proper request was served.');
  process.stdout.write(
    `${stale.length} of ${revokedIds.size} requests with the withdrawn key ran, the last ${lastMs} ms after the ` +
      `acknowledgement; ${drained.length} requests reached the draining runner later than drainMs.\n`,
  );
  return stale.length > 0 || drained.length > 0;
}

const deployment = new Deployment(process.env.RECORD);
let exitCode = 2;
try {
  exitCode = (await play(deployment)) ? 1 : 0;
} catch (error) {
  process.stderr.write(`${error.stack}\n`);
} finally {
  await deployment.stop();
}
process.exit(exitCode);
