import test from 'ava';
import { ANSWER_CHECKS } from './AnswerChecks.js';
import { formatPiece, formatStamp, formatAnswer } from './Answers.js';
import { CheckController } from './CheckController.js';
import { FLEET_CHECKS } from './FleetChecks.js';
import { SoakBoard } from './SoakBoard.js';
import type { ICallEntry, IRunEntry, SoakFaultKind } from './Types.js';

/** A board with a clock that a test sets, one router, one runner and one configuration. */
class CheckFixture {
  public now = 10_000;
  public readonly board = new SoakBoard(() => this.now);
  private readonly _checks = new CheckController(this.board, [...ANSWER_CHECKS, ...FLEET_CHECKS]);

  constructor() {
    const router = { id: 'router-0', address: '', state: 'ready' as const, incarnation: 1 };
    this.board.routers.set('router-0', { ...router, observedVersion: 0, observedAt: 0 });
    this.board.runners.set('l-0', { id: 'l-0', service: 'ledger', withdrawnAt: undefined });
    this.addConfiguration(1, 0, ['key-1']);
  }

  public addConfiguration(version: number, acknowledgedAt: number, keys: string[]): void {
    const routes = ['post', 'look', 'write', 'short', `version-${version}`];
    this.board.configurations.set(version, { version, sentAt: acknowledgedAt, acknowledgedAt, routes, keys });
  }

  public addFault(
    kind: SoakFaultKind,
    scope: string,
    startedAt: number,
    endedAt: number,
    isPlannedWork = false,
  ): void {
    const id = this.board.faults.size + 1;
    this.board.faults.set(id, { id, kind, scope, isPlannedWork, startedAt, endedAt });
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

  public recordRun(call: string, patch: Partial<IRunEntry> = {}): IRunEntry {
    const { body, method, path } = this.board.calls.get(call) ?? { body: '', method: 'GET', path: '/' };
    const entry: IRunEntry = {
      number: this.board.runs.size + 1,
      call,
      runner: 'l-0',
      service: 'ledger',
      wasExecuted: true,
      startedAt: this.now,
      endedAt: undefined,
      outcome: undefined,
      status: undefined,
      method,
      path,
      body,
      account: 'north',
      model: undefined,
      resumeAfter: 0,
      remainingMs: 3000,
      forgedHeaders: [],
      ...patch,
    };
    this.board.runs.set(entry.number, entry);
    return entry;
  }

  public endCall(call: string, patch: Partial<ICallEntry>): void {
    this.board.calls.update(call, { endedAt: this.now, status: 0, isComplete: false, answer: '', ...patch });
  }

  public listFindings(): string[] {
    this._checks.runFinalChecks();
    return [...this.board.findings.list()].map(({ detail, promise }) => `${promise}: ${detail}`);
  }
}

type Scenario = (rig: CheckFixture) => void;

const STREAM = { kind: 'streaming', route: 'write', maxAttempts: 3, timeoutMs: 4000 } as const;

/** What breaks each promise. */
const BROKEN_PROMISES: Readonly<Record<string, Scenario>> = {
  'an answer that its runner did not send': (rig) => {
    rig.sendCall('c');
    const run = rig.recordRun('c');
    rig.endCall('c', { status: 200, isComplete: true, stamp: formatStamp(run.number), answer: 'other' });
  },
  'a success without a stamp': (rig) => {
    rig.sendCall('c');
    rig.endCall('c', { status: 200, isComplete: true, answer: 'other' });
  },
  'a refusal of a call that has run': (rig) => {
    rig.sendCall('c');
    rig.recordRun('c');
    rig.endCall('c', { status: 503, isComplete: true });
  },
  'a run after a refusal': (rig) => {
    rig.sendCall('c');
    rig.endCall('c', { status: 503, isComplete: true });
    rig.recordRun('c');
  },
  'two runs of a call that must not be repeated': (rig) => {
    rig.sendCall('c');
    rig.recordRun('c');
    rig.recordRun('c');
  },
  'a changed call, for another account, with forged headers': (rig) => {
    rig.sendCall('c');
    rig.recordRun('c', { body: 'other' });
    rig.recordRun('c', { account: 'south', wasExecuted: false });
    rig.recordRun('c', { forgedHeaders: ['tenant'], wasExecuted: false });
    rig.recordRun('unknown', { wasExecuted: false });
  },
  'a stream with a gap': (rig) => {
    rig.sendCall('c', STREAM);
    const run = rig.recordRun('c', { model: 'small' });
    const answer = formatPiece(run, 1, false) + formatPiece(run, 3, true);
    rig.endCall('c', { status: 200, isComplete: true, stamp: formatStamp(1), answer });
  },
  'a stream that is joined from two models': (rig) => {
    rig.sendCall('c', STREAM);
    const [first, second] = [
      rig.recordRun('c', { model: 'small' }),
      rig.recordRun('c', { model: 'large', resumeAfter: 1 }),
    ];
    const answer = formatPiece(first, 1, false) + formatPiece(second, 2, true);
    rig.board.runs.update(1, { endedAt: rig.now });
    rig.endCall('c', { status: 200, isComplete: true, stamp: formatStamp(1), answer });
  },
  'a stream that ends early and looks whole': (rig) => {
    rig.sendCall('c', STREAM);
    const run = rig.recordRun('c', { model: 'small' });
    rig.endCall('c', {
      status: 200,
      isComplete: true,
      stamp: formatStamp(1),
      answer: formatPiece(run, 1, false),
    });
  },
  'a stream that runs twice at a time': (rig) => {
    rig.sendCall('c', STREAM);
    rig.recordRun('c');
    rig.now += 100;
    rig.recordRun('c');
  },
  'a run with a key that was taken away': (rig) => {
    rig.addConfiguration(2, 2000, ['key-2']);
    rig.sendCall('c');
    rig.recordRun('c');
  },
  'a denial of what every configuration allows': (rig) => {
    rig.sendCall('c');
    rig.endCall('c', { status: 404, isComplete: true });
  },
  'a configuration that goes back': (rig) => {
    rig.addConfiguration(2, 9000, ['key-1', 'key-2']);
    rig.sendCall('c', { route: 'version-2' });
    rig.recordRun('c');
    rig.now += 300;
    rig.sendCall('d', { key: 'key-2' });
    rig.endCall('d', { status: 401, isComplete: true });
  },
  'a call to a runner that has left': (rig) => {
    rig.board.runners.update('l-0', { withdrawnAt: 7000 });
    rig.sendCall('c');
    rig.recordRun('c');
  },
  'a call that a stop cuts off': (rig) => {
    rig.addFault('stop-router', 'router-0', 9000, 12_000, true);
    rig.sendCall('c');
    rig.recordRun('c');
    rig.now += 50;
    rig.endCall('c', {});
  },
  'calls that are held past their time-out': (rig) => {
    for (let index = 0; index < 8; index += 1) {
      rig.sendCall(`c-${index}`, { sentAt: rig.now - 2100, deadlineMs: 9000 });
      rig.endCall(`c-${index}`, { status: 504, isComplete: true });
    }
  },
  'runs that go on after their callers have left': (rig) => {
    for (let index = 0; index < 4; index += 1) {
      rig.sendCall(`c-${index}`, STREAM);
      rig.recordRun(`c-${index}`, { endedAt: rig.now + 900 });
      rig.board.calls.update(`c-${index}`, { disconnectedAt: rig.now + 100 });
    }
  },
  'calls that reach runners after their callers have left': (rig) => {
    for (let index = 0; index < 4; index += 1) {
      rig.sendCall(`c-${index}`);
      rig.board.calls.update(`c-${index}`, { disconnectedAt: rig.now - 600 });
      rig.recordRun(`c-${index}`, { endedAt: rig.now });
    }
  },
  'too many attempts': (rig) => {
    for (let index = 0; index < 4; index += 1) {
      rig.sendCall(`c-${index}`, { ...STREAM, maxAttempts: 1 });
      rig.recordRun(`c-${index}`, { endedAt: rig.now });
      rig.recordRun(`c-${index}`, { endedAt: rig.now });
    }
  },
  'too many repeats and too much time': (rig) => {
    rig.sendCall('c', { ...STREAM, maxAttempts: 99, service: 'ledger' });
    for (let index = 0; index < 60; index += 1) rig.recordRun('c', { endedAt: rig.now, remainingMs: 9000 });
  },
};

// Guards against a check that lets through what it is there for.
test('each check finds what breaks its promise', (t) => {
  for (const [name, runScenario] of Object.entries(BROKEN_PROMISES)) {
    const rig = new CheckFixture();
    runScenario(rig);
    t.snapshot(rig.listFindings(), name);
  }
});

// Guards against findings about calls that were served as promised, and about routers that were disturbed.
test('calls that are served as promised, and disturbed ones, are no finding', (t) => {
  const rig = new CheckFixture();
  rig.sendCall('c');
  const run = rig.recordRun('c', { endedAt: rig.now, outcome: 'done', status: 200 });
  rig.endCall('c', {
    status: 200,
    isComplete: true,
    stamp: formatStamp(run.number),
    answer: formatAnswer(run),
  });
  rig.sendCall('d', STREAM);
  const first = rig.recordRun('d', { model: 'small', endedAt: rig.now });
  const second = rig.recordRun('d', { model: 'small', resumeAfter: 1 });
  const answer = formatPiece(first, 1, false) + formatPiece(second, 2, true);
  rig.endCall('d', { status: 200, isComplete: true, stamp: formatStamp(first.number), answer });
  rig.addFault('pause-router', 'router-0', 8000, 9000);
  rig.board.runners.update('l-0', { withdrawnAt: 7000 });
  rig.sendCall('e');
  rig.recordRun('e');
  rig.endCall('e', {});
  t.deepEqual(rig.listFindings(), []);
});
