import type { IServiceEntry } from '../blackboard/Types.js';

/** An engine and the versions that it reports as loaded. */
export interface IEnginePlacement {
  id: string;
  versions: readonly string[];
}

/** Input of the placement of versions on engines. */
export interface IPlacementView {
  service: IServiceEntry;
  engines: readonly IEnginePlacement[];
  /** Recent requests at this host, by version. */
  demand: ReadonlyMap<string, number>;
  /** Number of version loads that the rate limit of the weight store allows now. */
  loadBudget: number;
  /** Largest number of versions that one engine may have loaded. */
  maxVersionsPerEngine: number;
}

/** Order to one engine: the complete list of versions that it must have loaded. */
export interface IPlacementOrder {
  endpoint: string;
  versions: readonly string[];
  /** Number of versions that the engine has to load from the weight store. */
  loads: number;
}

/** Plans the orders to the engines of a service. */
export type PlanPlacement = (view: IPlacementView) => IPlacementOrder[];

/**
 * Plans the loaded versions of each engine. Versions that are withdrawn or no longer in the service document
 * are unloaded. Versions below their target number of copies, which is proportional to demand, get one more
 * copy each as far as the load budget allows, those with the fewest copies first. The last copy of a version
 * that is not withdrawn is never unloaded, because sessions on any host may be pinned to it.
 */
export const planByDemand: PlanPlacement = (view) => {
  const wanted = listWantedVersions(view.service);
  const plan = new Map(
    view.engines.map(({ id, versions }) => [id, versions.filter((name) => wanted.includes(name))]),
  );
  let budget = view.loadBudget;
  const targetCopies = computeTargetCopies(view, wanted);
  const underReplicated = wanted.filter((name) => isUnderReplicated(name, plan, targetCopies));
  underReplicated.sort((first, second) => countCopies(first, plan) - countCopies(second, plan));
  for (const name of underReplicated) {
    if (budget < 1) break;
    if (addCopy(name, plan, targetCopies, view.maxVersionsPerEngine)) budget -= 1;
  }
  return view.engines.flatMap((engine) => listOrderIfChanged(engine, plan.get(engine.id) ?? []));
};

function listWantedVersions(service: IServiceEntry): string[] {
  return Object.values(service.document.versions)
    .filter((version) => version.stage !== 'withdrawn')
    .map((version) => version.name);
}

/** Computes the target number of copies of each version: proportional to its demand, at least one. */
function computeTargetCopies(view: IPlacementView, wanted: readonly string[]): Map<string, number> {
  const total = wanted.reduce((sum, name) => sum + (view.demand.get(name) ?? 0), 0);
  const capacity = view.engines.length * view.maxVersionsPerEngine;
  return new Map(
    wanted.map((name) => {
      const share = total > 0 ? (view.demand.get(name) ?? 0) / total : 0;
      return [name, Math.min(view.engines.length, Math.max(1, Math.floor(share * capacity)))];
    }),
  );
}

function isUnderReplicated(
  name: string,
  plan: ReadonlyMap<string, readonly string[]>,
  targetCopies: ReadonlyMap<string, number>,
): boolean {
  return countCopies(name, plan) < (targetCopies.get(name) ?? 1);
}

function countCopies(name: string, plan: ReadonlyMap<string, readonly string[]>): number {
  return [...plan.values()].filter((versions) => versions.includes(name)).length;
}

/**
 * Adds a copy of a version to the plan: on the engine with the fewest versions if it has space, otherwise in
 * place of a version that has more copies than its target. Tells whether a copy was added.
 */
function addCopy(
  name: string,
  plan: Map<string, string[]>,
  targetCopies: ReadonlyMap<string, number>,
  maxVersionsPerEngine: number,
): boolean {
  const otherEngines = [...plan.entries()].filter(([, versions]) => !versions.includes(name));
  otherEngines.sort(([, first], [, second]) => first.length - second.length);
  const [leastFilled] = otherEngines;
  if (leastFilled && leastFilled[1].length < maxVersionsPerEngine) {
    plan.set(leastFilled[0], [...leastFilled[1], name]);
    return true;
  }
  for (const [id, versions] of otherEngines) {
    const surplus = versions.find((other) => countCopies(other, plan) > (targetCopies.get(other) ?? 1));
    if (surplus === undefined) continue;
    plan.set(id, [...versions.filter((other) => other !== surplus), name]);
    return true;
  }
  return false;
}

/** Returns the order for an engine, or nothing if the engine already has exactly these versions. */
function listOrderIfChanged(engine: IEnginePlacement, versions: readonly string[]): IPlacementOrder[] {
  const loads = versions.filter((name) => !engine.versions.includes(name)).length;
  const isUnchanged = loads === 0 && versions.length === engine.versions.length;
  return isUnchanged ? [] : [{ endpoint: engine.id, versions, loads }];
}
