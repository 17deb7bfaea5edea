import type { IServiceEntry } from '../blackboard/Types.js';

/** An engine and the versions that it reports as loaded. */
export interface IEnginePlacement {
  id: string;
  versions: readonly string[];
}

/** What the placement of versions looks at. */
export interface IPlacementView {
  service: IServiceEntry;
  engines: readonly IEnginePlacement[];
  /** Requests per version that this host has seen lately. */
  demand: ReadonlyMap<string, number>;
  /** Loads that the weight store's rate limit allows now. */
  loadBudget: number;
  /** Most versions that one engine has loaded. */
  maxPerEngine: number;
}

/** The list of versions that one engine is to have loaded. */
export interface IPlacementOrder {
  endpoint: string;
  versions: readonly string[];
  /** Versions that the engine has to load from the weight store. */
  loads: number;
}

/** Plans orders to engines. */
export type PlanPlacement = (view: IPlacementView) => IPlacementOrder[];

/**
 * Unloads what is withdrawn or no longer in the document, gives every wanted version an engine, then
 * moves engines towards demand. The last copy of a version that is not withdrawn is never unloaded:
 * sessions on any host may be pinned to it.
 */
export const planByDemand: PlanPlacement = (view) => {
  const wanted = listWantedVersions(view.service);
  const plan = new Map(
    view.engines.map(({ id, versions }) => [id, versions.filter((name) => wanted.includes(name))]),
  );
  let budget = view.loadBudget;
  const copies = computeCopies(view, wanted);
  const missing = wanted.filter((name) => isShort(name, plan, copies));
  missing.sort((first, second) => countCopies(first, plan) - countCopies(second, plan));
  for (const name of missing) {
    if (budget < 1) break;
    if (addCopy(name, plan, copies, view.maxPerEngine)) budget -= 1;
  }
  return view.engines.flatMap((engine) => buildOrder(engine, plan.get(engine.id) ?? []));
};

function listWantedVersions(service: IServiceEntry): string[] {
  return Object.values(service.document.versions)
    .filter((version) => version.stage !== 'withdrawn')
    .map((version) => version.name);
}

/** Copies of each version in proportion to demand, at least one. */
function computeCopies(view: IPlacementView, wanted: readonly string[]): Map<string, number> {
  const total = wanted.reduce((sum, name) => sum + (view.demand.get(name) ?? 0), 0);
  const places = view.engines.length * view.maxPerEngine;
  return new Map(
    wanted.map((name) => {
      const share = total > 0 ? (view.demand.get(name) ?? 0) / total : 0;
      return [name, Math.min(view.engines.length, Math.max(1, Math.floor(share * places)))];
    }),
  );
}

function isShort(
  name: string,
  plan: ReadonlyMap<string, readonly string[]>,
  copies: ReadonlyMap<string, number>,
): boolean {
  return countCopies(name, plan) < (copies.get(name) ?? 1);
}

function countCopies(name: string, plan: ReadonlyMap<string, readonly string[]>): number {
  return [...plan.values()].filter((versions) => versions.includes(name)).length;
}

function addCopy(
  name: string,
  plan: Map<string, string[]>,
  copies: ReadonlyMap<string, number>,
  maxPerEngine: number,
): boolean {
  const open = [...plan.entries()].filter(([, versions]) => !versions.includes(name));
  open.sort(([, first], [, second]) => first.length - second.length);
  const [emptiest] = open;
  if (emptiest && emptiest[1].length < maxPerEngine) {
    plan.set(emptiest[0], [...emptiest[1], name]);
    return true;
  }
  for (const [id, versions] of open) {
    const surplus = versions.find((other) => countCopies(other, plan) > (copies.get(other) ?? 1));
    if (surplus === undefined) continue;
    plan.set(id, [...versions.filter((other) => other !== surplus), name]);
    return true;
  }
  return false;
}

function buildOrder(engine: IEnginePlacement, versions: readonly string[]): IPlacementOrder[] {
  const loads = versions.filter((name) => !engine.versions.includes(name)).length;
  const isSame = loads === 0 && versions.length === engine.versions.length;
  return isSame ? [] : [{ endpoint: engine.id, versions, loads }];
}
