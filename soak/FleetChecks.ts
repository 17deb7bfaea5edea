import type { Millis } from '../src/common/Types.js';
import type { ICheck } from './CheckController.js';
import {
  CONTACT_MS,
  findDisturbance,
  isInTouch,
  isReachable,
  OPERATOR_SCOPE,
  ROUTERS_SCOPE,
  STORE_SCOPE,
} from './Disturbances.js';
import { STOP_MS } from './RouterFleet.js';
import type { SoakBoard } from './SoakBoard.js';
import { ROUTES, VERSION_ROUTE } from './Traffic.js';
import type { ICallEntry, IConfigurationEntry, IRunEntry } from './Types.js';

/** Bounds of the platform's pages. */
const DRAIN_MS: Millis = 2000;
const APPLY_MS: Millis = 2000;
const BACK_MS: Millis = 250;
const LATE_MS: Millis = 500;
const LOSS_SLACK_MS: Millis = 200;
const BUDGET_WINDOW_MS: Millis = 10_000;
const BUDGET_SHARE = 0.9;
const BUDGET_SLACK = 54;

/** Time after the end of a stop within which a lost call still counts as lost by it. */
const AFTER_STOP_MS: Millis = 1000;

/** Share of the route's time-out after which a call that planned work ends is not counted. */
const USED_SHARE = 0.7;

const DENIALS = [400, 401, 403, 404, 413, 431];

/** Checks of configuration, runners that leave, time limits, planned work and the retry budget. */
export const FLEET_CHECKS: readonly ICheck[] = [
  { promise: 'allowed-routes', checkRun: checkAllowed },
  { promise: 'proper-calls', checkCall: checkDenial },
  { promise: 'configuration-in-force', checkRun: checkOldRun, checkCall: checkOldDenial },
  { promise: 'configuration-order', checkRun: checkRunOrder, checkCall: checkDenialOrder },
  { promise: 'leaving-runners', checkRun: checkLeaving },
  { promise: 'planned-work', checkCall: checkPlannedWork },
  { promise: 'time-outs', checkAll: checkTimeouts },
  { promise: 'gone-callers', checkAll: checkGone },
  { promise: 'time-left', checkAll: checkTimeLeft },
  { promise: 'retry-budget', checkAll: checkBudget },
];

function isAllowed({ keys, routes }: Readonly<IConfigurationEntry>, call: Readonly<ICallEntry>): boolean {
  return keys.includes(call.key) && routes.includes(call.route);
}

function checkAllowed(board: SoakBoard, run: Readonly<IRunEntry>): string | undefined {
  const call = board.calls.get(run.call);
  if (!call || !run.hasRun) return undefined;
  if (run.service !== call.service) return `${call.id} ran at service ${run.service}`;
  const isKnown = [...board.configurations.list()].some((configuration) => isAllowed(configuration, call));
  return isKnown ? undefined : `${call.id} ran though no configuration allows it`;
}

function isDenied({ stamp, status = 0 }: Readonly<ICallEntry>): boolean {
  return stamp === undefined && DENIALS.includes(status);
}

function checkDenial(board: SoakBoard, call: Readonly<ICallEntry>): string | undefined {
  if (!isDenied(call)) return undefined;
  const isAlways = [...board.configurations.list()].every((configuration) => isAllowed(configuration, call));
  return isAlways
    ? `${call.id} was denied with ${call.status ?? 0}; every configuration allows it`
    : undefined;
}

/** Configurations that may be in force for a call at a router in touch, from the newest that must be. */
function listInForce(board: SoakBoard, sentAt: Millis): Readonly<IConfigurationEntry>[] {
  const all = [...board.configurations.list()];
  const first = all.findLastIndex(({ ackAt }) => ackAt + APPLY_MS < sentAt);
  return all.slice(Math.max(0, first));
}

function checkOldRun(board: SoakBoard, run: Readonly<IRunEntry>): string | undefined {
  const call = board.calls.get(run.call);
  if (!run.hasRun || !call || !isInTouch(board, call.router, call.sentAt)) return undefined;
  const isNow = listInForce(board, call.sentAt).some((configuration) => isAllowed(configuration, call));
  return isNow ? undefined : `${call.id} to ${call.route} ran by an old configuration at ${call.router}`;
}

function checkOldDenial(board: SoakBoard, call: Readonly<ICallEntry>): string | undefined {
  if (!isDenied(call) || !isInTouch(board, call.router, call.sentAt)) return undefined;
  const isNow = listInForce(board, call.sentAt).every((configuration) => isAllowed(configuration, call));
  return isNow
    ? `${call.id} to ${call.route} was denied by an old configuration at ${call.router}`
    : undefined;
}

/** Notes which configuration a router has shown. */
function checkRunOrder(board: SoakBoard, run: Readonly<IRunEntry>): string | undefined {
  const call = board.calls.get(run.call);
  const router = board.routers.get(call?.router ?? '');
  if (!call || router?.incarnation !== call.incarnation) return undefined;
  const version = call.route.startsWith(VERSION_ROUTE) ? Number(call.route.slice(VERSION_ROUTE.length)) : 0;
  const isOld = isBehind(board, call, (configuration) => isAllowed(configuration, call));
  if (version > router.provenVersion) {
    board.routers.update(router.id, { provenVersion: version, provenAt: board.now() });
  }
  return isOld ? `${call.id} ran by a configuration older than ${router.provenVersion}` : undefined;
}

function checkDenialOrder(board: SoakBoard, call: Readonly<ICallEntry>): string | undefined {
  if (!isDenied(call)) return undefined;
  const isOld = isBehind(board, call, (configuration) => !isAllowed(configuration, call));
  return isOld ? `${call.id} was denied by a configuration older than ${call.router} had shown` : undefined;
}

/** Tells whether no configuration from the one shown on explains how a call was handled. */
function isBehind(
  board: SoakBoard,
  call: Readonly<ICallEntry>,
  isExplained: (configuration: Readonly<IConfigurationEntry>) => boolean,
): boolean {
  const router = board.routers.get(call.router);
  if (router?.incarnation !== call.incarnation || router.provenVersion === 0) return false;
  if (call.sentAt <= router.provenAt + BACK_MS) return false;
  const later = [...board.configurations.list()].filter(({ version }) => version >= router.provenVersion);
  return !later.some(isExplained);
}

function checkLeaving(board: SoakBoard, run: Readonly<IRunEntry>): string | undefined {
  const call = board.calls.get(run.call);
  const leftAt = board.runners.get(run.runner)?.leftAt;
  if (!call || !run.hasRun || leftAt === undefined || run.startedAt <= leftAt + DRAIN_MS) return undefined;
  if (!isInTouch(board, call.router, run.startedAt)) return undefined;
  if (!isReachable(board, run.runner, run.startedAt, run.startedAt)) return undefined;
  return `${call.id} reached ${run.runner} ${Math.round(run.startedAt - leftAt)} ms after it had left`;
}

function checkPlannedWork(board: SoakBoard, call: Readonly<ICallEntry>): string | undefined {
  const { endedAt = 0, id, isWhole, leftAt, router, sentAt, timeoutMs } = call;
  if (isWhole || leftAt !== undefined || endedAt - sentAt >= USED_SHARE * timeoutMs) return undefined;
  const runs = board.listRuns(id).filter(({ hasRun }) => hasRun);
  if (runs.length === 0 && endedAt - sentAt <= LOSS_SLACK_MS) return undefined;
  const ids = [...board.routers.list(), ...board.runners.list()].map((entry) => entry.id);
  const stretch = { scopes: [...ids, STORE_SCOPE, ROUTERS_SCOPE], from: sentAt - CONTACT_MS, to: endedAt };
  if (findDisturbance(board, stretch, ({ isPlanned }) => !isPlanned)) return undefined;
  const planned = { scopes: [router, OPERATOR_SCOPE], from: sentAt - AFTER_STOP_MS, to: endedAt };
  const work = findDisturbance(board, planned, ({ from }) => endedAt <= from + STOP_MS + AFTER_STOP_MS);
  return work && `${id} was lost at ${router} around ${work.kind}`;
}

function checkTimeouts(board: SoakBoard): string[] {
  return ROUTES.flatMap(({ name, timeoutMs }) => {
    const long = [...board.calls.list()].filter((call) => {
      const { endedAt, leftAt, route, router, sentAt } = call;
      if (!route.startsWith(name) || endedAt === undefined || leftAt !== undefined) return false;
      return endedAt - sentAt >= timeoutMs && isInTouch(board, router, sentAt, endedAt);
    });
    const late = long.filter(({ endedAt = 0, sentAt }) => endedAt - sentAt > timeoutMs + LATE_MS);
    const isBroken = late.length >= 8 && late.length > long.length / 4;
    return isBroken
      ? [`${late.length} of ${long.length} calls to ${name} had no end ${LATE_MS} ms late`]
      : [];
  });
}

function checkGone(board: SoakBoard): string[] {
  let arrivals = 0;
  let held = 0;
  let working = 0;
  for (const { id, kind, leftAt, router } of board.calls.list()) {
    if (leftAt === undefined || !isInTouch(board, router, leftAt, leftAt + LATE_MS)) continue;
    for (const run of board.listRuns(id)) {
      if (!isReachable(board, run.runner, leftAt, leftAt + LATE_MS)) continue;
      if (run.startedAt > leftAt + LATE_MS) arrivals += 1;
      else if (kind !== 'unsafe' && run.hasRun && (run.endedAt ?? Infinity) > leftAt) {
        held += 1;
        if ((run.endedAt ?? Infinity) > leftAt + LATE_MS) working += 1;
      }
    }
  }
  const found: string[] = [];
  if (arrivals > 3)
    found.push(`${arrivals} calls reached runners ${LATE_MS} ms after their callers had left`);
  if (working > held / 4)
    found.push(`${working} of ${held} runs went on ${LATE_MS} ms after their callers had left`);
  return found;
}

function checkTimeLeft(board: SoakBoard): string[] {
  let total = 0;
  let wrong = 0;
  for (const run of board.runs.list()) {
    const call = board.calls.get(run.call);
    if (!call || !isInTouch(board, call.router, call.sentAt, run.startedAt)) continue;
    total += 1;
    const left = call.deadlineMs - (run.startedAt - call.sentAt);
    const isRepeat = run.startedAt - call.sentAt > LATE_MS;
    const limit = (isRepeat ? left : call.deadlineMs) + LATE_MS;
    if (run.leftMs === undefined || run.leftMs > limit) wrong += 1;
  }
  return wrong > 20 && wrong > total / 5 ? [`${wrong} of ${total} runs were told too much time`] : [];
}

function checkBudget(board: SoakBoard): string[] {
  const found: string[] = [];
  const calls = [...board.calls.list()];
  const extras = calls.flatMap(({ id }) => board.listRuns(id).slice(1));
  const count = (service: string, from: Millis): number =>
    calls.filter((call) => call.service === service && isWithin(call.sentAt, from)).length;
  for (const service of new Set(calls.map((call) => call.service))) {
    const own = extras.filter((run) => run.service === service);
    for (const { startedAt: from } of own) {
      const repeated = own.filter(({ startedAt }) => isWithin(startedAt, from)).length;
      const requests = Math.max(
        count(service, from),
        count(service, from - BUDGET_WINDOW_MS),
        count(service, from - BUDGET_WINDOW_MS / 2),
      );
      if (repeated <= BUDGET_SHARE * requests + BUDGET_SLACK) continue;
      found.push(`${repeated} repeats for ${requests} requests at ${service} from ${Math.round(from)}`);
      break;
    }
  }
  return found;
}

function isWithin(at: Millis, from: Millis): boolean {
  return at >= from && at < from + BUDGET_WINDOW_MS;
}
