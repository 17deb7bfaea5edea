import test, { type ExecutionContext } from 'ava';
import { hashTexts } from '../../adapters/Random.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { MemoryStore, type StoreFault } from '../../testing/MemoryStore.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { HostState } from '../blackboard/Types.js';
import { PartitionLog } from './PartitionLog.js';
import { PartitionOwnerController } from './PartitionOwnerController.js';

interface IMember {
  board: Blackboard;
  controller: PartitionOwnerController;
}

const PARTITIONS = 4;

class Fleet {
  public readonly clock = new ManualClock();
  public readonly members = new Map<string, IMember>();
  public fault: StoreFault = 'none';
  private readonly _store = new MemoryStore({ clock: this.clock, chooseFault: () => this.fault });
  private _lastId = 0;

  public add(host: string): IMember {
    const board = new Blackboard();
    const { clock, _store: store } = this;
    const createId = (): string => `id-${(this._lastId += 1)}`;
    const common = { board, store, clock, host, createId };
    const createLog = (partition: number): PartitionLog =>
      new PartitionLog({ ...common, partition, readWallClock: () => clock.now() });
    const controller = new PartitionOwnerController({
      ...common,
      partitions: PARTITIONS,
      hash: hashTexts,
      createLog,
    });
    const member = { board, controller };
    this.members.set(host, member);
    for (const id of this.members.keys()) this.setState(id, 'alive');
    void controller.run();
    return member;
  }

  public setState(id: string, state: HostState): void {
    for (const { board } of this.members.values()) {
      board.hosts.set(id, { id, address: '', zone: 'z', state, incarnation: 0, changedAt: 0 });
    }
  }

  public describe(): Record<string, string[]> {
    return Object.fromEntries(
      [...this.members].map(([host, { board }]) => [
        host,
        Array.from({ length: PARTITIONS }, (_, partition) => {
          const entry = board.partitions.get(partition);
          return `${entry?.phase ?? 'unknown'} ${entry?.owner ?? '-'}`;
        }),
      ]),
    );
  }
}

async function startFleet(): Promise<Fleet> {
  const fleet = new Fleet();
  for (const host of ['host-1', 'host-2', 'host-3']) fleet.add(host);
  await fleet.clock.advance(12_000);
  return fleet;
}

function checkOwned(t: ExecutionContext, fleet: Fleet): void {
  const owners = [...fleet.members.values()].flatMap(({ board }) => [...board.partitions.list()]);
  const owned = owners.filter((entry) => entry.phase === 'owned').map((entry) => entry.partition);
  t.deepEqual(owned.sort(), [0, 1, 2, 3]);
}

// Guards against partitions that have no owner for longer than the stated 5 s after a host has died.
test('partitions are distributed, and those of a killed host have new owners within 5 s', async (t) => {
  const fleet = await startFleet();
  const before = fleet.describe();
  checkOwned(t, fleet);
  // The host is killed: its leases are not released and expire.
  const victim = before['host-1']?.some((text) => text.startsWith('owned')) ? 'host-1' : 'host-2';
  fleet.members.get(victim)!.controller.dispose();
  fleet.members.delete(victim);
  await fleet.clock.advance(5000);
  checkOwned(t, fleet);
  t.snapshot({ before, victim, after: fleet.describe() });
});

// Guards against partitions that have no owner until a lease expires after a planned stop.
test('a host that drains hands its partitions over at once', async (t) => {
  const fleet = await startFleet();
  const leaving = [...fleet.members.entries()].find(([, { board }]) =>
    [...board.partitions.list()].some((entry) => entry.phase === 'owned'),
  )![0];
  fleet.setState(leaving, 'leaving');
  const drained = fleet.members.get(leaving)!.controller.drain();
  await fleet.clock.advance(1000);
  await drained;
  fleet.members.delete(leaving);
  checkOwned(t, fleet);
  t.snapshot({ leaving, after: fleet.describe() });
});

// Guards against owners that close their logs during an outage and have to load them again.
test('owners keep their logs through a store outage', async (t) => {
  const fleet = await startFleet();
  const before = fleet.describe();
  fleet.fault = 'unavailable';
  await fleet.clock.advance(60_000);
  const during = fleet.describe();
  fleet.fault = 'none';
  await fleet.clock.advance(5000);
  checkOwned(t, fleet);
  t.snapshot({ before, during, after: fleet.describe() });
});

// Guards against a host that never becomes ready. It reads the lease of a partition before the lease has a
// holder, and does not compete for the partition. It then has to read the lease again to learn the owner.
test('a host that does not compete for a partition learns of an owner that takes it later', async (t) => {
  const fleet = new Fleet();
  for (let number = 1; number <= 12; number += 1) fleet.add(`host-${number}`);
  await fleet.clock.advance(12_000);
  const unknown = [...fleet.members].flatMap(([host, { board }]) =>
    Array.from({ length: PARTITIONS }, (_, partition) => partition)
      .filter((partition) => board.partitions.get(partition)?.owner === undefined)
      .map((partition) => `${host} ${partition}`),
  );
  t.deepEqual(unknown, []);
});
