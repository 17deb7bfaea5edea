import test from 'ava';
import { ANSWER_CHECKS } from './AnswerChecks.js';
import { formatPiece, formatStamp, formatWhole } from './Answers.js';
import { CheckController } from './CheckController.js';
import { FLEET_CHECKS } from './FleetChecks.js';
import { SoakBoard } from './SoakBoard.js';
import type { ICallEntry, IRunEntry, SoakFaultKind } from './Types.js';

/** A board with a clock that a test sets, one router, one runner and one configuration. */
class CheckRig {
  public now = 10_000;
  public readonly board = new SoakBoard(() => this.now);
  private readonly _checks = new CheckController(this.board, [...ANSWER_CHECKS, ...FLEET_CHECKS]);

  constructor() {
    const router = { id: 'router-0', address: '', state: 'ready' as const, incarnation: 1 };
    this.board.routers.set('router-0', { ...router, provenVersion: 0, provenAt: 0 });
    this.board.runners.set('l-0', { id: 'l-0', service: 'ledger', leftAt: undefined });
    this.addConfiguration(1, 0, ['key-1']);
  }

  public addConfiguration(version: number, ackAt: number, keys: string[]): void {
    const routes = ['post', 'look', 'write', 'short', `version-${version}`];
    this.board.configurations.set(version, { version, sentAt: ackAt, ackAt, routes, keys });
  }

  public addFault(kind: SoakFaultKind, scope: string, from: number, until: number, isPlanned = false): void {
    const id = this.board.faults.size + 1;
    this.board.faults.set(id, { id, kind, scope, isPlanned, from, until });
  }

  public sendCall(id: string, patch: Partial<ICallEntry> = {}): void {
    this.board.calls.set(id, {
      id,
      kind: 'unsafe',
      route: 'post',
      service: 'ledger',
      path: `/post/${id}`,
      method: 'POST',
      body: 'body',
      key: 'key-1',
      account: 'north',
      deadlineMs: 4000,
      timeoutMs: 1500,
      maxAttempts: 1,
      router: 'router-0',
      incarnation: 1,
      sentAt: this.now,
      ...patch,
    });
  }

  public run(call: string, patch: Partial<IRunEntry> = {}): IRunEntry {
    const { body, method, path } = this.board.calls.get(call) ?? { body: '', method: 'GET', path: '/' };
    const entry: IRunEntry = {
      number: this.board.runs.size + 1,
      call,
      runner: 'l-0',
      service: 'ledger',
      hasRun: true,
      startedAt: this.now,
      endedAt: undefined,
      end: undefined,
      status: undefined,
      method,
      path,
      body,
      account: 'north',
      model: undefined,
      resumeAfter: 0,
      leftMs: 3000,
      forged: [],
      ...patch,
    };
    this.board.runs.set(entry.number, entry);
    return entry;
  }

  public end(call: string, patch: Partial<ICallEntry>): void {
    this.board.calls.update(call, { endedAt: this.now, status: 0, isWhole: false, answer: '', ...patch });
  }

  public finish(): string[] {
    this._checks.finish();
    return [...this.board.findings.list()].map(({ detail, promise }) => `${promise}: ${detail}`);
  }
}

type Scenario = (rig: CheckRig) => void;

const STREAM = { kind: 'streaming', route: 'write', maxAttempts: 3, timeoutMs: 4000 } as const;

/** What breaks each promise. */
const BROKEN: Readonly<Record<string, Scenario>> = {
  'an answer that its runner did not send': (rig) => {
    rig.sendCall('c');
    const run = rig.run('c');
    rig.end('c', { status: 200, isWhole: true, stamp: formatStamp(run.number), answer: 'other' });
  },
  'a success without a stamp': (rig) => {
    rig.sendCall('c');
    rig.end('c', { status: 200, isWhole: true, answer: 'other' });
  },
  'a refusal of a call that has run': (rig) => {
    rig.sendCall('c');
    rig.run('c');
    rig.end('c', { status: 503, isWhole: true });
  },
  'a run after a refusal': (rig) => {
    rig.sendCall('c');
    rig.end('c', { status: 503, isWhole: true });
    rig.run('c');
  },
  'two runs of a call that must not be repeated': (rig) => {
    rig.sendCall('c');
    rig.run('c');
    rig.run('c');
  },
  'a changed call, for another account, with forged headers': (rig) => {
    rig.sendCall('c');
    rig.run('c', { body: 'other' });
    rig.run('c', { account: 'south', hasRun: false });
    rig.run('c', { forged: ['tenant'], hasRun: false });
    rig.run('unknown', { hasRun: false });
  },
  'a stream with a gap': (rig) => {
    rig.sendCall('c', STREAM);
    const run = rig.run('c', { model: 'small' });
    const answer = formatPiece(run, 1, false) + formatPiece(run, 3, true);
    rig.end('c', { status: 200, isWhole: true, stamp: formatStamp(1), answer });
  },
  'a stream that is joined from two models': (rig) => {
    rig.sendCall('c', STREAM);
    const [first, second] = [
      rig.run('c', { model: 'small' }),
      rig.run('c', { model: 'large', resumeAfter: 1 }),
    ];
    const answer = formatPiece(first, 1, false) + formatPiece(second, 2, true);
    rig.board.runs.update(1, { endedAt: rig.now });
    rig.end('c', { status: 200, isWhole: true, stamp: formatStamp(1), answer });
  },
  'a stream that ends early and looks whole': (rig) => {
    rig.sendCall('c', STREAM);
    const run = rig.run('c', { model: 'small' });
    rig.end('c', { status: 200, isWhole: true, stamp: formatStamp(1), answer: formatPiece(run, 1, false) });
  },
  'a stream that runs twice at a time': (rig) => {
    rig.sendCall('c', STREAM);
    rig.run('c');
    rig.now += 100;
    rig.run('c');
  },
  'a run with a key that was taken away': (rig) => {
    rig.addConfiguration(2, 2000, ['key-2']);
    rig.sendCall('c');
    rig.run('c');
  },
  'a denial of what every configuration allows': (rig) => {
    rig.sendCall('c');
    rig.end('c', { status: 404, isWhole: true });
  },
  'a configuration that goes back': (rig) => {
    rig.addConfiguration(2, 9000, ['key-1', 'key-2']);
    rig.sendCall('c', { route: 'version-2' });
    rig.run('c');
    rig.now += 300;
    rig.sendCall('d', { key: 'key-2' });
    rig.end('d', { status: 401, isWhole: true });
  },
  'a call to a runner that has left': (rig) => {
    rig.board.runners.update('l-0', { leftAt: 7000 });
    rig.sendCall('c');
    rig.run('c');
  },
  'a call that a stop cuts off': (rig) => {
    rig.addFault('stop-router', 'router-0', 9000, 12_000, true);
    rig.sendCall('c');
    rig.run('c');
    rig.now += 50;
    rig.end('c', {});
  },
  'calls that are held past their time-out': (rig) => {
    for (let index = 0; index < 8; index += 1) {
      rig.sendCall(`c-${index}`, { sentAt: rig.now - 2100, deadlineMs: 9000 });
      rig.end(`c-${index}`, { status: 504, isWhole: true });
    }
  },
  'runs that go on after their callers have left': (rig) => {
    for (let index = 0; index < 4; index += 1) {
      rig.sendCall(`c-${index}`, STREAM);
      rig.run(`c-${index}`, { endedAt: rig.now + 900 });
      rig.board.calls.update(`c-${index}`, { leftAt: rig.now + 100 });
    }
  },
  'calls that reach runners after their callers have left': (rig) => {
    for (let index = 0; index < 4; index += 1) {
      rig.sendCall(`c-${index}`);
      rig.board.calls.update(`c-${index}`, { leftAt: rig.now - 600 });
      rig.run(`c-${index}`, { endedAt: rig.now });
    }
  },
  'too many attempts': (rig) => {
    for (let index = 0; index < 4; index += 1) {
      rig.sendCall(`c-${index}`, { ...STREAM, maxAttempts: 1 });
      rig.run(`c-${index}`, { endedAt: rig.now });
      rig.run(`c-${index}`, { endedAt: rig.now });
    }
  },
  'too many repeats and too much time': (rig) => {
    rig.sendCall('c', { ...STREAM, maxAttempts: 99, service: 'ledger' });
    for (let index = 0; index < 60; index += 1) rig.run('c', { endedAt: rig.now, leftMs: 9000 });
  },
};

// Guards against a check that lets through what it is there for.
test('each check finds what breaks its promise', (t) => {
  for (const [name, play] of Object.entries(BROKEN)) {
    const rig = new CheckRig();
    play(rig);
    t.snapshot(rig.finish(), name);
  }
});

// Guards against findings about calls that were served as promised, and about routers that were disturbed.
test('calls that are served as promised, and disturbed ones, are no finding', (t) => {
  const rig = new CheckRig();
  rig.sendCall('c');
  const run = rig.run('c', { endedAt: rig.now, end: 'done', status: 200 });
  rig.end('c', { status: 200, isWhole: true, stamp: formatStamp(run.number), answer: formatWhole(run) });
  rig.sendCall('d', STREAM);
  const first = rig.run('d', { model: 'small', endedAt: rig.now });
  const second = rig.run('d', { model: 'small', resumeAfter: 1 });
  const answer = formatPiece(first, 1, false) + formatPiece(second, 2, true);
  rig.end('d', { status: 200, isWhole: true, stamp: formatStamp(first.number), answer });
  rig.addFault('pause-router', 'router-0', 8000, 9000);
  rig.board.runners.update('l-0', { leftAt: 7000 });
  rig.sendCall('e');
  rig.run('e');
  rig.end('e', {});
  t.deepEqual(rig.finish(), []);
});
