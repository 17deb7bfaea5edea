import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Millis } from '../../common/Types.js';
import { findFreePort, waitFor } from '../HttpTools.js';
import { startRevisionStoreServer, type IRevisionStoreStandIn } from './RevisionStoreServer.js';
import { TEST_CONFIGURATION } from './RouterRig.js';
import { formatTestSettings } from './RouterSettings.js';
import { startRunnerStandIn, type AnswerRunnerCall, type IRunnerStandIn } from './ScriptedRunner.js';

/** The bundle that is deployed, or the modules that it is made of. */
export type RouterProgram = 'bundle' | 'modules';

const SCRIPTS: Readonly<Record<RouterProgram, string>> = {
  bundle: fileURLToPath(new URL('../../../router/RouterMain.cjs', import.meta.url)),
  modules: fileURLToPath(new URL('../../daemons/RouterMain.js', import.meta.url)),
};

/** As in deploy/system.toml: with more memory, a process would survive what ends it in a deployment. */
const DEPLOYED_HEAP_MB = 158;
const DEFAULT_SLOTS = 8;

const READY_CHECK_INTERVAL_MS: Millis = 10;
const MAX_READY_CHECKS = 400;

/** A router process on a store and endpoints of the test's own process. */
export interface IRouterProcessRig {
  child: ChildProcess;
  /** `ip:port` for callers. */
  address: string;
  /** `ip:port` of the readiness check. */
  readyAddress: string;
  store: IRevisionStoreStandIn;
  /** Endpoints for models and for plain calls. */
  runners: readonly IRunnerStandIn[];
  close: () => Promise<void>;
}

/** What the process and its endpoints have. */
export interface IProcessOptions {
  /** Size of the heap. Default: as in deploy/system.toml. */
  heapMb?: number;
  /** Memory and descriptors in the settings of the host. Default: not known. */
  memoryMb?: number;
  maxFds?: number;
  /** Slots of each endpoint. Default 8. */
  slots?: number;
}

/** Starts a router process with one endpoint of each service, and waits until it is ready. */
export async function startRouterProcess(
  answer: AnswerRunnerCall,
  stopMs: Millis,
  program: RouterProgram = 'bundle',
  { heapMb = DEPLOYED_HEAP_MB, slots = DEFAULT_SLOTS, ...limits }: IProcessOptions = {},
): Promise<IRouterProcessRig> {
  const store = await startRevisionStoreServer();
  store.put('op/config', TEST_CONFIGURATION);
  const runners = [await startRunnerStandIn('m-1'), await startRunnerStandIn('p-1')];
  for (const runner of runners) {
    runner.answer = answer;
    publishRunner(store, runner, slots);
  }
  const folder = mkdtempSync(join(tmpdir(), 'mulberryweir-'));
  const file = join(folder, 'router.ini');
  const [front, ready, metrics] = [await findFreePort(), await findFreePort(), await findFreePort()];
  const ports = { front, ready, metrics };
  const address = store.address.replace('http://', '');
  const host = { id: 'host-1', ip: '127.0.0.1', ports, store: address, retryShare: 0.9, stopMs, ...limits };
  writeFileSync(file, formatTestSettings(host));
  const child = spawn(process.execPath, [`--max-old-space-size=${heapMb}`, SCRIPTS[program], file], {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  await waitUntilReady(ready);
  const close = async (): Promise<void> => {
    child.kill('SIGKILL');
    for (const runner of runners) await runner.close();
    await store.close();
    rmSync(folder, { recursive: true });
  };
  const addresses = { address: `127.0.0.1:${front}`, readyAddress: `127.0.0.1:${ready}` };
  return { child, ...addresses, store, runners, close };
}

/** Sends a signal to a process and waits until it has ended. */
export async function stopProcess(child: ChildProcess, signal: NodeJS.Signals): Promise<void> {
  child.kill(signal);
  await once(child, 'exit');
}

function publishRunner(store: IRevisionStoreStandIn, { address, id }: IRunnerStandIn, slots: number): void {
  const isModel = id.startsWith('m-');
  const models = isModel ? [{ name: 'small', version: 1 }] : [];
  const common = { address, zone: 'a', version: 'v1', slots, state: 'ready', born: 1 };
  store.put(`servers/${id}`, { ...common, service: isModel ? 'drafts' : 'ledger', models });
}

async function waitUntilReady(port: number): Promise<void> {
  for (let checks = 0; checks < MAX_READY_CHECKS; checks += 1) {
    const reply = await fetch(`http://127.0.0.1:${port}/-/ready`).catch(() => undefined);
    if (reply?.status === 200) return;
    await waitFor(READY_CHECK_INTERVAL_MS);
  }
  throw new Error(`The router was not ready within ${MAX_READY_CHECKS} checks.`);
}
