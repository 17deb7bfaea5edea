import test from 'ava';
import { createSeededRandom } from '../../adapters/Random.js';
import { buildDocumentText, formatPair, HostGroup } from '../../testing/HostGroup.js';

async function startGroup(count: number, seed = 1): Promise<HostGroup> {
  const group = new HostGroup({ random: createSeededRandom(seed) });
  await group.applyDocument(buildDocumentText(0));
  for (let host = 0; host < count; host += 1) group.startHost(`host-${host}`, 'zone-a');
  await group.clock.advance(8000);
  return group;
}

function listRevisions(group: HostGroup): Record<string, number> {
  return Object.fromEntries([...group.hosts.keys()].map((id) => [id, group.describe(id).revision]));
}

/** Cuts the connections between a host and all others. The host still reaches the store. */
function splitOffHost(group: HostGroup, id: string): void {
  for (const other of group.hosts.keys())
    if (other !== id) group.disconnectedPairs.add(formatPair(id, other));
}

// Guards against hosts that learn of revisions only through the two watching hosts of their availability
// zone: a revision that neither of the two can read would not reach the other hosts. Each host in turn is the
// only one that the store answers.
test('a revision that only one host can read from the store reaches all hosts within 4 s', async (t) => {
  const revisions: Record<string, unknown> = {};
  for (const reader of ['host-0', 'host-1', 'host-2', 'host-3', 'host-4', 'host-5', 'host-6']) {
    const group = await startGroup(7);
    for (const id of group.hosts.keys()) if (id !== reader) group.storeAccess.set(id, 'silent');
    const revision = await group.applyDocument(buildDocumentText(1));
    await group.clock.advance(4000);
    revisions[reader] = { revision, inForce: listRevisions(group) };
    group.dispose();
  }
  t.snapshot(revisions);
});

test('after five of seven hosts have stopped, the other two still put a new revision in force', async (t) => {
  const group = await startGroup(7);
  for (const id of ['host-0', 'host-1', 'host-2', 'host-3', 'host-4']) group.stopHost(id);
  await group.applyDocument(buildDocumentText(1));
  await group.clock.advance(4000);
  t.snapshot(listRevisions(group));
  group.dispose();
});

test('a host that starts while the store is down gets the configuration from its peers', async (t) => {
  const group = await startGroup(3);
  group.isStoreDown = true;
  group.startHost('host-3', 'zone-b');
  await group.clock.advance(4000);
  t.snapshot(group.describe('host-3'));
  group.dispose();
});

test('a host cut off from the store and all peers reports not ready, also when it has just started', async (t) => {
  const group = await startGroup(1);
  group.isStoreDown = true;
  group.startHost('host-1', 'zone-a');
  splitOffHost(group, 'host-1');
  await group.clock.advance(9000);
  const isReadyAfter9s = group.describe('host-0').isReady;
  await group.clock.advance(3000);
  t.snapshot({
    within: isReadyAfter9s,
    after: group.describe('host-0').isReady,
    fresh: group.describe('host-1'),
  });
  group.dispose();
});

test('a host with stale store reads takes new revisions from its peers and keeps them', async (t) => {
  const group = await startGroup(3);
  group.serveStaleReads('host-0');
  await group.applyDocument(buildDocumentText(1));
  await group.clock.advance(4000);
  const revisionsWithPeers = listRevisions(group);
  splitOffHost(group, 'host-0');
  await group.clock.advance(15_000);
  t.snapshot({ following: revisionsWithPeers, alone: listRevisions(group) });
  group.dispose();
});

test('a configuration from a peer is put in force only if its index and documents are valid', async (t) => {
  const group = await startGroup(1);
  const { board } = group.hosts.get('host-0')!;
  const index = JSON.stringify({ services: { deposits: 9 }, rollouts: {} });
  const key = 'config/deposits/9';
  const record = { service: 'deposits', number: 9, author: 'x', editedAt: 'x' };
  const records = [
    {},
    { [key]: 'no JSON' },
    { [key]: JSON.stringify({ ...record, text: '[service]\nname = deposits\n' }) },
    { [key]: JSON.stringify({ ...record, number: 8, text: buildDocumentText(1) }) },
    { [key]: JSON.stringify({ ...record, text: buildDocumentText(1) }) },
  ];
  const revisions = records.map((offered) => {
    board.configuration.set('offered', { revision: 99, index, records: offered, from: 'peer' });
    return group.describe('host-0').revision;
  });
  board.configuration.set('offered', { revision: 100, index: '{', records: {}, from: 'peer' });
  t.snapshot({ revisions, malformedIndex: group.describe('host-0').revision });
  group.dispose();
});

// Guards against revisions that reach a host late or never while hosts restart and the store is down or slow.
test('each of 280 edits is in force on every host within 4 s, and no host returns to an older revision', async (t) => {
  const group = await startGroup(12, 7);
  const random = createSeededRandom(280);
  let late = 0;
  let reverted = 0;
  const previousRevisions = new Map<string, number>();
  for (let edit = 1; edit <= 280; edit += 1) {
    if (edit % 20 === 0) {
      group.isStoreDown = true;
      await group.clock.advance(3000);
      group.isStoreDown = false;
    }
    const restarted = `host-${Math.floor(random() * 12)}`;
    if (edit % 5 === 0) group.stopHost(restarted);
    group.storeDelayMs = edit % 3 === 0 ? 300 : 0;
    const revision = await group.applyDocument(buildDocumentText(edit));
    const pause = 500 * random();
    await group.clock.advance(pause);
    if (edit % 5 === 0) {
      previousRevisions.delete(restarted);
      group.startHost(restarted, 'zone-a');
    }
    await group.clock.advance(4000 - pause);
    for (const [id, current] of Object.entries(listRevisions(group))) {
      if (current < revision) late += 1;
      if (current < (previousRevisions.get(id) ?? 0)) reverted += 1;
      previousRevisions.set(id, current);
    }
  }
  t.snapshot({ late, reverted, hosts: group.hosts.size });
  group.dispose();
});
