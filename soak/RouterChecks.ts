import type { Millis } from '../src/common/Types.js';
import type { ICheck } from './CheckController.js';
import {
  SETTLING_MS,
  findDisturbance,
  formatLinkScope,
  isRouterUndisturbed,
  isRunnerUndisturbed,
  OPERATOR_SCOPE,
  ALL_ROUTERS_SCOPE,
  STORE_SCOPE,
} from './Disturbances.js';
import { STOP_TIMEOUT_MS } from './RouterFleet.js';
import type { SoakBoard } from './SoakBoard.js';
import { ROUTES, VERSION_ROUTE } from './Traffic.js';
import type { ICallEntry, IConfigurationEntry, IRunEntry } from './Types.js';

// Limits that the platform sets, and tolerances of the checks.

/** Time after which routers no longer forward calls to a runner that was withdrawn. */
const WITHDRAWAL_LIMIT_MS: Millis = 2000;

/** Time after which routers apply a configuration that the store has acknowledged. */
const APPLY_LIMIT_MS: Millis = 2000;

/** Time for which calls may still be handled by an older configuration than the one last observed. */
const ORDER_SLACK_MS: Millis = 250;

/** Tolerance of time-outs, deadlines and the reaction to a disconnected caller. */
const TIME_LIMIT_SLACK_MS: Millis = 500;

/** A call that reached no runner and ended within this time is not counted as interrupted by planned work. */
const UNCOUNTED_LOSS_MS: Millis = 200;

/**
 * Retry budget: its window, the largest ratio of repeats to requests, and the number of additional repeats
 * that the check tolerates.
 */
const RETRY_BUDGET_WINDOW_MS: Millis = 10_000;
const MAX_REPEAT_SHARE = 0.9;
const REPEAT_SLACK = 54;

/**
 * Tolerance for attributing the loss of a call to planned work: the call was sent at most this long after the
 * end of the work, and was lost at most this long after the time-out of a stop that started with the work.
 */
const LOSS_ATTRIBUTION_MS: Millis = 1000;

/** A call that planned work interrupts is not counted once it has used this share of the route's time-out. */
const MAX_USED_TIMEOUT_SHARE = 0.7;

/** Statuses of calls that a router denies because of the request or the configuration. */
const DENIAL_STATUSES = [400, 401, 403, 404, 413, 431];

/** Checks of configurations, withdrawn runners, planned work, time limits and the retry budget. */
export const FLEET_CHECKS: readonly ICheck[] = [
  { promise: 'allowed-routes', checkRun: checkAllowedRoute },
  { promise: 'proper-calls', checkCall: checkDenial },
  { promise: 'configuration-in-force', checkRun: checkRunInForce, checkCall: checkDenialInForce },
  { promise: 'configuration-order', checkRun: checkRunOrder, checkCall: checkDenialOrder },
  { promise: 'leaving-runners', checkRun: checkLeavingRunner },
  { promise: 'planned-work', checkCall: checkPlannedWork },
  { promise: 'time-outs', checkAll: checkTimeouts },
  { promise: 'gone-callers', checkAll: checkDisconnectedCallers },
  { promise: 'time-left', checkAll: checkRemainingTime },
  { promise: 'retry-budget', checkAll: checkRetryBudget },
];

function isAllowed({ keys, routes }: Readonly<IConfigurationEntry>, call: Readonly<ICallEntry>): boolean {
  return keys.includes(call.key) && routes.includes(call.route);
}

function checkAllowedRoute(board: SoakBoard, run: Readonly<IRunEntry>): string | undefined {
  const call = board.calls.get(run.call);
  if (!call || !run.wasExecuted) return undefined;
  if (run.service !== call.service) return `${call.id} ran at service ${run.service}`;
  const isEverAllowed = [...board.configurations.list()].some((configuration) =>
    isAllowed(configuration, call),
  );
  return isEverAllowed ? undefined : `${call.id} ran though no configuration allows it`;
}

function isDenied({ stamp, status = 0 }: Readonly<ICallEntry>): boolean {
  return stamp === undefined && DENIAL_STATUSES.includes(status);
}

function checkDenial(board: SoakBoard, call: Readonly<ICallEntry>): string | undefined {
  if (!isDenied(call)) return undefined;
  const isAlwaysAllowed = [...board.configurations.list()].every((configuration) =>
    isAllowed(configuration, call),
  );
  return isAlwaysAllowed
    ? `${call.id} was denied with ${call.status ?? 0}; every configuration allows it`
    : undefined;
}

/**
 * Lists the configurations that an undisturbed router may apply to a call: the newest one that it must have
 * applied when the call was sent, and all later ones.
 */
function listInForce(board: SoakBoard, sentAt: Millis): Readonly<IConfigurationEntry>[] {
  const configurations = [...board.configurations.list()];
  const newestRequired = configurations.findLastIndex(
    ({ acknowledgedAt }) => acknowledgedAt + APPLY_LIMIT_MS < sentAt,
  );
  return configurations.slice(Math.max(0, newestRequired));
}

function checkRunInForce(board: SoakBoard, run: Readonly<IRunEntry>): string | undefined {
  const call = board.calls.get(run.call);
  if (!run.wasExecuted || !call || !isRouterUndisturbed(board, call.router, call.sentAt)) return undefined;
  const isAllowedNow = listInForce(board, call.sentAt).some((configuration) =>
    isAllowed(configuration, call),
  );
  return isAllowedNow
    ? undefined
    : `${call.id} to ${call.route} ran by an old configuration at ${call.router}`;
}

function checkDenialInForce(board: SoakBoard, call: Readonly<ICallEntry>): string | undefined {
  if (!isDenied(call) || !isRouterUndisturbed(board, call.router, call.sentAt)) return undefined;
  const isAllowedNow = listInForce(board, call.sentAt).every((configuration) =>
    isAllowed(configuration, call),
  );
  return isAllowedNow
    ? `${call.id} to ${call.route} was denied by an old configuration at ${call.router}`
    : undefined;
}

/**
 * Checks that a router does not return to an older configuration, and records the newest version that it was
 * observed to apply.
 */
function checkRunOrder(board: SoakBoard, run: Readonly<IRunEntry>): string | undefined {
  const call = board.calls.get(run.call);
  const router = board.routers.get(call?.router ?? '');
  if (!call || router?.incarnation !== call.incarnation) return undefined;
  const version = call.route.startsWith(VERSION_ROUTE) ? Number(call.route.slice(VERSION_ROUTE.length)) : 0;
  const isOutdated = isOlderThanObserved(board, call, (configuration) => isAllowed(configuration, call));
  if (version > router.observedVersion) {
    board.routers.update(router.id, { observedVersion: version, observedAt: board.now() });
  }
  return isOutdated ? `${call.id} ran by a configuration older than ${router.observedVersion}` : undefined;
}

function checkDenialOrder(board: SoakBoard, call: Readonly<ICallEntry>): string | undefined {
  if (!isDenied(call)) return undefined;
  const isOutdated = isOlderThanObserved(board, call, (configuration) => !isAllowed(configuration, call));
  return isOutdated
    ? `${call.id} was denied by a configuration older than ${call.router} had shown`
    : undefined;
}

/**
 * Tells whether a call was handled by a configuration older than the one that its router was observed to
 * apply: neither that configuration nor a later one explains how the call was handled.
 */
function isOlderThanObserved(
  board: SoakBoard,
  call: Readonly<ICallEntry>,
  explainsCall: (configuration: Readonly<IConfigurationEntry>) => boolean,
): boolean {
  const router = board.routers.get(call.router);
  if (router?.incarnation !== call.incarnation || router.observedVersion === 0) return false;
  if (call.sentAt <= router.observedAt + ORDER_SLACK_MS) return false;
  const candidates = [...board.configurations.list()].filter(
    ({ version }) => version >= router.observedVersion,
  );
  return !candidates.some(explainsCall);
}

function checkLeavingRunner(board: SoakBoard, run: Readonly<IRunEntry>): string | undefined {
  const call = board.calls.get(run.call);
  const withdrawnAt = board.runners.get(run.runner)?.withdrawnAt;
  if (
    !call ||
    !run.wasExecuted ||
    withdrawnAt === undefined ||
    run.startedAt <= withdrawnAt + WITHDRAWAL_LIMIT_MS
  )
    return undefined;
  if (!isRouterUndisturbed(board, call.router, run.startedAt)) return undefined;
  if (!isRunnerUndisturbed(board, run.runner, run.startedAt, run.startedAt)) return undefined;
  return `${call.id} reached ${run.runner} ${Math.round(run.startedAt - withdrawnAt)} ms after it had left`;
}

/**
 * Checks that planned work does not interrupt a call. A call counts if it ended incomplete while planned work
 * affected its router or came from the operator, and no fault was active during the call or shortly before
 * it. A call that reached no runner and ended within `UNCOUNTED_LOSS_MS` is not counted.
 */
function checkPlannedWork(board: SoakBoard, call: Readonly<ICallEntry>): string | undefined {
  const { endedAt = 0, id, isComplete, disconnectedAt, router, sentAt, timeoutMs } = call;
  if (isComplete || disconnectedAt !== undefined || endedAt - sentAt >= MAX_USED_TIMEOUT_SHARE * timeoutMs)
    return undefined;
  const runs = board.listRuns(id).filter(({ wasExecuted }) => wasExecuted);
  if (runs.length === 0 && endedAt - sentAt <= UNCOUNTED_LOSS_MS) return undefined;
  const routers = [...board.routers.list()].map((entry) => entry.id);
  const ids = [
    ...routers,
    ...routers.map(formatLinkScope),
    ...[...board.runners.list()].map(({ id: runner }) => runner),
  ];
  const allScopesQuery = {
    scopes: [...ids, STORE_SCOPE, ALL_ROUTERS_SCOPE],
    from: sentAt - SETTLING_MS,
    to: endedAt,
  };
  if (findDisturbance(board, allScopesQuery, ({ isPlannedWork }) => !isPlannedWork)) return undefined;
  const plannedWorkQuery = {
    scopes: [router, OPERATOR_SCOPE],
    from: sentAt - LOSS_ATTRIBUTION_MS,
    to: endedAt,
  };
  const work = findDisturbance(
    board,
    plannedWorkQuery,
    ({ startedAt }) => endedAt <= startedAt + STOP_TIMEOUT_MS + LOSS_ATTRIBUTION_MS,
  );
  return work && `${id} was lost at ${router} around ${work.kind}`;
}

/** Checks per route that calls which exceed the time-out end soon after it. */
function checkTimeouts(board: SoakBoard): string[] {
  return ROUTES.flatMap(({ name, timeoutMs }) => {
    const timedOutCalls = [...board.calls.list()].filter((call) => {
      const { endedAt, disconnectedAt, route, router, sentAt } = call;
      if (!route.startsWith(name) || endedAt === undefined || disconnectedAt !== undefined) return false;
      return endedAt - sentAt >= timeoutMs && isRouterUndisturbed(board, router, sentAt, endedAt);
    });
    const lateCalls = timedOutCalls.filter(
      ({ endedAt = 0, sentAt }) => endedAt - sentAt > timeoutMs + TIME_LIMIT_SLACK_MS,
    );
    const isBroken = lateCalls.length >= 8 && lateCalls.length > timedOutCalls.length / 4;
    return isBroken
      ? [
          `${lateCalls.length} of ${timedOutCalls.length} calls to ${name} had no end ${TIME_LIMIT_SLACK_MS} ms late`,
        ]
      : [];
  });
}

/**
 * Checks that routers stop serving a call when its caller has disconnected: they no longer forward it, and
 * they cancel its runs unless it is of kind `unsafe`.
 */
function checkDisconnectedCallers(board: SoakBoard): string[] {
  let lateArrivals = 0;
  let openRuns = 0;
  let continuedRuns = 0;
  for (const { id, kind, disconnectedAt, router } of board.calls.list()) {
    if (
      disconnectedAt === undefined ||
      !isRouterUndisturbed(board, router, disconnectedAt, disconnectedAt + TIME_LIMIT_SLACK_MS)
    )
      continue;
    for (const run of board.listRuns(id)) {
      if (!isRunnerUndisturbed(board, run.runner, disconnectedAt, disconnectedAt + TIME_LIMIT_SLACK_MS))
        continue;
      if (run.startedAt > disconnectedAt + TIME_LIMIT_SLACK_MS) lateArrivals += 1;
      else if (kind !== 'unsafe' && run.wasExecuted && (run.endedAt ?? Infinity) > disconnectedAt) {
        openRuns += 1;
        if ((run.endedAt ?? Infinity) > disconnectedAt + TIME_LIMIT_SLACK_MS) continuedRuns += 1;
      }
    }
  }
  const details: string[] = [];
  if (lateArrivals > 3)
    details.push(
      `${lateArrivals} calls reached runners ${TIME_LIMIT_SLACK_MS} ms after their callers had left`,
    );
  if (continuedRuns > openRuns / 4)
    details.push(
      `${continuedRuns} of ${openRuns} runs went on ${TIME_LIMIT_SLACK_MS} ms after their callers had left`,
    );
  return details;
}

/**
 * Checks that runners are told the time left until the caller's deadline. A run that starts soon after the
 * call was sent may be told the whole deadline, a later one only what is left of it.
 */
function checkRemainingTime(board: SoakBoard): string[] {
  let checkedRuns = 0;
  let excessiveRuns = 0;
  for (const run of board.runs.list()) {
    const call = board.calls.get(run.call);
    if (!call || !isRouterUndisturbed(board, call.router, call.sentAt, run.startedAt)) continue;
    checkedRuns += 1;
    const remainingMs = call.deadlineMs - (run.startedAt - call.sentAt);
    const wasSentLate = run.startedAt - call.sentAt > TIME_LIMIT_SLACK_MS;
    const maxRemainingMs = (wasSentLate ? remainingMs : call.deadlineMs) + TIME_LIMIT_SLACK_MS;
    if (run.remainingMs === undefined || run.remainingMs > maxRemainingMs) excessiveRuns += 1;
  }
  return excessiveRuns > 20 && excessiveRuns > checkedRuns / 5
    ? [`${excessiveRuns} of ${checkedRuns} runs were told too much time`]
    : [];
}

/**
 * Checks that the number of repeated runs in each window stays within the retry budget. It is compared with
 * the largest number of requests in the same window, the window before it, and the one half a window earlier.
 */
function checkRetryBudget(board: SoakBoard): string[] {
  const details: string[] = [];
  const calls = [...board.calls.list()];
  const repeatedRuns = calls.flatMap(({ id }) => board.listRuns(id).slice(1));
  const countRequests = (service: string, from: Millis): number =>
    calls.filter((call) => call.service === service && isInBudgetWindow(call.sentAt, from)).length;
  for (const service of new Set(calls.map((call) => call.service))) {
    const serviceRepeats = repeatedRuns.filter((run) => run.service === service);
    for (const { startedAt: from } of serviceRepeats) {
      const repeatCount = serviceRepeats.filter(({ startedAt }) => isInBudgetWindow(startedAt, from)).length;
      const requestCount = Math.max(
        countRequests(service, from),
        countRequests(service, from - RETRY_BUDGET_WINDOW_MS),
        countRequests(service, from - RETRY_BUDGET_WINDOW_MS / 2),
      );
      if (repeatCount <= MAX_REPEAT_SHARE * requestCount + REPEAT_SLACK) continue;
      details.push(
        `${repeatCount} repeats for ${requestCount} requests at ${service} from ${Math.round(from)}`,
      );
      break;
    }
  }
  return details;
}

function isInBudgetWindow(at: Millis, from: Millis): boolean {
  return at >= from && at < from + RETRY_BUDGET_WINDOW_MS;
}
