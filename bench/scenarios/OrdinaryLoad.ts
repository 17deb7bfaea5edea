import { BENCH_VERSION, computeCapacity, DEPLOYMENTS, withDeployment } from '../Deployments.js';
import type { DeploymentName } from '../Deployments.js';
import { buildTarget, listFirstTokenTimes, runAndCollectOutcomes, type ILoadResult } from '../Loads.js';
import { listQuantileRows } from '../Plots.js';
import type { IMeasure, IScenarioOptions, IScenarioResult } from '../Types.js';

const DEPLOYMENT_NAMES: readonly DeploymentName[] = ['caskback', 'launderers'];
const TOKENS = 64;
const DURATION_MS = 30_000;
/** Load as a share of the requests that the engines complete when their batches are always full. */
const LOAD_SHARE = 0.5;

/** Measures the times to first token and between tokens at ordinary load, with round robin as a baseline. */
export async function runOrdinaryLoad(options: IScenarioOptions): Promise<IScenarioResult> {
  const measures: IMeasure[] = [];
  const runs: Record<string, unknown> = {};
  const rows = [];
  for (const name of DEPLOYMENT_NAMES) {
    for (const policy of [options.policy, 'round-robin'] as const) {
      const { outcomes, summary } = await withDeployment(name, options, policy, (fleet) =>
        runDeployment(
          name,
          options,
          fleet.hosts.map(({ address }) => address),
        ),
      );
      runs[`${name}, ${policy}`] = summary;
      rows.push(...listQuantileRows(`${name}, ${policy}`, listFirstTokenTimes(outcomes)));
      if (policy === options.policy) measures.push(...listMeasures(name, summary));
    }
  }
  return {
    measures,
    runs,
    plots: [
      {
        name: 'ordinary-load-first-token',
        title: 'Time to first token at ordinary load',
        xTitle: 'percentile',
        yTitle: 'ms',
        scale: 'linear',
        rows,
      },
    ],
  };
}

function runDeployment(
  name: DeploymentName,
  { scale, seed }: IScenarioOptions,
  addresses: readonly string[],
): Promise<ILoadResult> {
  const requestsPerSecond = LOAD_SHARE * computeCapacity(DEPLOYMENTS[name].engines, TOKENS);
  return runAndCollectOutcomes(
    {
      seed,
      tokens: TOKENS,
      steps: [{ requestsPerSecond, durationMs: DURATION_MS * scale }],
      kindWeights: { stream: 18, whole: 1, plain: 1 },
      accounts: 10,
    },
    buildTarget(addresses, BENCH_VERSION),
  );
}

function listMeasures(name: DeploymentName, summary: ILoadResult['summary']): IMeasure[] {
  return [
    {
      name: `${name}: time to first token, p95`,
      value: summary.firstTokenMs.p95,
      unit: 'ms',
      target: 980,
      bound: 'at-most',
    },
    {
      name: `${name}: time between tokens, p95`,
      value: summary.betweenTokensMs.p95,
      unit: 'ms',
      target: 29,
      bound: 'at-most',
    },
    {
      name: `${name}: complete answers`,
      value: summary.complete / Math.max(1, summary.requests),
      unit: 'of requests',
      target: undefined,
      bound: 'at-least',
    },
  ];
}
