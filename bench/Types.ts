import type { EndpointPolicy } from '../src/daemons/Policies.js';

/** Name of a scenario of the bench. */
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
  /** Endpoint policy under test; baselines run in the same run. */
  policy: EndpointPolicy;
  seed: number;
  /** Number of seeds, counted up from `seed`; scenarios of single faults use it. */
  seeds: number;
  /** Multiplies durations; below 1 for a trial. */
  scale: number;
  /** Number of entry hosts. */
  hosts: number;
  /** Folder for processor profiles of the hosts. */
  profile: string | undefined;
}

/** A figure with its target. */
export interface IMeasure {
  name: string;
  value: number;
  unit: string;
  target: number | undefined;
  bound: 'at-most' | 'at-least';
}

/** Points of a plot in long form. */
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
  /** Figures of the run under test and of its baselines, by name. */
  runs: Readonly<Record<string, unknown>>;
  plots: readonly IPlot[];
}

/** Runs a scenario. */
export type RunScenario = (options: IScenarioOptions) => Promise<IScenarioResult>;
