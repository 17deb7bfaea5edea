import { configCodec } from '../src/adapters/ConfigStore.js';
import { createSeededRandom, hashTexts } from '../src/adapters/Random.js';
import { Blackboard } from '../src/common/blackboard/Blackboard.js';
import type { IRequestEntry } from '../src/common/blackboard/Types.js';
import type { IServiceDocument } from '../src/common/config/Types.js';
import { decideDraft } from '../src/common/policy/Escalations.js';
import { createChooseByLearnedQuality, formatPlan } from '../src/common/policy/Plans.js';
import { chooseCheapest, chooseHighestQuality } from '../src/common/policy/Versions.js';
import type { ChooseVersion } from '../src/common/request/Types.js';
import { countRating, formatQualityKey, updateQuality } from '../src/common/rollout/Quality.js';
import type { RandomSource } from '../src/common/Types.js';
import { buildTestRequest } from '../src/testing/VersionFixtures.js';

const QUALITY_TARGET = 0.9;
/** Share of drafts that get a wrong score: a low one for a good draft, or a high one for a bad draft. */
const WRONG_SCORE_SHARE = 0.05;
/** Share of the answers sent to the rating service that get a rating. */
const RATED_SHARE = 0.6;
const SKIPPED_NUMBERS = 50;

const DOCUMENT = `[service]
name = deposits
quality_target = ${QUALITY_TARGET}

[version small-1]
model = small
stage = stable
price_per_1k_tokens = 0.2
expected_quality = 0.7

[version medium-1]
model = medium
stage = stable
price_per_1k_tokens = 1
expected_quality = 0.85

[version large-1]
model = large
stage = stable
price_per_1k_tokens = 4
expected_quality = 0.97

[account depot-north]
key_sha256 = ${'0'.repeat(64)}
versions = small-1, medium-1, large-1
`;

const PRICES: Readonly<Record<string, number>> = { 'small-1': 0.2, 'medium-1': 1, 'large-1': 4 };
const VERSIONS = Object.keys(PRICES);

interface IRequestKindProfile {
  /** Share of the kind in all requests. */
  trafficShare: number;
  /** Share of hard requests within the kind. */
  hardShare: number;
}

/** Kinds of requests. Most requests are easy; the kind gives only the probability that a request is hard. */
const KINDS: Readonly<Record<string, IRequestKindProfile>> = {
  'tag-note': { trafficShare: 0.45, hardShare: 0.02 },
  'read-manifest': { trafficShare: 0.35, hardShare: 0.2 },
  'dispute-reply': { trafficShare: 0.2, hardShare: 0.6 },
};

/** Probability that a version gives a good answer, for easy and for hard requests. */
const GOOD_ANSWER_PROBABILITIES: Readonly<Record<string, { easy: number; hard: number }>> = {
  'small-1': { easy: 0.95, hard: 0.1 },
  'medium-1': { easy: 0.98, hard: 0.6 },
  'large-1': { easy: 0.99, hard: 0.95 },
};

/** A request, and the versions whose answer to it is good, which no policy but the oracles may read. */
interface ISimulatedRequest {
  request: IRequestEntry;
  goodVersions: ReadonlySet<string>;
}

/** Cost and quality that one policy reaches. */
export interface ICascadeResult {
  cost: number;
  /** Cost of the second half of the requests, when the learned policy has collected ratings. */
  laterCost: number;
  /** Share of good answers. */
  quality: number;
  qualityByKind: Record<string, number>;
  /** Number of rejected drafts, after which the next version answered. */
  drafts: number;
}

/** Serves one request by a policy; returns its cost, whether the answer is good, and the rejected drafts. */
type ServeRequest = (simulated: ISimulatedRequest) => { cost: number; isGood: boolean; drafts: number };

/** Serves the same simulated requests by each policy and returns cost and quality by policy. */
export function measureCascades(
  seed: number,
  count: number,
  streamingShare: number,
): Record<string, ICascadeResult> {
  const requests = createRequests(createWarmedUpRandom(seed), count, streamingShare);
  const policies: Readonly<Record<string, ServeRequest>> = {
    strongest: createServeByChoice(chooseHighestQuality, createWarmedUpRandom(seed + 1)),
    cheapest: createServeByChoice(chooseCheapest, createWarmedUpRandom(seed + 1)),
    learned: createServeByLearning(createWarmedUpRandom(seed + 1), true),
    'learned-without-drafts': createServeByLearning(createWarmedUpRandom(seed + 1), false),
    oracle: serveByOracle,
    'oracle-at-target': createServeByTargetOracle(requests),
  };
  const results: Record<string, ICascadeResult> = {};
  for (const [name, serve] of Object.entries(policies)) results[name] = measurePolicy(requests, serve);
  return results;
}

function measurePolicy(requests: readonly ISimulatedRequest[], serve: ServeRequest): ICascadeResult {
  const goodByKind = new Map<string, number>();
  const totalByKind = new Map<string, number>();
  let cost = 0;
  let laterCost = 0;
  let drafts = 0;
  for (const [index, simulated] of requests.entries()) {
    const { kind } = simulated.request;
    const served = serve(simulated);
    cost += served.cost;
    if (index >= requests.length / 2) laterCost += served.cost;
    drafts += served.drafts;
    totalByKind.set(kind, (totalByKind.get(kind) ?? 0) + 1);
    if (served.isGood) goodByKind.set(kind, (goodByKind.get(kind) ?? 0) + 1);
  }
  const qualityByKind = Object.fromEntries(
    [...totalByKind].map(([kind, total]) => [kind, roundShare((goodByKind.get(kind) ?? 0) / total)]),
  );
  const quality = roundShare(
    [...goodByKind.values()].reduce((sum, value) => sum + value, 0) / requests.length,
  );
  return { cost: Math.round(cost), laterCost: Math.round(laterCost), quality, qualityByKind, drafts };
}

/** Serves a request as the oracle does: once, by the cheapest version whose answer is good. */
function serveByOracle(simulated: ISimulatedRequest): ReturnType<ServeRequest> {
  const version = VERSIONS.find((name) => simulated.goodVersions.has(name));
  return { cost: PRICES[version ?? 'small-1'] ?? 0, isGood: version !== undefined, drafts: 0 };
}

/**
 * Creates an oracle that spends no more than the quality target requires. In each kind, it gives bad answers
 * from the cheapest version to the requests that are most expensive to answer well, as many as the target
 * allows.
 */
function createServeByTargetOracle(requests: readonly ISimulatedRequest[]): ServeRequest {
  const answeredBadly = new Set<ISimulatedRequest>();
  for (const kind of Object.keys(KINDS)) {
    const requestsOfKind = requests.filter((simulated) => simulated.request.kind === kind);
    requestsOfKind.sort((first, second) => serveByOracle(second).cost - serveByOracle(first).cost);
    const unanswerable = requestsOfKind.filter((simulated) => simulated.goodVersions.size === 0).length;
    const count = Math.max(0, Math.floor(requestsOfKind.length * (1 - QUALITY_TARGET)) - unanswerable);
    for (const simulated of requestsOfKind.slice(0, count)) answeredBadly.add(simulated);
  }
  return (simulated) =>
    answeredBadly.has(simulated)
      ? { cost: PRICES['small-1'] ?? 0, isGood: false, drafts: 0 }
      : serveByOracle(simulated);
}

function createServeByLearning(random: RandomSource, isCheckAvailable: boolean): ServeRequest {
  const board = new Blackboard();
  const choose = createChooseByLearnedQuality({
    readQuality: (service, kind, plan) => board.quality.get(formatQualityKey(service, kind, plan)),
    isCheckAvailable: () => isCheckAvailable,
  });
  return createServeByChoice(choose, random, board);
}

/**
 * Creates a function that serves requests by a version policy. With a blackboard, it records there the ratings
 * and the checks of drafts, from which the learned policy learns.
 */
function createServeByChoice(choose: ChooseVersion, random: RandomSource, board?: Blackboard): ServeRequest {
  const document = parseDocument();
  const service = { name: 'deposits', document, revision: 1, rollouts: {} };
  return (simulated) => {
    const { request } = simulated;
    const hashToFraction = (purpose: string): number => hashRequestToFraction(request.id, purpose);
    const decision = choose({
      request,
      service,
      pinnedVersion: undefined,
      hasEndpoint: () => true,
      hashToFraction,
    });
    if (decision.kind === 'refuse') throw new Error(decision.refusal.message);
    const plan = decision.plan ?? { steps: [decision.version], isExploration: false };
    const isSampled = plan.isExploration || hashToFraction('rating') < document.learning.ratingShare;
    return runPlan(simulated, plan.steps, random, board && { board, isSampled });
  };
}

/** The blackboard that records outcomes, and whether this request's answers go to the rating service. */
interface ILearning {
  board: Blackboard;
  isSampled: boolean;
}

function runPlan(
  simulated: ISimulatedRequest,
  steps: readonly string[],
  random: RandomSource,
  learning: ILearning | undefined,
): ReturnType<ServeRequest> {
  const { kind } = simulated.request;
  let cost = 0;
  for (const [index, version] of steps.entries()) {
    cost += PRICES[version] ?? 0;
    const isGood = simulated.goodVersions.has(version);
    const isLast = index === steps.length - 1;
    const score = random() < WRONG_SCORE_SHARE === isGood ? 0.1 : 0.9;
    const acceptScore = 0.5;
    const isAccepted = isLast || decideDraft({ score, acceptScore, canEscalate: true }) === 'deliver';
    const planPrefix = formatPlan(steps.slice(0, index + 1));
    if (learning && !isLast) recordDraft(learning.board, kind, planPrefix, isAccepted);
    if (learning?.isSampled && random() < RATED_SHARE) {
      updateQuality(learning.board, { service: 'deposits', kind, version: planPrefix }, (entry) =>
        countRating(entry, isGood ? 'good' : 'bad', isAccepted && !isLast),
      );
    }
    if (isAccepted) return { cost, isGood, drafts: index };
  }
  return { cost, isGood: false, drafts: 0 };
}

function recordDraft(board: Blackboard, kind: string, planPrefix: string, isAccepted: boolean): void {
  updateQuality(board, { service: 'deposits', kind, version: planPrefix }, (entry) =>
    isAccepted ? { draftsAccepted: entry.draftsAccepted + 1 } : { draftsRejected: entry.draftsRejected + 1 },
  );
}

function createRequests(random: RandomSource, count: number, streamingShare: number): ISimulatedRequest[] {
  return Array.from({ length: count }, (_, index) => {
    const kind = pickKind(random());
    const isHard = random() < (KINDS[kind]?.hardShare ?? 0);
    const goodVersions = new Set(
      VERSIONS.filter(
        (name) => random() < (GOOD_ANSWER_PROBABILITIES[name]?.[isHard ? 'hard' : 'easy'] ?? 0),
      ),
    );
    const isStreaming = random() < streamingShare;
    const id = `r-${index}`;
    return { request: buildTestRequest({ id, kind, fingerprint: id }, isStreaming), goodVersions };
  });
}

function pickKind(point: number): string {
  let sum = 0;
  for (const [kind, { trafficShare }] of Object.entries(KINDS)) {
    sum += trafficShare;
    if (point < sum) return kind;
  }
  return 'dispute-reply';
}

function parseDocument(): IServiceDocument {
  const parsed = configCodec.parseDocument(DOCUMENT);
  if (parsed.isErr) throw new Error(JSON.stringify(parsed.error));
  return parsed.value;
}

function hashRequestToFraction(id: string, purpose: string): number {
  return Number.parseInt(hashTexts(purpose, id).slice(0, 12), 16) / 0x1000000000000;
}

/** Creates a seeded generator. Skips its first numbers, because they hardly differ between small seeds. */
function createWarmedUpRandom(seed: number): RandomSource {
  const random = createSeededRandom(seed);
  for (let index = 0; index < SKIPPED_NUMBERS; index += 1) random();
  return random;
}

function roundShare(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

/**
 * Prints one JSON object with cost and quality for several seeds. `ratios` divides the cost of all requests
 * and of their second half by the oracle's.
 */
export function printCascades(
  count: number,
  firstSeed: number,
  seedCount: number,
  streamingShare: number,
): void {
  const runs = Array.from({ length: seedCount }, (_, index) => {
    const results = measureCascades(firstSeed + index, count, streamingShare);
    const oracleCost = results.oracle?.cost ?? 1;
    const oracleLaterCost = results.oracle?.laterCost ?? 1;
    const ratios = Object.fromEntries(
      Object.entries(results).map(([name, result]) => [
        name,
        [roundShare(result.cost / oracleCost), roundShare(result.laterCost / oracleLaterCost)],
      ]),
    );
    return { seed: firstSeed + index, ratios, results };
  });
  process.stdout.write(`${JSON.stringify({ count, streamingShare, runs }, undefined, 2)}\n`);
}

if (process.argv[1]?.endsWith('CascadeCost.js')) {
  const [count = 100_000, firstSeed = 1, seedCount = 3, streamingShare = 0] = process.argv
    .slice(2)
    .map(Number);
  printCascades(count, firstSeed, seedCount, streamingShare);
}
