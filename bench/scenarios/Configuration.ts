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

interface IRevisionInForce {
  at: number;
  revision: number;
}

/** Period, by wall clock, in which a fault kept the store or a host from responding. */
interface IOutage {
  /** Id of the host; `undefined` for a fault of the store. */
  host: string | undefined;
  startedAt: number;
  endedAt: number;
}

const EVENT_SCHEMA = z.object({
  kind: z.literal('config.in-force'),
  at: z.string(),
  fields: z.object({ revision: z.number() }),
});

/**
 * Makes 280 edits while hosts are killed or paused and the store is slow or down. Measures the time until each
 * edit is in force on each host, and checks that no host returns to an older revision.
 */
export async function runConfiguration(options: IScenarioOptions): Promise<IScenarioResult> {
  const fleet = await startFleet({
    document: buildDocument(0),
    engines: [{ versions: ['small-1'] }],
    plainEndpoints: 0,
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
  const faults = runFaults(fleet, chains, (fault, host, startedAt) => {
    // After its restart, a killed host has the target time to fetch the configuration. Until then it does
    // not count as live.
    outages.push({
      host,
      startedAt,
      endedAt: Date.now() + (fault.kind === 'kill-host' ? IN_FORCE_TARGET_MS : 0),
    });
  });
  const edits = await acceptEdits(fleet, count);
  await faults;
  await waitFor(SETTLE_MS);
  const countedDelays: number[] = [];
  const excludedDelays: number[] = [];
  let missing = 0;
  let reversions = 0;
  for (const host of fleet.hosts) {
    const history = readHistory(host.timelineFile);
    reversions += countReversions(history);
    for (const edit of edits) {
      const targetTime = edit.acceptedAt + IN_FORCE_TARGET_MS;
      const isCounted = !outages.some(
        (outage) =>
          (outage.host ?? host.id) === host.id &&
          outage.startedAt < targetTime &&
          outage.endedAt > edit.acceptedAt - 1,
      );
      const found = history.find(({ revision }) => revision >= edit.revision);
      if (!found) missing += 1;
      else (isCounted ? countedDelays : excludedDelays).push(Math.max(0, found.at - edit.acceptedAt));
    }
  }
  return {
    measures: [
      {
        name: 'time to force on a live host while the store responds, longest',
        value: Math.max(0, ...countedDelays),
        unit: 'ms',
        target: IN_FORCE_TARGET_MS,
        bound: 'at-most',
      },
      { name: 'edits never in force on a host', value: missing, unit: '', target: 0, bound: 'at-most' },
      { name: 'steps back to an older revision', value: reversions, unit: '', target: 0, bound: 'at-most' },
      { name: 'edits accepted', value: edits.length, unit: '', target: count, bound: 'at-least' },
    ],
    runs: {
      counted: computeQuantiles(countedDelays),
      'during faults of the store or the host': computeQuantiles(excludedDelays),
      faults: chains.map((chain) => chain.length),
    },
    plots: [
      {
        name: 'configuration-in-force',
        title: 'Time from the acceptance of an edit until it is in force on a host',
        xTitle: 'percentile',
        yTitle: 'ms',
        scale: 'linear',
        rows: [
          ...listQuantileRows('store and host respond', countedDelays),
          ...listQuantileRows('during a fault', excludedDelays),
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
      const accepted = await fleet.applyDocument(buildDocument(number), number);
      edits.push({ acceptedAt: Date.now(), revision: accepted.revision });
      number = accepted.number;
    } catch {
      // The store did not respond, and the edit is sent again as an operator would do. If only the reply was
      // lost, the document number shows that the edit was accepted.
      number = await readAcceptedNumber(fleet, number);
    }
    await waitFor(Math.max(0, startedAt + EDIT_INTERVAL_MS - performance.now()));
  }
  return edits;
}

/** Reads the number of the document in force, because an edit whose reply was lost may have been accepted. */
async function readAcceptedNumber(fleet: IFleet, lastKnown: number): Promise<number> {
  const number = await fleet.readDocumentNumber();
  return number ?? lastKnown;
}

function readHistory(file: string): IRevisionInForce[] {
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.includes('"config.in-force"'))
    .map((line) => EVENT_SCHEMA.parse(JSON.parse(line)))
    .map(({ at, fields }) => ({ at: Date.parse(at), revision: fields.revision }));
}

function countReversions(history: readonly IRevisionInForce[]): number {
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
