import type { EndpointPolicy } from '../src/daemons/Policies.js';

/** Name of a benchmark scenario. */
export type ScenarioName =
  | 'router-cost'
  | 'ordinary-load'
  | 'slowed-endpoints'
  | 'crest'
  | 'head-of-line'
  | 'once-and-billed'
  | 'configuration';

/** Options of one scenario run. */
export interface IScenarioOptions {
  /** Endpoint policy under test. A scenario with baselines also runs the baseline policies. */
  policy: EndpointPolicy;
  seed: number;
  /** Number of consecutive seeds, starting at `seed`. Only the scenario `once-and-billed` reads it. */
  seeds: number;
  /** Factor on all durations; below 1 for a short trial run. */
  scale: number;
  /** Number of entry hosts. */
  hosts: number;
  /** Folder for the CPU profiles of the hosts; without it no profiles are written. */
  profile: string | undefined;
}

/** A measured value and the target that it is compared with, if it has one. */
export interface IMeasure {
  name: string;
  value: number;
  unit: string;
  target: number | undefined;
  bound: 'at-most' | 'at-least';
}

/** One point of a plot, with the series that it belongs to. */
export interface IPlotRow {
  series: string;
  x: number;
  y: number;
}

/** Data of one plot. */
export interface IPlot {
  name: string;
  title: string;
  xTitle: string;
  yTitle: string;
  scale: 'linear' | 'log';
  rows: readonly IPlotRow[];
}

/** Result of a scenario. */
export interface IScenarioResult {
  measures: readonly IMeasure[];
  /** Details of the runs under test and of the baseline runs, by name. */
  runs: Readonly<Record<string, unknown>>;
  plots: readonly IPlot[];
}

/** Runs a scenario and returns its measures and plots. */
export type RunScenario = (options: IScenarioOptions) => Promise<IScenarioResult>;
