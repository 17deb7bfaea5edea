import type { IDisposable } from '../src/common/Lifecycle.js';
import type { Millis } from '../src/common/Types.js';
import { waitFor } from '../src/standins/HttpTools.js';
import type {
  IRevisionStoreStandIn,
  RevisionStoreFault,
} from '../src/standins/platform/RevisionStoreServer.js';
import { OPERATOR_SCOPE, ROUTERS_SCOPE, STORE_SCOPE } from './Disturbances.js';
import { PLANNED_KINDS } from './FaultPlan.js';
import type { RouterFleet } from './RouterFleet.js';
import type { SoakBoard } from './SoakBoard.js';
import type { SoakOperator } from './SoakOperator.js';
import type { SoakRunner } from './SoakRunner.js';
import type { LinkMode, PlannedKind, RunnerFault, SoakFault, SoakFaultKind } from './Types.js';

/** What faults act on. */
export interface IFaultTargets {
  board: SoakBoard;
  routers: RouterFleet;
  runners: readonly SoakRunner[];
  store: IRevisionStoreStandIn;
  operator: SoakOperator;
}

/** Applies a fault; resolves when it is repaired. */
type Inject = (targets: IFaultTargets, scope: string, durationMs: Millis) => void | Promise<void>;

interface IInjector {
  /** Chooses what is hit. */
  pickScope: (targets: IFaultTargets, draw: number) => string;
  inject: Inject;
}

/** Runs a chain of faults, one after the other, and records when each begins and ends. */
export async function runFaultChain(targets: IFaultTargets, chain: readonly SoakFault[]): Promise<void> {
  const { board } = targets;
  const startedAt = board.now();
  for (const { atMs, durationMs, kind, target } of chain) {
    await waitFor(Math.max(0, startedAt + atMs - board.now()));
    const { inject, pickScope } = INJECTORS[kind];
    const scope = pickScope(targets, target);
    const id = board.faults.size + 1;
    const isPlanned = PLANNED_KINDS.includes(kind as PlannedKind);
    board.faults.set(id, { id, kind, scope, isPlanned, from: board.now(), until: undefined });
    await inject(targets, scope, durationMs);
    board.faults.update(id, { until: board.now() });
  }
}

const pickRouter: IInjector['pickScope'] = ({ routers }, draw) => pick(routers.ids, draw);
const pickRunner: IInjector['pickScope'] = ({ runners }, draw) =>
  pick(
    runners.map(({ id }) => id),
    draw,
  );
const pickNamed =
  (scope: string): IInjector['pickScope'] =>
  () =>
    scope;

const INJECTORS: Readonly<Record<SoakFaultKind, IInjector>> = {
  'stop-router': { pickScope: pickRouter, inject: ({ routers }, id) => routers.stopAndStart(id) },
  'reload-router': {
    pickScope: pickRouter,
    inject: ({ routers }, id) => {
      routers.updateSettings(id);
    },
  },
  'drain-runner': { pickScope: pickRunner, inject: ({ runners }, id) => findRunner(runners, id)?.drain() },
  'change-configuration': {
    pickScope: pickNamed(OPERATOR_SCOPE),
    inject: ({ operator }) => {
      operator.publishNext();
    },
  },
  'revoke-key': {
    pickScope: pickNamed(OPERATOR_SCOPE),
    inject: ({ operator }) => {
      operator.replaceKey();
    },
  },
  'kill-router': { pickScope: pickRouter, inject: ({ routers }, id) => endRouter(routers, id) },
  'kill-all-routers': {
    pickScope: pickNamed(ROUTERS_SCOPE),
    inject: async ({ routers }) => {
      await Promise.all(routers.ids.map((id) => endRouter(routers, id)));
    },
  },
  'pause-router': {
    pickScope: pickRouter,
    inject: async ({ routers }, id, durationMs) => {
      routers.send(id, 'SIGSTOP');
      await waitFor(durationMs);
      routers.send(id, 'SIGCONT');
    },
  },
  'step-clock': {
    pickScope: pickRouter,
    inject: ({ routers }, id) => {
      routers.sendIfStarted(id, 'SIGUSR2');
    },
  },
  'delay-runner': createRunnerLinkFault('delay'),
  'reset-runner': createRunnerLinkFault('reset'),
  'mute-to-runner': createRunnerLinkFault('mute-request'),
  'mute-from-runner': createRunnerLinkFault('mute-response'),
  'silence-runner': createRunnerLinkFault('silent'),
  'delay-callers': createRouterLinkFault('callers', 'delay'),
  'reset-callers': createRouterLinkFault('callers', 'reset'),
  'silence-callers': createRouterLinkFault('callers', 'silent'),
  'silence-store': createRouterLinkFault('store', 'silent'),
  'reset-store': createRouterLinkFault('store', 'reset'),
  'delay-store': createRouterLinkFault('store', 'delay'),
  'crash-runner': {
    pickScope: pickRunner,
    inject: ({ runners }, id, durationMs) => findRunner(runners, id)?.stopAbruptly(durationMs),
  },
  'fail-answers': createRunnerFault('fail'),
  'refuse-calls': createRunnerFault('refuse'),
  'lose-answers': createRunnerFault('lose'),
  'tear-answers': createRunnerFault('tear'),
  'hang-answers': createRunnerFault('hang'),
  'store-refuse': createStoreFault('refuse'),
  'store-silent': createStoreFault('silent'),
  'store-lose-replies': createStoreFault('lose-replies'),
  'store-compact': {
    pickScope: pickNamed(STORE_SCOPE),
    inject: ({ store }) => {
      store.compact();
    },
  },
};

function createRunnerLinkFault(mode: LinkMode): IInjector {
  return {
    pickScope: pickRunner,
    inject: async ({ runners }, id, durationMs) => {
      await holdFor(findRunner(runners, id)?.link.addMode(mode), durationMs);
    },
  };
}

function createRouterLinkFault(side: 'callers' | 'store', mode: LinkMode): IInjector {
  return {
    pickScope: pickRouter,
    inject: ({ routers }, id, durationMs) => holdFor(routers.getLink(id, side).addMode(mode), durationMs),
  };
}

function createRunnerFault(fault: RunnerFault): IInjector {
  return {
    pickScope: pickRunner,
    inject: ({ runners }, id, durationMs) => holdFor(findRunner(runners, id)?.addFault(fault), durationMs),
  };
}

function createStoreFault(fault: RevisionStoreFault): IInjector {
  return {
    pickScope: pickNamed(STORE_SCOPE),
    inject: async ({ store }, _scope, durationMs) => {
      store.fault = fault;
      await waitFor(durationMs);
      store.fault = 'none';
    },
  };
}

function endRouter(routers: RouterFleet, id: string): Promise<void> {
  return routers.endAndStart(id, () => {
    routers.send(id, 'SIGKILL');
  });
}

async function holdFor(applied: IDisposable | undefined, durationMs: Millis): Promise<void> {
  await waitFor(durationMs);
  applied?.dispose();
}

function findRunner(runners: readonly SoakRunner[], id: string): SoakRunner | undefined {
  return runners.find((runner) => runner.id === id);
}

function pick(items: readonly string[], draw: number): string {
  return items[Math.floor(draw * items.length)] ?? '';
}
