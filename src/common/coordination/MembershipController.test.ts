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

/** Records the states that `observer` has for `target`, with the seconds since the call of this function. */
function recordStates(group: HostGroup, observer: string, target: string): string[] {
  const startedAt = group.clock.now();
  const states: string[] = [];
  group.hosts.get(observer)?.board.hosts.onChange(({ key, before, after }) => {
    const isUnchanged = before?.state === after?.state && before?.incarnation === after?.incarnation;
    if (key !== target || isUnchanged) return;
    const seconds = Math.round((group.clock.now() - startedAt) / 1000);
    states.push(`${seconds} s ${String(after?.state)} ${String(after?.incarnation)}`);
  });
  return states;
}

// Guards against a host that is taken for `gone` after its restart, or for `alive` after its process has
// ended.
test('a host that stops becomes suspect, is gone 5 s later, and returns with a higher incarnation', async (t) => {
  const group = await startGroup(4);
  const states = recordStates(group, 'host-0', 'host-3');
  group.stopHost('host-3');
  await group.clock.advance(12_000);
  group.startHost('host-3', 'zone-a');
  await group.clock.advance(5000);
  t.snapshot(states);
  group.dispose();
});

test('a live host refutes an update that it is gone, and a late copy of the update changes nothing', async (t) => {
  const group = await startGroup(4);
  const { board } = group.hosts.get('host-0')!;
  const states = recordStates(group, 'host-0', 'host-3');
  const falseUpdate = { ...buildHostUpdate(board.hosts.get('host-3')!), state: 'gone' as const };
  for (let copy = 0; copy < 2; copy += 1) {
    applyHostUpdate({ board, self: 'host-0', now: group.clock.now() }, falseUpdate);
    await group.clock.advance(8000);
  }
  t.snapshot({ states, all: [...group.hosts.keys()].map((id) => group.describe(id).hosts) });
  group.dispose();
});

// Guards against a host that was cut off and publishes its suspicions when it reaches its peers again.
test('a host that was cut off reverts the states that it decided on meanwhile and publishes none', async (t) => {
  const group = await startGroup(4);
  const states = recordStates(group, 'host-1', 'host-2');
  for (const id of ['host-1', 'host-2', 'host-3']) group.disconnectedPairs.add(formatPair('host-0', id));
  await group.clock.advance(20_000);
  const cutOff = group.describe('host-0').hosts;
  group.disconnectedPairs.clear();
  await group.clock.advance(10_000);
  t.snapshot({ cutOff, joined: group.describe('host-0').hosts, statesElsewhere: states });
  group.dispose();
});

test('the host list cannot mark a host alive or gone, because it lags, but can mark one as leaving', async (t) => {
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
