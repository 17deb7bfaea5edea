import { readFileSync } from 'node:fs';
import * as z from 'zod';
import { computeQuantiles } from '../../src/load/LoadRecorder.js';
import { waitFor } from '../../src/standins/HttpTools.js';
import { planHostAndStoreFaults, runFaults } from '../Faults.js';
import { startFleet } from '../Fleet.js';
import type { IFleet } from '../fleet/Types.js';
import { listQuantileRows } from '../Plots.js';
import type { IBenchDocument } from '../Documents.js';
import type { IScenarioOptions, IScenarioResult } from '../Types.js';

const EDITS = 280;
const EDIT_INTERVAL_MS = 200;
const IN_FORCE_TARGET_MS = 4000;
const SETTLE_MS = 6000;

interface IEdit {
  /** Wall-clock time of acceptance. */
  acceptedAt: number;
  revision: number;
}

interface IInForce {
  at: number;
  revision: number;
}

/** Times of faults, by wall clock, during which the store or a host did not respond. */
interface IOutage {
  host: string | undefined;
  from: number;
  to: number;
}

const EVENT_SCHEMA = z.object({
  kind: z.literal('config.in-force'),
  at: z.string(),
  fields: z.object({ revision: z.number() }),
});

/** 280 edits while hosts restart and the store is slow or down: time to force, and no host going back. */
export async function runConfiguration(options: IScenarioOptions): Promise<IScenarioResult> {
  const fleet = await startFleet({
    document: buildDocument(0),
    engines: [{ versions: ['small-1'] }],
    plains: 0,
    hosts: Math.max(options.hosts, 6),
    zones: 3,
    policy: options.policy,
    hasTimeline: true,
  });
  try {
    return await runEdits(fleet, options);
  } finally {
    await fleet.close();
  }
}

async function runEdits(fleet: IFleet, { scale, seed }: IScenarioOptions): Promise<IScenarioResult> {
  const count = Math.round(EDITS * scale);
  const outages: IOutage[] = [];
  const chains = planHostAndStoreFaults(seed, count * EDIT_INTERVAL_MS);
  const faults = runFaults(fleet, chains, (fault, host, from) => {
    // A host that was killed counts as live again once it has had the target's time to catch up.
    outages.push({ host, from, to: Date.now() + (fault.kind === 'kill-host' ? IN_FORCE_TARGET_MS : 0) });
  });
  const edits = await acceptEdits(fleet, count);
  await faults;
  await waitFor(SETTLE_MS);
  const delays: number[] = [];
  const excluded: number[] = [];
  let missing = 0;
  let reversions = 0;
  for (const host of fleet.hosts) {
    const history = readHistory(host.timeline);
    reversions += countReversions(history);
    for (const edit of edits) {
      const end = edit.acceptedAt + IN_FORCE_TARGET_MS;
      const isCounted = !outages.some(
        (outage) =>
          (outage.host ?? host.id) === host.id && outage.from < end && outage.to > edit.acceptedAt - 1,
      );
      const found = history.find(({ revision }) => revision >= edit.revision);
      if (!found) missing += 1;
      else (isCounted ? delays : excluded).push(Math.max(0, found.at - edit.acceptedAt));
    }
  }
  return {
    measures: [
      {
        name: 'time to force on a live host while the store responds, longest',
        value: Math.max(0, ...delays),
        unit: 'ms',
        target: IN_FORCE_TARGET_MS,
        bound: 'at-most',
      },
      { name: 'edits never in force on a host', value: missing, unit: '', target: 0, bound: 'at-most' },
      { name: 'steps back to an older revision', value: reversions, unit: '', target: 0, bound: 'at-most' },
      { name: 'edits accepted', value: edits.length, unit: '', target: count, bound: 'at-least' },
    ],
    runs: {
      counted: computeQuantiles(delays),
      'during faults of the store or the host': computeQuantiles(excluded),
      faults: chains.map((chain) => chain.length),
    },
    plots: [
      {
        name: 'configuration-in-force',
        title: 'Time from acceptance to force on a host',
        xTitle: 'percentile',
        yTitle: 'ms',
        scale: 'linear',
        rows: [
          ...listQuantileRows('store and host respond', delays),
          ...listQuantileRows('during a fault', excluded),
        ],
      },
    ],
  };
}

async function acceptEdits(fleet: IFleet, count: number): Promise<IEdit[]> {
  const edits: IEdit[] = [];
  let number = 1;
  while (edits.length < count) {
    const startedAt = performance.now();
    try {
      const accepted = await fleet.applyEdit(buildDocument(number), number);
      edits.push({ acceptedAt: Date.now(), revision: accepted.revision });
      number = accepted.number;
    } catch {
      // The store does not respond; an operator tries again. The base number tells a lost reply.
      number = await readNumber(fleet, number);
    }
    await waitFor(Math.max(0, startedAt + EDIT_INTERVAL_MS - performance.now()));
  }
  return edits;
}

/** Reads the number in force, because an edit without a reply may have been accepted. */
async function readNumber(fleet: IFleet, known: number): Promise<number> {
  const index = await fleet.readIndex();
  return index ?? known;
}

function readHistory(file: string): IInForce[] {
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.includes('"config.in-force"'))
    .map((line) => EVENT_SCHEMA.parse(JSON.parse(line)))
    .map(({ at, fields }) => ({ at: Date.parse(at), revision: fields.revision }));
}

function countReversions(history: readonly IInForce[]): number {
  return history.filter(({ revision }, index) => revision < (history[index - 1]?.revision ?? 0)).length;
}

function buildDocument(number: number): IBenchDocument {
  return {
    versions: [{ name: 'small-1', model: 'small', price: 1, quality: 0.95 }],
    accounts: 10,
    plainService: 'ledger',
    comment: `edit ${number}`,
  };
}
