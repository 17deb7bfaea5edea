import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fc } from '@fast-check/ava';
import test from 'ava';
import { mergeEvents } from '../../common/timeline/Merge.js';
import type { ITimelineEvent, TimelineFields } from '../../common/timeline/Types.js';
import { runCommand } from '../../testing/CommandRig.js';

function createEvent(
  host: string,
  lamport: number,
  sequence: number,
  kind: string,
  fields: TimelineFields = {},
): ITimelineEvent {
  return { host, lamport, sequence, at: '2026-01-01T00:00:00.000Z', kind, fields };
}

const REQUEST_FIELDS = { request: 'r-1', service: 'deposits' };
const HOST_1_EVENTS = [
  createEvent('host-1', 1, 1, 'request.received', REQUEST_FIELDS),
  createEvent('host-1', 5, 2, 'request.claimed', REQUEST_FIELDS),
  createEvent('host-1', 6, 3, 'request.running', { ...REQUEST_FIELDS, version: 'small-1' }),
  createEvent('host-1', 7, 4, 'attempt.sent', { request: 'r-1', role: 'primary', version: 'small-1' }),
  createEvent('host-1', 8, 5, 'attempt.sent', { request: 'r-1', role: 'hedge', version: 'small-1' }),
  createEvent('host-1', 9, 6, 'attempt.sent', { request: 'r-1', role: 'escalation', version: 'large-1' }),
  createEvent('host-1', 12, 7, 'request.billed', REQUEST_FIELDS),
];
const HOST_2_EVENTS = [
  createEvent('host-2', 3, 1, 'partition.owned', { partition: 4 }),
  createEvent('host-2', 5, 2, 'request.received', { request: '<b>', service: 'other' }),
];

// A host that is killed while it writes leaves an incomplete last line, which the command must skip. Callers
// choose some of the names in events, so these must be escaped in HTML.
test('timelines are merged in causal order, filtered, and rendered as text, JSON and HTML', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'mulberryweir-'));
  const files = [join(folder, 'host-1.jsonl'), join(folder, 'host-2.jsonl')];
  writeFileSync(
    files[0]!,
    `${HOST_1_EVENTS.map((event) => JSON.stringify(event)).join('\n')}\n{"host":"host-1","la`,
  );
  writeFileSync(files[1]!, HOST_2_EVENTS.map((event) => JSON.stringify(event)).join('\n'));
  const page = join(folder, 'page.html');
  const commands = [
    [],
    ['--request', 'r-1'],
    ['--host', 'host-2', '--format', 'json'],
    ['--version', 'large-1'],
    ['--service', 'other', '--json'],
    ['--request', 'r-1', '--format', 'html', '--out', page],
    ['--out', join(folder, 'missing', 'page.html')],
    ['--format', 'pdf'],
  ];
  const runs = [];
  for (const args of commands)
    runs.push(await runCommand(['timeline', ...files, ...args], { [folder]: 'F' }));
  t.deepEqual(
    runs.map((run) => run.exitCode),
    [0, 0, 0, 0, 0, 0, 1, 2],
  );
  t.snapshot(runs);
  t.snapshot(readFileSync(page, 'utf8'));
});

// The merged events must not depend on which file is read first, or on whether a file is given twice.
test('merging gives the same events for any order of the files and for a file that is given twice', (t) => {
  const expected = mergeEvents([HOST_1_EVENTS, HOST_2_EVENTS]);
  const events = [...HOST_1_EVENTS, ...HOST_2_EVENTS];
  fc.assert(
    fc.property(fc.shuffledSubarray(events, { minLength: events.length }), (shuffled) => {
      t.deepEqual(mergeEvents([shuffled, HOST_1_EVENTS]), expected);
    }),
    { numRuns: 50 },
  );
});
