import test from 'ava';
import { Result } from 'true-myth';
import { createTestEndpoint, createTestRequest, TEST_TARGET } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { findCrashingParts } from '../policy/CrashingParts.js';
import { planAttempt } from '../request/AttemptPlan.js';
import { CrashDetector } from './CrashDetector.js';
import { CrashEvidenceController } from './CrashEvidenceController.js';
import { PromptBlockController } from './PromptBlockController.js';
import type { FleetFact, IFactEntry, IFactStore } from './Types.js';

/** Hosts that share a store, without the rest of the request path. */
class Fleet {
  public readonly clock = new ManualClock();
  public readonly boards: Blackboard[] = [];
  public isStoreDown = false;
  /** Trials that hosts have claimed, as their counts. */
  public readonly claimedCounts: number[] = [];
  private readonly _facts = new Map<string, IFactEntry>();
  private _era = 0;
  private _count = 0;
  private _revision = 0;

  public addHost(): Blackboard {
    const board = new Blackboard();
    const { clock } = this;
    const host = `host-${this.boards.push(board)}`;
    const common = { board, clock, host, store: this._store, readWallClock: clock.now };
    const checkRun = () => Promise.resolve('unreachable' as const);
    const { onCrash } = new CrashDetector({ board, clock, checkRun });
    new CrashEvidenceController({ ...common, onCrash });
    new PromptBlockController({ ...common, findCrashingParts });
    for (const [key, fact] of this._facts) board.facts.set(key, fact);
    return board;
  }

  /** Sends a request with these shared parts. Returns its id, or the refusal's code. */
  public send(board: Blackboard, parts: string): string {
    this._count += 1;
    const id = `r-${this._count}`;
    const target = { ...TEST_TARGET, sharedParts: parts.split(' ') };
    board.requests.set(id, createTestRequest(id, { target }));
    return board.requests.get(id)?.refusal?.code ?? id;
  }

  /** Sends a request and lets its answer begin. */
  public runSound(board: Blackboard, parts: string): string {
    const id = this.send(board, parts);
    if (!board.requests.has(id)) return id;
    this._plan(board, id, 'sound');
    board.attempts.update(id, { phase: 'streaming', firstTokenAt: this.clock.now() });
    return 'answered';
  }

  /** Sends a request that ends an endpoint of its own before its answer begins. */
  public async runCrashing(board: Blackboard, parts: string): Promise<string> {
    const id = this.send(board, parts);
    if (!board.requests.has(id)) return id;
    for (const host of this.boards) host.endpoints.set(`e-${id}`, createTestEndpoint(`e-${id}`));
    this._plan(board, id, `e-${id}`);
    const error = { kind: 'crashed' as const, ran: 'unknown' as const, message: 'reset' };
    board.attempts.update(id, { phase: 'failed', error });
    await this.clock.advance(300);
    return 'crashed';
  }

  /** Restores the store from a copy without trials, of which all hosts learn. */
  public restore(): void {
    this._era += 1;
    for (const [key, { fact }] of [...this._facts]) {
      if (fact.kind !== 'prompt-trial') continue;
      this._facts.delete(key);
      for (const board of this.boards) board.facts.delete(key);
    }
  }

  private _plan(board: Blackboard, id: string, endpoint: string): void {
    const request = board.requests.get(id)!;
    const rest = { expectedTokens: 1, lengthClass: 'short' as const, now: this.clock.now() };
    planAttempt(board, { id, role: 'primary', request, endpoint, ...rest });
  }

  private _write(
    key: string,
    fact: FleetFact,
    expected?: number,
  ): ReturnType<IFactStore['writeCrashEvidence']> {
    if (this.isStoreDown) return Promise.resolve(Result.err({ kind: 'unavailable', message: 'down' }));
    if (expected !== undefined && expected !== (this._facts.get(key)?.revision ?? 0))
      return Promise.resolve(Result.err({ kind: 'conflict', current: undefined }));
    this._revision += 1;
    if (fact.kind === 'prompt-trial') this.claimedCounts.push(fact.trial.count);
    const entry = { key, revision: this._revision, era: this._era, fact };
    this._facts.set(key, entry);
    for (const board of this.boards) board.facts.set(key, entry);
    return Promise.resolve(Result.ok(this._revision));
  }

  private readonly _store: Pick<IFactStore, 'writeCrashEvidence' | 'writePromptTrial'> = {
    writeCrashEvidence: (report) =>
      this._write(report.host, { kind: 'crash-evidence', report: structuredClone(report) }),
    writePromptTrial: (trial, expected) =>
      this._write(trial.parts.join('+'), { kind: 'prompt-trial', trial }, expected),
  };
}

/** A fleet of two hosts on which three requests with the part `bad` have ended endpoints. */
async function startBlocked(): Promise<Fleet> {
  const fleet = new Fleet();
  const [first, second] = [fleet.addHost(), fleet.addHost()];
  await fleet.runCrashing(first, 'system bad a');
  await fleet.runCrashing(second, 'system bad b');
  await fleet.runCrashing(first, 'system bad c');
  fleet.runSound(second, 'system');
  await fleet.clock.advance(2000);
  return fleet;
}

function listBlocks({ boards }: Fleet): string[] {
  return boards.map((board) => [...board.promptBlocks.list()].map(({ parts }) => parts.join('+')).join());
}

test('a part in flight at three crashes is blocked on every host, those that start later too', async (t) => {
  const fleet = await startBlocked();
  const late = fleet.addHost();
  await fleet.clock.advance(3000);
  t.deepEqual(listBlocks(fleet), ['bad', 'bad', 'bad']);
  t.is(fleet.send(late, 'other bad d'), 'request_crashes_endpoint');
  t.is(fleet.runSound(late, 'system d'), 'answered');
});

test('hosts that were cut off from the store exchange their crashes once it is back', async (t) => {
  const fleet = new Fleet();
  const [first, second] = [fleet.addHost(), fleet.addHost()];
  fleet.isStoreDown = true;
  await fleet.runCrashing(first, 'system bad a');
  await fleet.runCrashing(second, 'system bad b');
  await fleet.runCrashing(first, 'system bad c');
  await fleet.clock.advance(3000);
  t.deepEqual(listBlocks(fleet), ['', '']);
  fleet.isStoreDown = false;
  fleet.runSound(first, 'system');
  await fleet.clock.advance(2500);
  t.deepEqual(listBlocks(fleet), ['bad', 'bad']);
});

test('a common part is not blocked when all endpoints crash again and again and no answer begins', async (t) => {
  const fleet = new Fleet();
  const host = fleet.addHost();
  for (const part of ['a', 'b', 'c', 'd']) await fleet.runCrashing(host, `system ${part}`);
  await fleet.clock.advance(5000);
  t.deepEqual(listBlocks(fleet), ['']);
  t.is(fleet.runSound(host, 'system'), 'answered');
  await fleet.clock.advance(5000);
  t.deepEqual(listBlocks(fleet), ['']);
});

test('blocked parts are tried by one request of all hosts, ever later, and an answer ends the block', async (t) => {
  const fleet = await startBlocked();
  const [first, second] = fleet.boards as [Blackboard, Blackboard];
  const tried: number[] = [];
  for (let second5 = 0; second5 < 80; second5 += 1) {
    for (const board of [first, second]) {
      if ((await fleet.runCrashing(board, `system bad late-${second5}`)) === 'crashed')
        tried.push(second5 * 5);
    }
    await fleet.clock.advance(5000);
  }
  t.is(tried.length, 2, tried.join());
  await fleet.clock.advance(3_100_000);
  fleet.send(first, 'system bad');
  await fleet.clock.advance(1000);
  t.is(fleet.runSound(first, 'system bad'), 'answered');
  await fleet.clock.advance(1000);
  t.deepEqual(listBlocks(fleet), ['', '']);
});

test('requests that wait in the queue are refused when a block comes into force', async (t) => {
  const fleet = new Fleet();
  const host = fleet.addHost();
  const queued = fleet.send(host, 'other bad');
  for (const part of ['a', 'b', 'c']) await fleet.runCrashing(host, `system bad ${part}`);
  fleet.runSound(host, 'system');
  await fleet.clock.advance(3000);
  t.like(host.requests.get(queued), { phase: 'refused', refusal: { ran: 'no' } });
});

// Guards against parts that are never tried again, or as often as at first, because a restored store lost the record.
test('trials go on after the store was restored from a copy without them', async (t) => {
  const fleet = await startBlocked();
  const [first] = fleet.boards as [Blackboard];
  const tryFor = async (periods: number): Promise<void> => {
    for (let period = 0; period < periods; period += 1) {
      await fleet.runCrashing(first, `system bad late-${period}`);
      await fleet.clock.advance(5000);
    }
  };
  await tryFor(10);
  fleet.restore();
  await tryFor(70);
  t.deepEqual(fleet.claimedCounts, [1, 2]);
});
