import test from 'ava';
import { Result } from 'true-myth';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { HostState } from '../blackboard/Types.js';
import { HeldBillController } from './HeldBillController.js';
import { createChooseCopyHolders } from './CopyHolders.js';
import type { IJournal, JournalEntry } from './Types.js';

const ZONES: Record<string, string> = {
  'host-1': 'a',
  'host-2': 'a',
  'host-3': 'b',
  'host-4': 'c',
  'host-5': 'c',
};

function createEntries(request: string): JournalEntry[] {
  const common = { service: 's', account: 'a-1', version: 'small-1', promptTokens: 1, completionTokens: 1 };
  return [{ kind: 'bill', key: request, bill: { ...common, request, cost: 1 }, atMs: 0, retention: 'short' }];
}

/** Five hosts in three zones that share a journal, which accepts appends while `isStoreUp` is set. */
class Fleet {
  public readonly clock = new ManualClock();
  public readonly appended: string[] = [];
  public readonly unreachable = new Set<string>();
  public readonly shortages: string[] = [];
  public readonly boards = new Map<string, Blackboard>();
  public readonly controllers = new Map<string, HeldBillController>();
  public isStoreUp = false;

  constructor() {
    for (const host of Object.keys(ZONES)) this._add(host);
    for (const host of Object.keys(ZONES)) this.setState(host, 'alive');
  }

  public setState(id: string, state: HostState): void {
    const zone = ZONES[id] ?? '';
    for (const board of this.boards.values())
      board.hosts.set(id, { id, address: '', zone, state, incarnation: 0, changedAt: 0 });
  }

  public describe(): string[] {
    return [...this.boards].flatMap(([host, board]) =>
      [...board.heldBills.list()].map(
        (bill) =>
          `${host} ${bill.role} ${bill.phase} ${bill.key} ${bill.copies.map((copy) => copy.host).join('+')}`,
      ),
    );
  }

  private _add(host: string): void {
    const board = new Blackboard();
    const journal: IJournal = {
      append: (key) => {
        if (!this.isStoreUp) return Promise.resolve(Result.err({ kind: 'unavailable', message: 'down' }));
        this.appended.push(`${host} ${key}`);
        return Promise.resolve(Result.ok([{ kind: 'committed' }]));
      },
      lookup: () => Promise.resolve(Result.ok(undefined)),
    };
    const controller = new HeldBillController({
      board,
      clock: this.clock,
      journal,
      host,
      zone: ZONES[host] ?? '',
      chooseCopyHolders: createChooseCopyHolders(() => 0.5),
      sendHold: (peer, bills) => {
        if (this.unreachable.has(peer))
          return Promise.resolve(Result.err({ kind: 'unreachable', message: 'gone' }));
        return Promise.resolve(Result.ok(this.controllers.get(peer)!.acceptCopies(host, bills)));
      },
      sendRelease: (peer, ids) => {
        if (!this.unreachable.has(peer)) this.controllers.get(peer)!.dropCopies(ids);
        return Promise.resolve(Result.ok(undefined));
      },
    });
    controller.onShortage(({ id, confirmed }) => this.shortages.push(`${id}: ${confirmed}`));
    this.boards.set(host, board);
    this.controllers.set(host, controller);
  }
}

// Guards against an answer that is sent while its bill is only in the memory of one host or one zone.
test('a held bill is copied to two other zones, then appended and released when the store is back', async (t) => {
  const fleet = new Fleet();
  await fleet.controllers.get('host-1')!.holdBill('k-1', createEntries('k-1'));
  const held = fleet.describe();
  await fleet.clock.advance(5000);
  const during = [...fleet.appended];
  fleet.isStoreUp = true;
  await fleet.clock.advance(1000);
  t.snapshot({ held, during, appended: fleet.appended, after: fleet.describe(), shortages: fleet.shortages });
});

// Guards against the loss of a bill when the host that served the request dies during the outage.
test('a copy on a peer that is gone is made again, and peers append the copies of a host that is gone', async (t) => {
  const fleet = new Fleet();
  await fleet.controllers.get('host-1')!.holdBill('k-1', createEntries('k-1'));
  fleet.unreachable.add('host-3');
  fleet.setState('host-3', 'gone');
  await fleet.clock.advance(1000);
  const replaced = fleet.describe();
  fleet.controllers.get('host-1')!.dispose();
  fleet.setState('host-1', 'gone');
  fleet.isStoreUp = true;
  await fleet.clock.advance(2000);
  t.snapshot({ replaced, appended: fleet.appended });
});

// Guards against an answer that is never sent, or a shortage that is not reported.
test('an answer is sent and a shortage is reported when too few peers confirm a copy', async (t) => {
  const fleet = new Fleet();
  for (const peer of ['host-3', 'host-4', 'host-5']) fleet.unreachable.add(peer);
  await fleet.controllers.get('host-1')!.holdBill('k-1', createEntries('k-1'));
  t.snapshot({ held: fleet.describe(), shortages: fleet.shortages });
});
