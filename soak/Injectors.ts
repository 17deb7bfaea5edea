import type { IDisposable } from '../src/common/Lifecycle.js';
import type { Millis } from '../src/common/Types.js';
import { waitFor } from '../src/standins/HttpTools.js';
import type {
  IRevisionStoreStandIn,
  IStoreCopy,
  RevisionStoreFault,
} from '../src/standins/platform/RevisionStoreServer.js';
import {
  ALL_ROUTERS_SCOPE,
  formatLinkScope,
  OPERATOR_SCOPE,
  SETTLING_MS,
  STORE_SCOPE,
} from './Disturbances.js';
import { PLANNED_WORK_KINDS } from './FaultPlan.js';
import type { RouterFleet } from './RouterFleet.js';
import type { SoakBoard } from './SoakBoard.js';
import type { SoakOperator } from './SoakOperator.js';
import type { SoakRunner } from './SoakRunner.js';
import type { ILinkCut, LinkMode, PlannedWorkKind, RunnerFault, SoakFault, SoakFaultKind } from './Types.js';

/** The processes and stand-ins that faults are injected into. */
export interface IFaultTargets {
  board: SoakBoard;
  routers: RouterFleet;
  runners: readonly SoakRunner[];
  store: IRevisionStoreStandIn;
  operator: SoakOperator;
  /** Loopback port that takes no connection and refuses none. */
  silentPort: number;
}

/** Injects a fault; resolves when the fault has ended. */
type InjectFault = (targets: IFaultTargets, scope: string, durationMs: Millis) => void | Promise<void>;

interface IInjector {
  /** Chooses the scope that the fault affects, from a random number below 1. */
  pickScope: (targets: IFaultTargets, draw: number) => string;
  inject: InjectFault;
}

/** Injects the faults of a chain one after the other, and records when each starts and ends. */
export async function runFaultChain(targets: IFaultTargets, chain: readonly SoakFault[]): Promise<void> {
  const { board } = targets;
  const startedAt = board.now();
  for (const { atMs, durationMs, kind, targetDraw } of chain) {
    await waitFor(Math.max(0, startedAt + atMs - board.now()));
    const { inject, pickScope } = INJECTORS[kind];
    const scope = pickScope(targets, targetDraw);
    const id = board.faults.size + 1;
    const isPlannedWork = PLANNED_WORK_KINDS.includes(kind as PlannedWorkKind);
    board.faults.set(id, { id, kind, scope, isPlannedWork, startedAt: board.now(), endedAt: undefined });
    await inject(targets, scope, durationMs);
    board.faults.update(id, { endedAt: board.now() });
  }
}

/** Time after a restoration of the store within which the operator and the runners write again what it has lost. */
const REWRITE_DELAY_MS: Millis = 1500;

/** Scope of faults of prompts, which disturb no process. */
const PROMPT_SCOPE = 'prompts';

/** Scope of faults of the answers of all runners, which disturb no process. */
const ALL_RUNNERS_SCOPE = 'runners';

/** Rate that a limited runner names. It is far below what it gets otherwise. */
const LIMITED_CALLS_PER_S = 2;

/** Loopback port where nothing listens. */
const CLOSED_PORT = 1;

const pickRouter: IInjector['pickScope'] = ({ routers }, draw) => pickItem(routers.ids, draw);
const pickRunner: IInjector['pickScope'] = ({ runners }, draw) =>
  pickItem(
    runners.map(({ id }) => id),
    draw,
  );
const pickFixed =
  (scope: string): IInjector['pickScope'] =>
  () =>
    scope;

const INJECTORS: Readonly<Record<SoakFaultKind, IInjector>> = {
  'stop-router': { pickScope: pickRouter, inject: ({ routers }, id) => routers.stopAndWaitForRestart(id) },
  'reload-router': {
    pickScope: pickRouter,
    inject: ({ routers }, id) => {
      routers.updateSettings(id);
    },
  },
  'drain-runner': { pickScope: pickRunner, inject: ({ runners }, id) => findRunner(runners, id)?.drain() },
  'change-configuration': {
    pickScope: pickFixed(OPERATOR_SCOPE),
    inject: ({ operator }) => {
      operator.publishNext();
    },
  },
  'revoke-key': {
    pickScope: pickFixed(OPERATOR_SCOPE),
    inject: ({ operator }) => {
      operator.replaceKey();
    },
  },
  'kill-router': { pickScope: pickRouter, inject: ({ routers }, id) => killRouter(routers, id) },
  'kill-all-routers': {
    pickScope: pickFixed(ALL_ROUTERS_SCOPE),
    inject: async ({ routers }) => {
      await Promise.all(routers.ids.map((id) => killRouter(routers, id)));
    },
  },
  'pause-router': {
    pickScope: pickRouter,
    inject: async ({ routers }, id, durationMs) => {
      routers.sendSignal(id, 'SIGSTOP');
      await waitFor(durationMs);
      routers.sendSignal(id, 'SIGCONT');
    },
  },
  'step-clock': {
    pickScope: pickRouter,
    inject: ({ routers }, id) => {
      routers.sendSignalIfStarted(id, 'SIGUSR2');
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
  'hang-router-link': createLinkCut('silent', ({ silentPort }) => silentPort),
  'refuse-router-link': createLinkCut('reset', () => CLOSED_PORT),
  'crash-runner': {
    pickScope: pickRunner,
    inject: ({ runners }, id, durationMs) => findRunner(runners, id)?.crash(durationMs),
  },
  'end-runner': {
    pickScope: pickRunner,
    inject: ({ runners }, id, durationMs) => findRunner(runners, id)?.crash(durationMs, 'close'),
  },
  'unmark-answers': createCommonFault('unmark'),
  'deny-resumptions': createCommonFault('deny'),
  'skip-events': createRunnerFault('skip'),
  'fail-answers': createRunnerFault('fail'),
  'refuse-calls': createRunnerFault('refuse'),
  'lose-answers': createRunnerFault('lose'),
  'tear-answers': createRunnerFault('tear'),
  'hang-answers': createRunnerFault('hang'),
  'crash-on-part': {
    pickScope: pickFixed(PROMPT_SCOPE),
    inject: ({ board }) => {
      const part = `bad-${board.crashingParts.size + 1}`;
      if (board.crashingParts.size === 0) board.crashingParts.set(part, { part, crashedAt: [] });
    },
  },
  'limit-rate': {
    pickScope: pickRunner,
    inject: ({ board }, runner) => {
      const limit = { runner, callsPerS: LIMITED_CALLS_PER_S, startedAt: board.now() };
      if (board.rateLimits.size === 0) board.rateLimits.set(runner, limit);
    },
  },
  'store-refuse': createStoreFault('refuse'),
  'store-silent': createStoreFault('silent'),
  'store-lose-replies': createStoreFault('lose-replies'),
  'store-compact': {
    pickScope: pickFixed(STORE_SCOPE),
    inject: ({ store }) => {
      store.compact();
    },
  },
  'store-restore': {
    pickScope: pickFixed(STORE_SCOPE),
    inject: async ({ store }, _scope, durationMs) => {
      const copy = store.copy();
      await waitFor(durationMs);
      const lost = store.copy();
      store.restore(copy);
      await waitFor(REWRITE_DELAY_MS);
      writeLostItems(store, copy, lost);
    },
  },
};

/** Writes again what the operator and the runners wrote before the restoration, unless they have written since. */
function writeLostItems(store: IRevisionStoreStandIn, copy: IStoreCopy, lost: IStoreCopy): void {
  const current = store.copy();
  for (const key of new Set([...copy.items.keys(), ...lost.items.keys()])) {
    const [before, after, now] = [copy, lost, current].map(({ items }) => items.get(key)?.value);
    const isHostKey = !['op/', 'servers/'].some((prefix) => key.startsWith(prefix));
    if (isHostKey || before === after || now !== before) continue;
    if (after === undefined) store.remove(key);
    else store.putBytes(key, Buffer.from(after, 'base64'));
  }
}

function createRunnerLinkFault(mode: LinkMode): IInjector {
  return {
    pickScope: pickRunner,
    inject: async ({ runners }, id, durationMs) => {
      await disposeAfter(findRunner(runners, id)?.proxy.addMode(mode), durationMs);
    },
  };
}

function createRouterLinkFault(side: 'callers' | 'store', mode: LinkMode): IInjector {
  return {
    pickScope: pickRouter,
    inject: ({ routers }, id, durationMs) =>
      disposeAfter(routers.getProxy(id, side).addMode(mode), durationMs),
  };
}

/** Creates a fault by which one router loses its link to all runners, for long enough that it has to be served again. */
function createLinkCut(
  openConnections: ILinkCut['openConnections'],
  getRedirectPort: (targets: IFaultTargets) => number,
): IInjector {
  return {
    pickScope: (targets, draw) => formatLinkScope(pickRouter(targets, draw)),
    inject: async (targets, scope, durationMs) => {
      const { routers, runners } = targets;
      const router = routers.ids.find((id) => formatLinkScope(id) === scope) ?? '';
      const ports = runners.map(({ proxy }) => proxy.port);
      const cut = routers.stopLink(router, {
        ports,
        redirectPort: getRedirectPort(targets),
        openConnections,
      });
      await disposeAfter(cut, SETTLING_MS + durationMs);
    },
  };
}

function createRunnerFault(fault: RunnerFault): IInjector {
  return {
    pickScope: pickRunner,
    inject: ({ runners }, id, durationMs) =>
      disposeAfter(findRunner(runners, id)?.addFault(fault), durationMs),
  };
}

/** Creates a fault that all runners have at the same time. */
function createCommonFault(fault: RunnerFault): IInjector {
  return {
    pickScope: pickFixed(ALL_RUNNERS_SCOPE),
    inject: async ({ runners }, _scope, durationMs) => {
      const faults = runners.map((runner) => runner.addFault(fault));
      await waitFor(durationMs);
      for (const entry of faults) entry.dispose();
    },
  };
}

function createStoreFault(fault: RevisionStoreFault): IInjector {
  return {
    pickScope: pickFixed(STORE_SCOPE),
    inject: async ({ store }, _scope, durationMs) => {
      store.fault = fault;
      await waitFor(durationMs);
      store.fault = 'none';
    },
  };
}

function killRouter(routers: RouterFleet, id: string): Promise<void> {
  return routers.endAndWaitForRestart(id, () => {
    routers.sendSignal(id, 'SIGKILL');
  });
}

async function disposeAfter(fault: IDisposable | undefined, durationMs: Millis): Promise<void> {
  await waitFor(durationMs);
  fault?.dispose();
}

function findRunner(runners: readonly SoakRunner[], id: string): SoakRunner | undefined {
  return runners.find((runner) => runner.id === id);
}

function pickItem(items: readonly string[], draw: number): string {
  return items[Math.floor(draw * items.length)] ?? '';
}
