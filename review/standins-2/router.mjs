import { spawn } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { once } from 'node:events';
import { join } from 'node:path';
import { findFreePort, wait } from './net.mjs';

/** Settings of a machine as in the platform's pages, with the bounds of a small deployment. */
const DEFAULTS = {
  zone: 'zone-a',
  bounds: {
    retryBudgetRatio: 0.9,
    graceS: 8,
    sessionS: 5,
    exposeShare: 0.15,
    exposeSlack: 30,
    contactMs: 3000,
    configApplyMs: 2000,
  },
  limits: { linkMbps: 1000, memoryMb: 350, maxFds: 4100 },
};

function fillTemplate(text, fields) {
  return text.replace(/\{\{([\w.]+)\}\}/g, (_, path) => {
    const value = path.split('.').reduce((entry, name) => entry?.[name], fields);
    return value === undefined || value === null ? '' : String(value);
  });
}

/** Reads the command and the template of the deploy file. */
function readDeployFile() {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const readField = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)?.[1] ?? '';
  return { run: readField('run'), template: readField('template') };
}

/**
 * Starts a router with the command of the deploy file and waits until it is ready. The working directory has to be the
 * root of the repository.
 */
export async function startRouter({ folder, store, node = 'front-1', ip = '127.0.0.1', log, ...overrides }) {
  const { run, template } = readDeployFile();
  const [front, ready, metrics, peer] = [
    await findFreePort(ip),
    await findFreePort(ip),
    await findFreePort(ip),
    await findFreePort(ip),
  ];
  const fields = {
    ...DEFAULTS,
    node,
    ip,
    listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
    internalPorts: [metrics, peer],
    platform: { address: store.address },
    ...overrides,
  };
  const file = join(folder, `${node}.ini`);
  writeFileSync(file, fillTemplate(readFileSync(template, 'utf8'), fields));
  const [command, ...words] = run.split(' ');
  const env = { PATH: process.env.PATH, HOME: process.env.HOME, MULBERRYWEIR_CONFIG: file };
  const launch = () => {
    const child = spawn(command, words, { env, stdio: ['ignore', log ? 'pipe' : 'ignore', 'inherit'] });
    if (log) child.stdout.on('data', log);
    return child;
  };
  const router = { address: fields.listen.front, readyAddress: fields.listen.ready, child: launch() };
  router.waitUntilReady = async () => {
    for (let tries = 0; tries < 500; tries += 1) {
      const reply = await fetch(`http://${fields.listen.ready}/-/ready`).catch(() => undefined);
      if (reply?.status === 200) return;
      await wait(20);
    }
    throw new Error('The router was not ready within 10 s.');
  };
  router.kill = async (signal = 'SIGKILL') => {
    const { child } = router;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exited = once(child, 'exit');
    child.kill('SIGCONT');
    child.kill(signal);
    await exited;
  };
  router.restart = async () => {
    router.child = launch();
    await router.waitUntilReady();
  };
  await router.waitUntilReady();
  return router;
}
