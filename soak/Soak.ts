import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { createSeededRandom } from '../src/adapters/Random.js';
import type { Millis } from '../src/common/Types.js';
import { waitFor } from '../src/standins/HttpTools.js';
import { startSilentAddress } from '../src/standins/SilentAddress.js';
import { startRevisionStoreServer } from '../src/standins/platform/RevisionStoreServer.js';
import { ANSWER_CHECKS } from './AnswerChecks.js';
import { BOUND_CHECKS } from './BoundChecks.js';
import { CheckController } from './CheckController.js';
import { planSoakFaults } from './FaultPlan.js';
import { LINK_CHECKS } from './LinkChecks.js';
import { FLEET_CHECKS } from './RouterChecks.js';
import { runFaultChain } from './Injectors.js';
import { RouterFleet } from './RouterFleet.js';
import { SoakBoard } from './SoakBoard.js';
import { SoakCallers } from './SoakCallers.js';
import { SoakOperator } from './SoakOperator.js';
import { SoakRunner } from './SoakRunner.js';
import { MODEL_SERVICE, PLAIN_SERVICE } from './Traffic.js';
import type { ICallEntry, ISoakOutcome, SoakProfile } from './Types.js';

/** Options of one soak. */
export interface ISoakOptions {
  seed: number;
  /** Time during which faults are started. Default 15 s. */
  durationMs?: Millis;
  /** Number of router processes. Default 3. */
  routers?: number;
  /** Number of callers. Default 12. */
  callers?: number;
  /** Default: `planned` for every third seed, `mixed` for the others. */
  profile?: SoakProfile;
  /** Folder for the routers' settings and logs. They are removed if the soak has no findings. */
  folder: string;
}

const MODEL_RUNNER_COUNT = 4;
const PLAIN_RUNNER_COUNT = 3;

/** Limit that the platform sets: time from the last fault until callers are served again. */
const RECOVERY_LIMIT_MS: Millis = 12_000;

/** Time under load after the recovery, and the least share of its calls that must be served. */
const LOAD_AFTER_RECOVERY_MS: Millis = 2000;
const MIN_SERVED_SHARE = 0.25;
const READY_POLL_MS: Millis = 100;

/** Runs real router processes under load and faults, and returns which promises they broke. */
export async function runSoak(options: ISoakOptions): Promise<ISoakOutcome> {
  const { callers = 12, durationMs = 15_000, routers = 3, seed } = options;
  const profile = options.profile ?? (seed % 3 === 0 ? 'planned' : 'mixed');
  const folder = join(options.folder, String(seed));
  mkdirSync(folder, { recursive: true });
  const startedAt = performance.now();
  const board = new SoakBoard(() => performance.now() - startedAt);
  const eventLoopDelay = monitorEventLoopDelay();
  eventLoopDelay.enable();
  const checks = new CheckController(board, [
    ...ANSWER_CHECKS,
    ...FLEET_CHECKS,
    ...BOUND_CHECKS,
    ...LINK_CHECKS,
  ]);
  const store = await startRevisionStoreServer();
  const operator = new SoakOperator(board, store);
  const random = createSeededRandom(seed);
  const runners: SoakRunner[] = [];
  for (const [service, count] of [
    [MODEL_SERVICE, MODEL_RUNNER_COUNT],
    [PLAIN_SERVICE, PLAIN_RUNNER_COUNT],
  ] as const) {
    for (let index = 0; index < count; index += 1) {
      runners.push(await SoakRunner.start({ id: `${service}-${index}`, service, board, random, store }));
    }
  }
  const storePort = Number(new URL(store.address).port);
  const fleet = await RouterFleet.start({ board, count: routers, folder, storePort });
  await waitForRouters(board);
  const soakCallers = new SoakCallers({ board, count: callers, random });
  const faultChains = planSoakFaults(profile, createSeededRandom(seed), durationMs);
  const silent = await startSilentAddress();
  const silentPort = Number(silent.address.split(':')[1]);
  const targets = { board, routers: fleet, runners, store, operator, silentPort };
  await Promise.all(faultChains.map((chain) => runFaultChain(targets, chain)));
  await checkRecovery(board);
  await soakCallers.stop();
  checks.runFinalChecks();
  await fleet.close();
  silent.close();
  for (const runner of runners) await runner.close();
  await store.close();
  checks.dispose();
  eventLoopDelay.disable();
  const findings = [...board.findings.list()];
  if (findings.length === 0) rmSync(folder, { recursive: true });
  return {
    seed,
    profile,
    calls: board.calls.size,
    served: [...board.calls.list()].filter(isServed).length,
    runs: board.runs.size,
    faults: board.faults.size,
    lagMs: Math.round(eventLoopDelay.max / 1e6),
    findings,
  };
}

async function waitForRouters(board: SoakBoard): Promise<boolean> {
  const deadline = board.now() + RECOVERY_LIMIT_MS;
  while (board.now() < deadline) {
    if ([...board.routers.list()].every(({ state }) => state === 'ready')) return true;
    await waitFor(READY_POLL_MS);
  }
  return false;
}

/** Checks that all routers become ready in time after the last fault, and that calls are then served. */
async function checkRecovery(board: SoakBoard): Promise<void> {
  if (!(await waitForRouters(board))) {
    const states = [...board.routers.list()].map(({ id, state }) => `${id} ${state}`);
    board.addFinding(
      'recovery',
      `not all routers were ready ${RECOVERY_LIMIT_MS} ms after the last fault: ${states.join(', ')}`,
    );
  }
  const loadStartedAt = board.now();
  await waitFor(LOAD_AFTER_RECOVERY_MS);
  const endedCalls = [...board.calls.list()].filter(
    ({ endedAt, sentAt }) => sentAt > loadStartedAt && endedAt !== undefined,
  );
  const servedCalls = endedCalls.filter(isServed);
  if (servedCalls.length > MIN_SERVED_SHARE * endedCalls.length) return;
  board.addFinding(
    'recovery',
    `${servedCalls.length} of ${endedCalls.length} calls were served after the faults`,
  );
}

function isServed({ isComplete, status }: Readonly<ICallEntry>): boolean {
  return isComplete === true && status === 200;
}
