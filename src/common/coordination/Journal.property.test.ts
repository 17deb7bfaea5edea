import test from 'ava';
import fc from 'fast-check';
import { Result } from 'true-myth';
import { hashTexts } from '../../adapters/Random.js';
import { ManualClock, settlePromises } from '../../testing/ManualClock.js';
import { MemoryStore, type StoreFault } from '../../testing/MemoryStore.js';
import { PausableHost } from '../../testing/PausableHost.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { HostState } from '../blackboard/Types.js';
import { HeldBillController } from './HeldBillController.js';
import { listBills, trimBills } from './BillExport.js';
import { createChooseCopyHolders } from './CopyHolders.js';
import { Lease } from './Lease.js';
import { PartitionLog } from './PartitionLog.js';
import { PartitionOwnerController } from './PartitionOwnerController.js';
import { createRoutedJournal, type SendAppend } from './RoutedJournal.js';
import type { AppendOutcome, IJournal, JournalEntry, JournalError } from './Types.js';

const SEED = Number(process.env.FAST_CHECK_SEED ?? 20261204);
const PARTITIONS = 2;
const KEYS = 4;

type AppendResult = Result<readonly AppendOutcome[], JournalError>;

type Step =
  | { kind: 'claim' | 'bill' | 'hold'; host: number; key: number }
  | { kind: 'finish' | 'repeat'; host: number; index: number }
  | { kind: 'advance'; ms: number }
  | { kind: 'faults'; faults: StoreFault[] }
  | { kind: 'lose-peer-replies'; count: number }
  | { kind: 'outage'; isDown: boolean }
  | { kind: 'pause' | 'resume' | 'replace' | 'drain'; host: number }
  | { kind: 'trim'; before: number };

const HOST = fc.nat(3);
const KEY = fc.nat(KEYS - 1);
const FAULTS = fc.array(fc.constantFrom<StoreFault>('lost-reply', 'lost-request', 'unavailable'), {
  minLength: 1,
  maxLength: 4,
});

const TRIM = fc.record({ kind: fc.constant('trim' as const), before: fc.nat(12) });

const STEP: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('claim' as const), host: HOST, key: KEY }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('bill' as const), host: HOST, key: KEY }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('finish' as const), host: HOST, index: fc.nat(20) }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant('repeat' as const), host: HOST, index: fc.nat(20) }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      ms: fc.oneof(fc.nat(100), fc.nat(6000)),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('faults' as const), faults: FAULTS }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('lose-peer-replies' as const), count: fc.nat(3) }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('outage' as const), isDown: fc.boolean() }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom('pause' as const, 'resume' as const, 'replace' as const, 'drain' as const),
      host: HOST,
    }),
  },
  { weight: 1, arbitrary: TRIM },
);

interface IMember {
  id: string;
  process: PausableHost;
  board: Blackboard;
  owner: PartitionOwnerController;
  heldBills: HeldBillController;
  journal: IJournal;
}

/** Four hosts in three zones that share one store, with the results that callers have received. */
class Fleet {
  public readonly clock = new ManualClock();
  public readonly faults: StoreFault[] = [];
  public isDown = false;
  public lostPeerReplies = 0;
  public readonly granted = new Map<string, Set<string>>();
  public readonly billed = new Set<string>();
  public readonly finished = new Map<string, string>();
  public readonly appends: JournalEntry[] = [];
  private readonly _store = new MemoryStore({
    clock: this.clock,
    chooseFault: (operation) => {
      if (this.isDown) return 'unavailable';
      if (operation === 'watch') return 'none';
      const fault = this.faults.shift() ?? 'none';
      return operation === 'get' && fault !== 'none' ? 'unavailable' : fault;
    },
  });
  private readonly _members: IMember[] = [];
  private _lastId = 0;

  constructor() {
    for (let index = 0; index < 4; index += 1) this._start(index);
  }

  public async run(step: Step): Promise<void> {
    switch (step.kind) {
      case 'claim':
      case 'bill':
        this._append(step.host, this._createEntry(step.kind, step.key));
        break;
      case 'hold':
        this._hold(step.host, this._createEntry('bill', step.key));
        break;
      case 'finish':
        this._finish(step.host, step.index);
        break;
      case 'repeat': {
        const entry = this.appends[step.index % Math.max(1, this.appends.length)];
        if (entry) this._append(step.host, entry);
        break;
      }
      case 'advance':
        await this.clock.advance(step.ms);
        break;
      case 'faults':
        this.faults.push(...step.faults);
        break;
      case 'lose-peer-replies':
        this.lostPeerReplies += step.count;
        break;
      case 'outage':
        this.isDown = step.isDown;
        break;
      case 'pause':
        this._members[step.host]!.process.pause();
        break;
      case 'resume':
        this._members[step.host]!.process.resume();
        break;
      case 'replace':
        this.replace(step.host);
        break;
      case 'drain':
        void this._members[step.host]!.owner.drain().then(() => {
          this.replace(step.host);
        });
        break;
      case 'trim':
        void trimBills(this._exportOptions(), [step.before, step.before]);
        break;
    }
    await settlePromises();
  }

  /** Kills a host, so that it releases no lease, and starts another one in its place. */
  public replace(index: number): void {
    const killed = this._members[index]!;
    killed.process.pause();
    killed.owner.dispose();
    killed.heldBills.dispose();
    this._start(index);
    this._setState(killed.id, 'gone');
  }

  /** Ends all faults, waits for all work to finish and counts the bills by key. */
  public async endFaultsAndCountBills(): Promise<Map<string, number>> {
    this.isDown = false;
    this.faults.length = 0;
    this.lostPeerReplies = 0;
    for (const member of this._members) member.process.resume();
    await this.clock.advance(45_000);
    const listing = listBills(this._exportOptions());
    await this.clock.advance(1000);
    const list = (await listing).unwrapOr(undefined)!;
    list.positions.forEach((position, partition) => {
      const numbers = list.bills.filter((bill) => bill.partition === partition).map((bill) => bill.number);
      const expected = numbers.map((_, index) => position - numbers.length + index);
      if (numbers.join() !== expected.join()) throw new Error(`Bills are out of order: ${numbers.join()}.`);
    });
    const counts = new Map<string, number>();
    for (const { key } of list.bills) counts.set(key, (counts.get(key) ?? 0) + 1);
    for (const total of list.trimmed) counts.set('trimmed', (counts.get('trimmed') ?? 0) + total.count);
    return counts;
  }

  /** Reads the committed record of a key; returns the request whose outcome is recorded. */
  public async readClaim(key: string): Promise<string | undefined> {
    const lookup = this._members[0]!.journal.lookup(key);
    await this.clock.advance(7000);
    const record = (await lookup).unwrapOr(undefined);
    return record?.claim === 'done' ? record.request : undefined;
  }

  public dispose(): void {
    for (const { heldBills: custody, owner } of this._members) {
      owner.dispose();
      custody.dispose();
    }
  }

  private _append(host: number, entry: JournalEntry): void {
    this.appends.push(entry);
    void this._members[host]!.journal.append(entry.key, [entry]).then((result) => {
      this._recordAcknowledgedResult(entry, result);
    });
  }

  private _hold(host: number, entry: JournalEntry): void {
    void this._members[host]!.heldBills.holdBill(entry.key, [entry]).then(() => {
      this.billed.add(entry.key);
    });
  }

  private _finish(host: number, index: number): void {
    const grants = [...this.granted];
    const [key, requests] = grants[index % Math.max(1, grants.length)] ?? ['', new Set<string>()];
    const [request] = requests;
    if (request !== undefined)
      this._append(host, { kind: 'outcome', key, request, outcome: 'done', answer: undefined });
  }

  private _recordAcknowledgedResult(entry: JournalEntry, result: AppendResult): void {
    if (result.isErr) return;
    const isCommitted = result.value[0]?.kind === 'committed';
    if (entry.kind === 'claim' && isCommitted) {
      this.granted.set(entry.key, (this.granted.get(entry.key) ?? new Set()).add(entry.request));
    }
    if (entry.kind === 'bill') this.billed.add(entry.key);
    if (entry.kind === 'outcome' && isCommitted) this.finished.set(entry.key, entry.request);
  }

  private _createEntry(kind: 'claim' | 'bill', key: number): JournalEntry {
    const common = { key: key.toString(16).padStart(8, '0'), atMs: this.clock.now() };
    const request = `r-${(this._lastId += 1)}`;
    if (kind === 'claim') return { kind, ...common, request };
    const bill = { service: 's', account: 'a', version: 'v', promptTokens: 1, completionTokens: 1, cost: 1 };
    return { kind, ...common, bill: { ...bill, request } };
  }

  private _start(index: number): void {
    const id = `host-${index}-${(this._lastId += 1)}`;
    const process = new PausableHost(this.clock, this._store);
    const board = new Blackboard();
    const common = { board, clock: process.clock, store: process.store, host: id, createId: this._createId };
    const owner = new PartitionOwnerController({
      ...common,
      partitions: PARTITIONS,
      hash: hashTexts,
      createLog: (partition) =>
        new PartitionLog({
          ...common,
          partition,
          readWallClock: () => this.clock.now(),
          segmentBytes: 200,
          segmentsPerMerge: 2,
          checkpointBytes: 1600,
          recordsPerPart: 2,
          billPartsPerIndex: 2,
        }),
    });
    const sendAppend: SendAppend = (peer, partition, entries) =>
      this._invokePeer(process, peer, async (member) => {
        const log = member.owner.findLog(partition);
        return log ? log.append(entries) : Result.err({ kind: 'not-owner', message: '' });
      });
    const journal = createRoutedJournal({
      ...common,
      partitions: PARTITIONS,
      findLog: (partition) => owner.findLog(partition),
      refreshOwner: (partition) => owner.refreshOwner(partition),
      sendAppend,
      sendLookup: (peer, partition, key) =>
        this._invokePeer(process, peer, async (member) => {
          const log = member.owner.findLog(partition);
          return log ? log.readRecord(key) : Result.err({ kind: 'not-owner', message: '' });
        }),
    });
    const heldBills = new HeldBillController({
      ...common,
      journal,
      zone: `zone-${index % 3}`,
      chooseCopyHolders: createChooseCopyHolders(() => 0.5),
      sendHold: async (peer, bills) => {
        const reply = await this._invokePeer(process, peer, (member) =>
          Promise.resolve(Result.ok(member.heldBills.acceptCopies(id, bills))),
        );
        return reply.mapErr(({ message }) => ({ kind: 'unknown-outcome', message }));
      },
      sendRelease: async (peer, ids) => {
        const reply = await this._invokePeer(process, peer, (member) => {
          member.heldBills.dropCopies(ids);
          return Promise.resolve(Result.ok(undefined));
        });
        return reply.mapErr(({ message }) => ({ kind: 'unknown-outcome', message }));
      },
    });
    this._members[index] = { id, process, board, owner, heldBills: heldBills, journal };
    for (const member of this._members) this._setState(member.id, 'alive');
    void owner.run();
  }

  /** Calls another host. The reply may be lost, and a paused host answers when it is resumed. */
  private async _invokePeer<T>(
    from: PausableHost,
    peer: string,
    handle: (member: IMember) => Promise<Result<T, JournalError>>,
  ): Promise<Result<T, JournalError>> {
    const member = this._members.find((candidate) => candidate.id === peer);
    if (!member) return Result.err({ kind: 'not-owner', message: 'The host is gone.' });
    const handled = member.process.receive(Promise.resolve()).then(() => handle(member));
    const isLost = this.lostPeerReplies > 0;
    if (isLost) this.lostPeerReplies -= 1;
    const unknown: Result<T, JournalError> = Result.err({ kind: 'unknown-outcome', message: 'lost' });
    const timeout = new Promise<Result<T, JournalError>>((resolve) => {
      from.clock.schedule(1000, () => {
        resolve(unknown);
      });
    });
    return from.receive(isLost ? handled.then(() => unknown) : Promise.race([handled, timeout]));
  }

  private _setState(id: string, state: HostState): void {
    const zone = `zone-${Number(id.split('-')[1]) % 3}`;
    for (const { board } of this._members)
      board.hosts.set(id, { id, address: '', zone, state, incarnation: 0, changedAt: 0 });
  }

  private _exportOptions(): Parameters<typeof listBills>[0] {
    return { store: this._store, partitions: PARTITIONS, clock: this.clock, createId: this._createId };
  }

  private readonly _createId = (): string => `id-${(this._lastId += 1)}`;
}

/** Checks the results that callers have received against the content of the store. */
async function checkAcknowledgedResults(fleet: Fleet, keys: number): Promise<void> {
  const counts = await fleet.endFaultsAndCountBills();
  const trimmed = counts.get('trimmed') ?? 0;
  counts.delete('trimmed');
  for (const [key, count] of counts)
    if (count !== 1) throw new Error(`Bill ${key} is counted ${count} times.`);
  const missing = [...fleet.billed].filter((key) => !counts.has(key));
  // Trimmed bills are counted without their keys, so each missing key must belong to one of them.
  if (missing.length > trimmed) throw new Error(`Bills are lost: ${missing.join(', ')}; ${trimmed} trimmed.`);
  if (trimmed + counts.size > keys) throw new Error(`${trimmed + counts.size} bills for ${keys} keys.`);
  for (const [key, requests] of fleet.granted) {
    if (requests.size > 1) throw new Error(`Claim ${key} was granted to ${[...requests].join(', ')}.`);
  }
  for (const [key, request] of fleet.finished) {
    if ((await fleet.readClaim(key)) !== request) throw new Error(`The outcome of ${key} is lost.`);
  }
  fleet.dispose();
}

// Guards against claims that are granted twice, bills that are counted twice, and losses, under any mix of
// the faults that section 1.5 of the design names.
test('claims, bills and outcomes survive random faults, owner changes and pauses', async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(STEP, { minLength: 10, maxLength: 60 }), async (steps) => {
      const fleet = new Fleet();
      await fleet.clock.advance(2000);
      for (const step of steps) await fleet.run(step);
      await checkAcknowledgedResults(fleet, KEYS);
    }),
    { seed: SEED, numRuns: 150 },
  );
  t.pass();
});

// Most keys differ, so that another bill with the same key does not hide a lost one.
const MANY_KEYS = 0x10000;
const BILL_KEY = fc.nat(MANY_KEYS - 1);
const HOLD: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('hold' as const), host: HOST, key: BILL_KEY }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('bill' as const), host: HOST, key: BILL_KEY }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.nat(3000) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('outage' as const), isDown: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose-peer-replies' as const), count: fc.nat(3) }) },
  { weight: 1, arbitrary: TRIM },
);

// Guards against a bill that is lost with the host that served its request, or counted once for each of its
// copies.
test('held bills are counted once, even when the host that served their requests dies', async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(HOLD, { minLength: 5, maxLength: 80 }), HOST, async (steps, killedHost) => {
      const fleet = new Fleet();
      await fleet.clock.advance(2000);
      for (const step of steps) await fleet.run(step);
      // The host dies only after all answers have been sent, when the copies of their bills exist.
      await fleet.clock.advance(2500);
      fleet.replace(killedHost);
      await checkAcknowledgedResults(fleet, MANY_KEYS);
    }),
    { seed: SEED, numRuns: 100 },
  );
  t.pass();
});

type LeaseStep =
  | { kind: 'acquire' | 'renew' | 'release' | 'pause' | 'resume'; holder: number }
  | { kind: 'advance'; ms: number }
  | { kind: 'delay'; holder: number; ms: number }
  | { kind: 'faults'; faults: StoreFault[] };

const HOLDER = fc.nat(2);
const LEASE_STEP: fc.Arbitrary<LeaseStep> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('acquire' as const), holder: HOLDER }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('renew' as const), holder: HOLDER }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom('release' as const, 'pause' as const, 'resume' as const, 'resume' as const),
      holder: HOLDER,
    }),
  },
  {
    weight: 6,
    // Times around the end of the lease and the start of its margin find most faults.
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      ms: fc.oneof(fc.nat(1200), fc.constantFrom(100, 500, 800, 1000)),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('faults' as const), faults: FAULTS }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('delay' as const),
      holder: HOLDER,
      ms: fc.constantFrom(0, 0, 200, 600),
    }),
  },
);

// Guards against two holders that may act at the same time, and against a token that does not grow.
test('a lease has at most one holder at any time, and its tokens grow', async (t) => {
  const property = fc.asyncProperty(fc.array(LEASE_STEP, { maxLength: 60 }), async (steps) => {
    const clock = new ManualClock();
    const faults: StoreFault[] = [];
    const store = new MemoryStore({
      clock,
      chooseFault: (operation) => (operation === 'put' ? (faults.shift() ?? 'none') : 'none'),
    });
    let lastId = 0;
    const createId = (): string => `id-${(lastId += 1)}`;
    const processes = [0, 1, 2].map(() => new PausableHost(clock, store));
    const leases = processes.map(
      (process, index) =>
        new Lease({
          name: 'job',
          holder: `host-${index}`,
          store: process.store,
          clock: process.clock,
          createId,
          ttlMs: 1000,
          marginMs: 200,
        }),
    );
    let highest = 0;
    for (const step of steps) {
      if (step.kind === 'advance') await clock.advance(step.ms);
      else if (step.kind === 'faults') faults.push(...step.faults);
      else if (step.kind === 'delay') processes[step.holder]!.replyDelayMs = step.ms;
      else if (step.kind === 'pause') processes[step.holder]!.pause();
      else if (step.kind === 'resume') processes[step.holder]!.resume();
      else void leases[step.holder]![step.kind]();
      await settlePromises();
      const held = leases.filter((lease) => lease.isHeld());
      if (held.length > 1) throw new Error('Two leases are held at the same time.');
      const token = held[0]?.token ?? highest;
      if (token < highest) throw new Error(`Token ${token} follows ${highest}.`);
      highest = token;
    }
  });
  await fc.assert(property, { seed: SEED, numRuns: 3000 });
  t.pass();
});
