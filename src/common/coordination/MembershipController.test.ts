import test from 'ava';
import { createSeededRandom } from '../../adapters/Random.js';
import { formatPair, HostGroup } from '../../testing/HostGroup.js';
import { buildHostUpdate } from './Gossip.js';
import { applyHostUpdate } from './HostStates.js';

async function startGroup(count: number): Promise<HostGroup> {
  const group = new HostGroup({ random: createSeededRandom(3) });
  for (let host = 0; host < count; host += 1) group.startHost(`host-${host}`, 'zone-a');
  await group.clock.advance(5000);
  return group;
}

/** Records the states that one host sees another in, with seconds since now. */
function recordStates(group: HostGroup, observer: string, target: string): string[] {
  const startedAt = group.clock.now();
  const states: string[] = [];
  group.hosts.get(observer)?.board.hosts.onChange(({ key, before, after }) => {
    const isSame = before?.state === after?.state && before?.incarnation === after?.incarnation;
    if (key !== target || isSame) return;
    const seconds = Math.round((group.clock.now() - startedAt) / 1000);
    states.push(`${seconds} s ${String(after?.state)} ${String(after?.incarnation)}`);
  });
  return states;
}

// Guards against a host that is held for gone after a restart, or for alive after its end.
test('a host that ends becomes suspect, then gone after 5 s, and returns with a higher incarnation', async (t) => {
  const group = await startGroup(4);
  const states = recordStates(group, 'host-0', 'host-3');
  group.stopHost('host-3');
  await group.clock.advance(12_000);
  group.startHost('host-3', 'zone-a');
  await group.clock.advance(5000);
  t.snapshot(states);
  group.dispose();
});

test('a live host that is said to be gone refutes, and a late copy of the rumour changes nothing', async (t) => {
  const group = await startGroup(4);
  const { board } = group.hosts.get('host-0')!;
  const states = recordStates(group, 'host-0', 'host-3');
  const rumour = { ...buildHostUpdate(board.hosts.get('host-3')!), state: 'gone' as const };
  for (let copy = 0; copy < 2; copy += 1) {
    applyHostUpdate({ board, self: 'host-0', now: group.clock.now() }, rumour);
    await group.clock.advance(8000);
  }
  t.snapshot({ states, all: [...group.hosts.keys()].map((id) => group.describe(id).hosts) });
  group.dispose();
});

// Guards against a cut-off host that spreads its suspicions when it comes back.
test('a host that was cut off takes its own verdicts back and publishes none', async (t) => {
  const group = await startGroup(4);
  const states = recordStates(group, 'host-1', 'host-2');
  for (const id of ['host-1', 'host-2', 'host-3']) group.cutPairs.add(formatPair('host-0', id));
  await group.clock.advance(20_000);
  const cutOff = group.describe('host-0').hosts;
  group.cutPairs.clear();
  await group.clock.advance(10_000);
  t.snapshot({ cutOff, joined: group.describe('host-0').hosts, statesElsewhere: states });
  group.dispose();
});

test('the list, which lags, neither revives a host nor ends one, but its word that a host leaves counts', async (t) => {
  const group = await startGroup(3);
  group.stopHost('host-2');
  await group.clock.advance(12_000);
  const { board } = group.hosts.get('host-0')!;
  const listed = { id: 'host-2', address: '10.0.0.1:host-2', zone: 'zone-a' };
  board.listedHosts.set('host-2', { ...listed, state: 'live' });
  board.listedHosts.delete('host-1');
  await group.clock.advance(3000);
  const lagging = group.describe('host-0').hosts;
  board.listedHosts.set('host-9', { ...listed, id: 'host-9', state: 'leaving' });
  t.snapshot({ lagging, leaving: board.hosts.get('host-9')?.state });
  group.dispose();
});
