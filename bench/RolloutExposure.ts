import { Result } from 'true-myth';
import {
  buildEditorOptions,
  configCodec,
  decodeIndex,
  CONFIG_INDEX_KEY,
} from '../src/adapters/ConfigStore.js';
import { createSeededRandom } from '../src/adapters/Random.js';
import { Blackboard } from '../src/common/blackboard/Blackboard.js';
import {
  decideBySequentialTest,
  decideByTimeOnly,
  type DecideRollout,
} from '../src/common/policy/Rollouts.js';
import { formatRolloutKind, updateQuality } from '../src/common/rollout/Quality.js';
import { RolloutController } from '../src/common/rollout/RolloutController.js';
import { createWriteRolloutState } from '../src/common/rollout/RolloutIndex.js';
import type { IRolloutProgress } from '../src/common/rollout/Types.js';
import type { RandomSource } from '../src/common/Types.js';
import { ManualClock } from '../src/testing/ManualClock.js';
import { MemoryStore } from '../src/testing/MemoryStore.js';

/**
 * Quality of the new version in a simulated rollout. `minus-10` and `minus-60` give 10 % and 60 % fewer good
 * answers than the stable version, `turns-...` only from a random time on. With `crashing`, some requests fail.
 */
export type VersionBehaviour =
  'good' | 'minus-10' | 'minus-60' | 'turns-minus-10' | 'turns-minus-60' | 'crashing';

/** Outcome of one simulated rollout. */
export interface IRolloutRun {
  verdict: string;
  /** Bad and failed answers of the new version, counted from the time when it became bad. */
  badAnswers: number;
  /** Seconds from the time when the version became bad until the rollout was halted. */
  secondsToHalt: number | undefined;
}

const STABLE_QUALITY = 0.9;
const REQUESTS_PER_SECOND = 100;
/** Mean time until a rating arrives, in seconds. */
const RATING_DELAY_S = 30;
/** Share of the sampled answers that get a rating. */
const RATED_SHARE = 0.6;
/** Smallest share of the stable version's answers that are sent to the rating service. */
const MIN_STABLE_SAMPLED_SHARE = 0.1;
const SKIPPED_NUMBERS = 50;
/** Share of the requests to a `crashing` version that fail. */
const CRASH_SHARE = 0.3;
const STEP_S = 300;
/** Length of the baseline's five steps. In a longer run, only the baseline would give more bad answers. */
const HORIZON_S = 5 * STEP_S;

const DOCUMENT = `[service]
name = deposits
quality_target = 0.85
rollout_step_s = ${STEP_S}

[version large-1]
model = large
stage = stable
price_per_1k_tokens = 1

[version large-2]
model = large
stage = rolling-out
price_per_1k_tokens = 1
`;

/** Share by which the quality of the new version is lower than that of the stable version. */
const QUALITY_DROPS: Readonly<Record<VersionBehaviour, number>> = {
  good: 0,
  'minus-10': 0.1,
  'minus-60': 0.6,
  'turns-minus-10': 0.1,
  'turns-minus-60': 0.6,
  crashing: 0,
};

/** Simulates the rollout of `large-2` beside `large-1` with the real controller and configuration index. */
export async function simulateRollout(
  behaviour: VersionBehaviour,
  seed: number,
  decideRollout: DecideRollout,
  horizonS = HORIZON_S,
): Promise<IRolloutRun> {
  const simulation = await createSimulation(decideRollout);
  const random = createWarmedUpRandom(seed);
  const becomesBadAt = behaviour.startsWith('turns') ? Math.floor(random() * HORIZON_S) : 0;
  const dueRatings = new Map<number, { version: string; isGood: boolean }[]>();
  let badAnswers = 0;
  let haltedAt: number | undefined;
  for (let second = 0; second < horizonS; second += 1) {
    await simulation.run();
    const state = simulation.readState();
    if (state?.verdict === 'halted') haltedAt ??= second;
    const isBad = behaviour !== 'good' && second >= becomesBadAt;
    const fault = isBad ? { drop: QUALITY_DROPS[behaviour], crashes: behaviour === 'crashing' } : undefined;
    badAnswers += serveSecond(simulation.board, random, dueRatings, {
      second,
      share: state?.share ?? 0,
      fault,
    });
  }
  const secondsToHalt = haltedAt === undefined ? undefined : haltedAt - becomesBadAt;
  return { verdict: simulation.readState()?.verdict ?? 'none', badAnswers, secondsToHalt };
}

/** Creates a seeded generator. Skips its first numbers, because they hardly differ between small seeds. */
function createWarmedUpRandom(seed: number): RandomSource {
  const random = createSeededRandom(seed);
  for (let index = 0; index < SKIPPED_NUMBERS; index += 1) random();
  return random;
}

interface ISimulation {
  board: Blackboard;
  run: () => Promise<void>;
  readState: () => { verdict: string; share: number } | undefined;
}

async function createSimulation(decideRollout: DecideRollout): Promise<ISimulation> {
  const clock = new ManualClock();
  const board = new Blackboard();
  const store = new MemoryStore({ clock });
  const { encodeIndex } = buildEditorOptions(store);
  const document = configCodec.parseDocument(DOCUMENT);
  if (document.isErr) throw new Error(JSON.stringify(document.error));
  await store.put(CONFIG_INDEX_KEY, encodeIndex({ services: { deposits: 1 }, rollouts: {} }), {
    expectedVersion: 0,
  });
  const progress = new Map<string, IRolloutProgress>();
  const readStates = (): ReturnType<typeof decodeIndex>['rollouts'][string] => {
    const found = store.entries.get(CONFIG_INDEX_KEY);
    return found ? (decodeIndex(found.value).rollouts.deposits ?? {}) : {};
  };
  const controller = new RolloutController({
    board,
    clock,
    host: 'host-1',
    hostRunId: 'run-1',
    findLease: () => ({ isHeld: () => true, fencingToken: () => 1 }),
    sendToPeer: () => Promise.resolve(Result.err({ kind: 'unreachable', message: 'no peers' })),
    decodeReport: () => undefined,
    decideRollout,
    writeState: createWriteRolloutState({ store, codec: configCodec, encodeIndex }),
    readProgress: (_service, version) => Promise.resolve(progress.get(version)),
    writeProgress: (_service, version, value) => {
      progress.set(version, value);
      return Promise.resolve();
    },
  });
  let revision = 0;
  return {
    board,
    run: async () => {
      revision += 1;
      const rollouts = readStates();
      board.services.set('deposits', { name: 'deposits', document: document.value, revision, rollouts });
      await controller.run();
      await clock.advance(1000);
    },
    readState: () => readStates()['large-2'],
  };
}

interface ISimulatedSecond {
  second: number;
  share: number;
  fault: { drop: number; crashes: boolean } | undefined;
}

/** Serves the requests of one second and records the ratings due in it. Returns the number of bad answers. */
function serveSecond(
  board: Blackboard,
  random: RandomSource,
  dueRatings: Map<number, { version: string; isGood: boolean }[]>,
  { fault, second, share }: ISimulatedSecond,
): number {
  const counts = { 'large-1': createCounts(), 'large-2': createCounts() };
  // The rating controller samples the stable version in the same way: at least the share in the service
  // document, and as many answers as the new version gets.
  const stableSampledShare = Math.max(MIN_STABLE_SAMPLED_SHARE, share < 0.5 ? share / (1 - share) : 1);
  let badAnswers = 0;
  for (let index = 0; index < REQUESTS_PER_SECOND; index += 1) {
    const isNew = random() < share;
    const version = isNew ? 'large-2' : 'large-1';
    const quality = STABLE_QUALITY * (isNew && fault ? 1 - fault.drop : 1);
    const hasCrashed = isNew && fault?.crashes === true && random() < CRASH_SHARE;
    const isGood = !hasCrashed && random() < quality;
    if (isNew && fault && !isGood) badAnswers += 1;
    counts[version][hasCrashed ? 'errors' : 'finished'] += 1;
    if (hasCrashed || (!isNew && random() >= stableSampledShare) || random() >= RATED_SHARE) continue;
    const ratedAt = second + 1 + Math.floor(-Math.log(1 - random()) * RATING_DELAY_S);
    const ratingsOfSecond = dueRatings.get(ratedAt) ?? [];
    ratingsOfSecond.push({ version, isGood });
    dueRatings.set(ratedAt, ratingsOfSecond);
  }
  for (const { isGood, version } of dueRatings.get(second) ?? []) {
    if (version === 'large-1' || version === 'large-2') counts[version][isGood ? 'good' : 'bad'] += 1;
  }
  dueRatings.delete(second);
  addCounts(board, 'large-1', counts['large-1']);
  addCounts(board, 'large-2', counts['large-2']);
  return badAnswers;
}

interface ISecondCounts {
  good: number;
  bad: number;
  errors: number;
  finished: number;
}

function createCounts(): ISecondCounts {
  return { good: 0, bad: 0, errors: 0, finished: 0 };
}

function addCounts(board: Blackboard, version: string, counts: ISecondCounts): void {
  updateQuality(board, buildQualityKey(version), (entry) => ({
    good: entry.good + counts.good,
    bad: entry.bad + counts.bad,
    errors: entry.errors + counts.errors,
    finished: entry.finished + counts.finished,
  }));
}

function buildQualityKey(version: string): { service: string; kind: string; version: string } {
  return { service: 'deposits', kind: formatRolloutKind('large-2'), version };
}

/** Simulates a rollout with each seed under one policy and sums up the results. */
export async function measureExposure(
  behaviour: VersionBehaviour,
  seeds: readonly number[],
  decideRollout: DecideRollout,
): Promise<{ halted: number; passed: number; badAnswers: number; medianSecondsToHalt: number | undefined }> {
  const runs: IRolloutRun[] = [];
  const horizonS = behaviour === 'good' ? 2 * HORIZON_S : HORIZON_S;
  for (const seed of seeds) runs.push(await simulateRollout(behaviour, seed, decideRollout, horizonS));
  const delays = runs.flatMap((run) => run.secondsToHalt ?? []).sort((first, second) => first - second);
  return {
    halted: runs.filter((run) => run.verdict === 'halted').length,
    passed: runs.filter((run) => run.verdict === 'passed').length,
    badAnswers: runs.reduce((sum, run) => sum + run.badAnswers, 0),
    medianSecondsToHalt: delays[Math.floor(delays.length / 2)],
  };
}

/** Prints one JSON object that compares the sequential test with the baseline of fixed time steps. */
export async function printExposure(count: number, firstSeed: number): Promise<void> {
  const seeds = Array.from({ length: count }, (_, index) => firstSeed + index);
  const results: Record<string, unknown> = {};
  for (const behaviour of Object.keys(QUALITY_DROPS) as VersionBehaviour[]) {
    const baseline = await measureExposure(behaviour, seeds, decideByTimeOnly);
    const tested = await measureExposure(behaviour, seeds, decideBySequentialTest);
    const ratio = baseline.badAnswers === 0 ? undefined : tested.badAnswers / baseline.badAnswers;
    results[behaviour] = { baseline, tested, ratio };
  }
  process.stdout.write(`${JSON.stringify({ count, firstSeed, results }, undefined, 2)}\n`);
}

if (process.argv[1]?.endsWith('RolloutExposure.js')) {
  await printExposure(Number(process.argv[2] ?? 100), Number(process.argv[3] ?? 1));
}
