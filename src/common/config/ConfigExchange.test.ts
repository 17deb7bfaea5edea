import test from 'ava';
import { createSeededRandom } from '../../adapters/Random.js';
import { buildDocument, formatPair, HostGroup } from '../../testing/HostGroup.js';

async function startGroup(count: number, seed = 1): Promise<HostGroup> {
  const group = new HostGroup({ random: createSeededRandom(seed) });
  await group.applyDocument(buildDocument(0));
  for (let host = 0; host < count; host += 1) group.startHost(`host-${host}`, 'zone-a');
  await group.clock.advance(8000);
  return group;
}

function listRevisions(group: HostGroup): Record<string, number> {
  return Object.fromEntries([...group.hosts.keys()].map((id) => [id, group.describe(id).revision]));
}

/** Cuts a host off from all others. */
function splitOffHost(group: HostGroup, id: string): void {
  for (const other of group.hosts.keys()) if (other !== id) group.cutPairs.add(formatPair(id, other));
}

// Guards against hosts that follow only the two watchers of their zone.
test('a revision that only one host can read reaches all within 4 s, whichever host it is', async (t) => {
  const revisions: Record<string, unknown> = {};
  for (const reader of ['host-0', 'host-1', 'host-2', 'host-3', 'host-4', 'host-5', 'host-6']) {
    const group = await startGroup(7);
    for (const id of group.hosts.keys()) if (id !== reader) group.storeAccess.set(id, 'silent');
    const revision = await group.applyDocument(buildDocument(1));
    await group.clock.advance(4000);
    revisions[reader] = { revision, inForce: listRevisions(group) };
    group.dispose();
  }
  t.snapshot(revisions);
});

test('the end of every host but two leaves the others able to follow', async (t) => {
  const group = await startGroup(7);
  for (const id of ['host-0', 'host-1', 'host-2', 'host-3', 'host-4']) group.stopHost(id);
  await group.applyDocument(buildDocument(1));
  await group.clock.advance(4000);
  t.snapshot(listRevisions(group));
  group.dispose();
});

test('a host that starts while the store is down takes the revision of its peers', async (t) => {
  const group = await startGroup(3);
  group.isStoreDown = true;
  group.startHost('host-3', 'zone-b');
  await group.clock.advance(4000);
  t.snapshot(group.describe('host-3'));
  group.dispose();
});

test('a host without store and peers has no configuration and reports not ready', async (t) => {
  const group = await startGroup(1);
  group.isStoreDown = true;
  group.startHost('host-1', 'zone-a');
  splitOffHost(group, 'host-1');
  await group.clock.advance(9000);
  const within = group.describe('host-0').isReady;
  await group.clock.advance(3000);
  t.snapshot({ within, after: group.describe('host-0').isReady, fresh: group.describe('host-1') });
  group.dispose();
});

test('a host that reads an old value keeps its revision and follows its peers', async (t) => {
  const group = await startGroup(3);
  group.holdOldStore('host-0');
  await group.applyDocument(buildDocument(1));
  await group.clock.advance(4000);
  const following = listRevisions(group);
  splitOffHost(group, 'host-0');
  await group.clock.advance(15_000);
  t.snapshot({ following, alone: listRevisions(group) });
  group.dispose();
});

test("a peer's answer is validated like the store's", async (t) => {
  const group = await startGroup(1);
  const { board } = group.hosts.get('host-0')!;
  const index = JSON.stringify({ services: { deposits: 9 }, rollouts: {} });
  const key = 'config/deposits/9';
  const record = { service: 'deposits', number: 9, author: 'x', editedAt: 'x' };
  const records = [
    {},
    { [key]: 'no JSON' },
    { [key]: JSON.stringify({ ...record, text: '[service]\nname = deposits\n' }) },
    { [key]: JSON.stringify({ ...record, number: 8, text: buildDocument(1) }) },
    { [key]: JSON.stringify({ ...record, text: buildDocument(1) }) },
  ];
  const revisions = records.map((offered) => {
    board.configuration.set('offered', { revision: 99, index, records: offered, from: 'peer' });
    return group.describe('host-0').revision;
  });
  board.configuration.set('offered', { revision: 100, index: '{', records: {}, from: 'peer' });
  t.snapshot({ revisions, malformedIndex: group.describe('host-0').revision });
  group.dispose();
});

// Guards against a late or a lost revision among many, with hosts that restart and a store that fails.
test('each of 280 edits is in force on every host within 4 s, and no host goes back', async (t) => {
  const group = await startGroup(12, 7);
  const random = createSeededRandom(280);
  let late = 0;
  let reverted = 0;
  const last = new Map<string, number>();
  for (let edit = 1; edit <= 280; edit += 1) {
    if (edit % 20 === 0) {
      group.isStoreDown = true;
      await group.clock.advance(3000);
      group.isStoreDown = false;
    }
    const restarted = `host-${Math.floor(random() * 12)}`;
    if (edit % 5 === 0) group.stopHost(restarted);
    group.storeDelayMs = edit % 3 === 0 ? 300 : 0;
    const revision = await group.applyDocument(buildDocument(edit));
    const pause = 500 * random();
    await group.clock.advance(pause);
    if (edit % 5 === 0) {
      last.delete(restarted);
      group.startHost(restarted, 'zone-a');
    }
    await group.clock.advance(4000 - pause);
    for (const [id, current] of Object.entries(listRevisions(group))) {
      if (current < revision) late += 1;
      if (current < (last.get(id) ?? 0)) reverted += 1;
      last.set(id, current);
    }
  }
  t.snapshot({ late, reverted, hosts: group.hosts.size });
  group.dispose();
});
