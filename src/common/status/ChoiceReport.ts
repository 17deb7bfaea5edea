import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry, IRequestEntry, RequestTarget } from '../blackboard/Types.js';
import { estimatePromptWork } from '../estimates/PromptWork.js';
import { parseVersion } from '../fleet/Versions.js';
import { hasRoom, INITIAL_IN_FLIGHT_LIMIT } from '../policy/Endpoints.js';
import { isAcceptingWork } from '../request/Candidates.js';
import { formatPool, type EndpointIndex } from '../request/EndpointIndex.js';
import { INITIAL_REQUEST_FIELDS } from '../request/InitialFields.js';
import { estimateWork } from '../request/RouteController.js';
import type { ChooseEndpoint, IChoiceCost, LengthClass } from '../request/Types.js';
import type { IClock, Millis } from '../Types.js';

/** Question where a request to a model would go now. */
export interface IChoiceQuestion {
  service: string;
  target: Extract<RequestTarget, { kind: 'model' }>;
  targetLatencyMs: Millis | undefined;
}

/**
 * Why an endpoint is compared or not: it is `compared`, it takes no work (`leaving`, `evacuated`), this host does not send
 * there now (`unhealthy`, `paused`, `rate-limited`, `full`), or other endpoints come first by the limits on rates
 * (`not-preferred`).
 */
export type ChoiceState =
  'compared' | 'leaving' | 'evacuated' | 'unhealthy' | 'paused' | 'rate-limited' | 'full' | 'not-preferred';

/** An endpoint in the answer to a question. Times are absent unless it is compared. */
export interface IChoiceRow {
  endpoint: string;
  zone: string;
  state: ChoiceState;
  costMs?: Millis;
  startMs?: Millis;
  prefillMs?: Millis;
  /** Tokens that this host's own requests have left there, and their certainty, if the memory is known. */
  ownCachedTokens?: number;
  certainty?: number;
}

/** Answer to a question. */
export type ChoiceReport =
  | { kind: 'choice'; version: string; endpoint: string | undefined; rows: readonly IChoiceRow[] }
  | { kind: 'unknown-version'; versions: readonly string[] };

/** Answers a question where a request would go now. */
export type DescribeChoice = (question: IChoiceQuestion) => ChoiceReport;

/** Options of the answers. */
export interface IChoiceReportOptions {
  board: Blackboard;
  clock: IClock;
  index: EndpointIndex;
  zone: string;
  /** The choice that requests are routed by. */
  chooseEndpoint: ChooseEndpoint;
}

/**
 * Creates the function that tells where a request to a model would go now, and why, by the choice that requests are
 * routed by. It sends nothing and changes no panel.
 * @example
 * const describeChoice = createDescribeChoice({ board, clock, index, zone, chooseEndpoint });
 * describeChoice({ service: 'drafts', target, targetLatencyMs: 2000 }); // { kind: 'choice', endpoint: 'm-3', ... }
 */
export function createDescribeChoice({
  board,
  chooseEndpoint,
  clock,
  index,
  zone,
}: IChoiceReportOptions): DescribeChoice {
  return ({ service, target, targetLatencyMs }) => {
    const endpoints = [...board.endpoints.list()].filter((entry) => entry.service === service);
    const known = [...new Set(endpoints.flatMap(({ versions }) => versions))];
    const versions = known.filter((version) => isNamed(version, target.model));
    const [version] = versions;
    if (version === undefined || versions.length > 1) return { kind: 'unknown-version', versions: known };
    const now = clock.now();
    const request: IRequestEntry = {
      ...INITIAL_REQUEST_FIELDS,
      id: 'question',
      phase: 'queued',
      service,
      account: '',
      kind: '',
      target,
      isIdempotent: true,
      idempotencyKey: undefined,
      fingerprint: '',
      session: undefined,
      priority: 'normal',
      receivedAt: now,
      deadlineAt: Infinity,
      version,
      ...(targetLatencyMs === undefined ? {} : { targetLatencyMs }),
    };
    const { lengthClass } = estimateWork(board, request);
    const costs = new Map<string, IChoiceCost>();
    const onCosts = (all: readonly IChoiceCost[]): void => {
      for (const cost of all) costs.set(cost.endpoint, cost);
    };
    const candidates = index.listPool(formatPool(request));
    const findPrefix = (): undefined => undefined;
    const endpoint = chooseEndpoint({ request, candidates, lengthClass, findPrefix, zone, now, onCosts });
    const rows = endpoints
      .filter((entry) => entry.versions.includes(version))
      .map((entry) =>
        describeEndpoint(board, { entry, request, lengthClass, cost: costs.get(entry.id), now }),
      )
      .sort((first, second) => (first.costMs ?? Infinity) - (second.costMs ?? Infinity));
    return { kind: 'choice', version, endpoint, rows };
  };
}

/** Tells whether a question means a version: by its whole name, or by that of its model. */
function isNamed(version: string, name: string): boolean {
  return name === version || name === (parseVersion(version)?.model ?? '');
}

function describeEndpoint(
  board: Blackboard,
  options: {
    entry: Readonly<IEndpointEntry>;
    request: IRequestEntry;
    lengthClass: LengthClass;
    cost: IChoiceCost | undefined;
    now: Millis;
  },
): IChoiceRow {
  const { cost, entry, lengthClass, now, request } = options;
  const { id: endpoint, zone } = entry;
  if (!cost) return { endpoint, zone, state: classifyState(entry, lengthClass) };
  const { cached } = estimatePromptWork(board, { request, endpoint, assumedCachedShare: 0, now });
  return {
    endpoint,
    zone,
    state: 'compared',
    costMs: Math.round(cost.costMs),
    startMs: Math.round(cost.startMs),
    prefillMs: Math.round(cost.prefillMs),
    ...(cached
      ? { ownCachedTokens: cached.tokens, certainty: Math.round(100 * cached.certainty) / 100 }
      : {}),
  };
}

function classifyState(entry: Readonly<IEndpointEntry>, lengthClass: LengthClass): ChoiceState {
  if (entry.isEvacuated === true) return 'evacuated';
  if (!isAcceptingWork(entry)) return 'leaving';
  if (entry.health !== 'healthy') return 'unhealthy';
  if (entry.pausedUntil !== undefined) return 'paused';
  if (entry.nextAttemptAt !== undefined) return 'rate-limited';
  const isFull = entry.inFlight >= (entry.inFlightLimit ?? INITIAL_IN_FLIGHT_LIMIT);
  return isFull || !hasRoom(entry, lengthClass) ? 'full' : 'not-preferred';
}
