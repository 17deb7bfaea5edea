import test from 'ava';
import { ANSWER_CHECKS } from './AnswerChecks.js';
import { formatPiece, formatStamp, formatAnswer } from './Answers.js';
import { BOUND_CHECKS } from './BoundChecks.js';
import { CheckController } from './CheckController.js';
import { LINK_CHECKS } from './LinkChecks.js';
import { FLEET_CHECKS } from './RouterChecks.js';
import { SoakBoard } from './SoakBoard.js';
import type { ICallEntry, IRunEntry, SoakFaultKind } from './Types.js';

/** A board with a clock that the test sets, one router, one runner and one configuration. */
class CheckFixture {
  public now = 10_000;
  public readonly board = new SoakBoard(() => this.now);
  private readonly _checks = new CheckController(this.board, [
    ...ANSWER_CHECKS,
    ...FLEET_CHECKS,
    ...BOUND_CHECKS,
    ...LINK_CHECKS,
  ]);

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
      promptParts: '',
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
      promptParts: '',
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

  /** Runs the final checks, and lists the findings of all checks. */
  public listFindings(): string[] {
    this._checks.runFinalChecks();
    return [...this.board.findings.list()].map(({ detail, promise }) => `${promise}: ${detail}`);
  }
}

type Scenario = (fixture: CheckFixture) => void;

const STREAM = { kind: 'streaming', route: 'write', maxAttempts: 3, timeoutMs: 4000 } as const;

/** Scenarios that violate promises. The keys label their findings in the snapshot. */
const BROKEN_PROMISES: Readonly<Record<string, Scenario>> = {
  'an answer that its runner did not send': (fixture) => {
    fixture.sendCall('c');
    const run = fixture.recordRun('c');
    fixture.endCall('c', { status: 200, isComplete: true, stamp: formatStamp(run.number), answer: 'other' });
  },
  'a success without a stamp': (fixture) => {
    fixture.sendCall('c');
    fixture.endCall('c', { status: 200, isComplete: true, answer: 'other' });
  },
  'a refusal of a call that has run': (fixture) => {
    fixture.sendCall('c');
    fixture.recordRun('c');
    fixture.endCall('c', { status: 503, isComplete: true });
  },
  'a run after a refusal': (fixture) => {
    fixture.sendCall('c');
    fixture.endCall('c', { status: 503, isComplete: true });
    fixture.recordRun('c');
  },
  'two runs of a call that must not be repeated': (fixture) => {
    fixture.sendCall('c');
    fixture.recordRun('c');
    fixture.recordRun('c');
  },
  'a changed call, for another account, with forged headers': (fixture) => {
    fixture.sendCall('c');
    fixture.recordRun('c', { body: 'other' });
    fixture.recordRun('c', { account: 'south', wasExecuted: false });
    fixture.recordRun('c', { forgedHeaders: ['tenant'], wasExecuted: false });
    fixture.recordRun('unknown', { wasExecuted: false });
  },
  'a stream with a gap': (fixture) => {
    fixture.sendCall('c', STREAM);
    const run = fixture.recordRun('c', { model: 'small' });
    const answer = formatPiece(run, 1, false) + formatPiece(run, 3, true);
    fixture.endCall('c', { status: 200, isComplete: true, stamp: formatStamp(1), answer });
  },
  'a stream that is joined from two models': (fixture) => {
    fixture.sendCall('c', STREAM);
    const [first, second] = [
      fixture.recordRun('c', { model: 'small' }),
      fixture.recordRun('c', { model: 'large', resumeAfter: 1 }),
    ];
    const answer = formatPiece(first, 1, false) + formatPiece(second, 2, true);
    fixture.board.runs.update(1, { endedAt: fixture.now });
    fixture.endCall('c', { status: 200, isComplete: true, stamp: formatStamp(1), answer });
  },
  'a stream that ends early and looks whole': (fixture) => {
    fixture.sendCall('c', STREAM);
    const run = fixture.recordRun('c', { model: 'small' });
    fixture.endCall('c', {
      status: 200,
      isComplete: true,
      stamp: formatStamp(1),
      answer: formatPiece(run, 1, false),
    });
  },
  'a stream that runs twice at a time': (fixture) => {
    fixture.sendCall('c', STREAM);
    fixture.recordRun('c');
    fixture.now += 100;
    fixture.recordRun('c');
  },
  'a run with a key that was taken away': (fixture) => {
    fixture.addConfiguration(2, 2000, ['key-2']);
    fixture.sendCall('c');
    fixture.recordRun('c');
  },
  'a denial of what every configuration allows': (fixture) => {
    fixture.sendCall('c');
    fixture.endCall('c', { status: 404, isComplete: true });
  },
  'a configuration that goes back': (fixture) => {
    fixture.addConfiguration(2, 9000, ['key-1', 'key-2']);
    fixture.sendCall('c', { route: 'version-2' });
    fixture.recordRun('c');
    fixture.now += 300;
    fixture.sendCall('d', { key: 'key-2' });
    fixture.endCall('d', { status: 401, isComplete: true });
  },
  'a call to a runner that has left': (fixture) => {
    fixture.board.runners.update('l-0', { withdrawnAt: 7000 });
    fixture.sendCall('c');
    fixture.recordRun('c');
  },
  'a call that a stop cuts off': (fixture) => {
    fixture.addFault('stop-router', 'router-0', 9000, 12_000, true);
    fixture.sendCall('c');
    fixture.recordRun('c');
    fixture.now += 50;
    fixture.endCall('c', {});
  },
  'calls that are held past their time-out': (fixture) => {
    for (let index = 0; index < 8; index += 1) {
      fixture.sendCall(`c-${index}`, { sentAt: fixture.now - 2100, deadlineMs: 9000 });
      fixture.endCall(`c-${index}`, { status: 504, isComplete: true });
    }
  },
  'runs that go on after their callers have left': (fixture) => {
    for (let index = 0; index < 4; index += 1) {
      fixture.sendCall(`c-${index}`, STREAM);
      fixture.recordRun(`c-${index}`, { endedAt: fixture.now + 900 });
      fixture.board.calls.update(`c-${index}`, { disconnectedAt: fixture.now + 100 });
    }
  },
  'calls that reach runners after their callers have left': (fixture) => {
    for (let index = 0; index < 4; index += 1) {
      fixture.sendCall(`c-${index}`);
      fixture.board.calls.update(`c-${index}`, { disconnectedAt: fixture.now - 600 });
      fixture.recordRun(`c-${index}`, { endedAt: fixture.now });
    }
  },
  'too many attempts': (fixture) => {
    for (let index = 0; index < 4; index += 1) {
      fixture.sendCall(`c-${index}`, { ...STREAM, maxAttempts: 1 });
      fixture.recordRun(`c-${index}`, { endedAt: fixture.now });
      fixture.recordRun(`c-${index}`, { endedAt: fixture.now });
    }
  },
  'too many repeats and too much time': (fixture) => {
    fixture.sendCall('c', { ...STREAM, maxAttempts: 99, service: 'ledger' });
    for (let index = 0; index < 60; index += 1)
      fixture.recordRun('c', { endedAt: fixture.now, remainingMs: 9000 });
  },
  'a part of prompts goes on crashing runners': (fixture) => {
    const crashedAt = [1000, 2000, 3000, 4000, 5000];
    fixture.board.crashingParts.set('bad-1', { part: 'bad-1', crashedAt });
    for (let number = 1; number <= 4; number += 1) {
      fixture.sendCall(`c${number}`, { body: '' });
      fixture.recordRun(`c${number}`, { promptParts: 'system:20,bad-1:20,own:20' });
    }
  },
  'a runner gets more than its limit': (fixture) => {
    fixture.board.rateLimits.set('l-0', { runner: 'l-0', callsPerS: 2, startedAt: 1000 });
    for (let number = 1; number <= 19; number += 1) {
      fixture.sendCall(`c${number}`);
      fixture.recordRun(`c${number}`, { status: 200, endedAt: fixture.now });
      fixture.endCall(`c${number}`, {});
      fixture.now += number === 1 ? 600 : 100;
    }
  },
  'a router that has lost its link serves its callers worse than another': (fixture) => {
    const router = { id: 'router-1', address: '', state: 'ready' as const, incarnation: 1 };
    fixture.board.routers.set('router-1', { ...router, observedVersion: 0, observedAt: 0 });
    fixture.addFault('hang-router-link', 'router-0-link', 6000, 12_000);
    for (let number = 1; number <= 20; number += 1) {
      fixture.sendCall(`c${number}`);
      fixture.endCall(`c${number}`, { status: 502, isComplete: true });
      fixture.sendCall(`d${number}`, { router: 'router-1' });
      const run = fixture.recordRun(`d${number}`, { status: 200, endedAt: fixture.now });
      const stamp = formatStamp(run.number);
      fixture.endCall(`d${number}`, { status: 200, isComplete: true, stamp, answer: formatAnswer(run) });
    }
  },
};

// Guards against a check that does not report a violation of its promise.
test('each check reports violations of its promise', (t) => {
  for (const [name, runScenario] of Object.entries(BROKEN_PROMISES)) {
    const fixture = new CheckFixture();
    runScenario(fixture);
    t.snapshot(fixture.listFindings(), name);
  }
});

// Guards against false findings: a call that is served correctly, a stream that is resumed correctly, and a
// call that is lost at a router shortly after a fault.
test('no findings for calls that are served correctly or disturbed by a fault', (t) => {
  const fixture = new CheckFixture();
  fixture.sendCall('c');
  const run = fixture.recordRun('c', { endedAt: fixture.now, outcome: 'done', status: 200 });
  fixture.endCall('c', {
    status: 200,
    isComplete: true,
    stamp: formatStamp(run.number),
    answer: formatAnswer(run),
  });
  fixture.sendCall('d', STREAM);
  const first = fixture.recordRun('d', { model: 'small', endedAt: fixture.now });
  const second = fixture.recordRun('d', { model: 'small', resumeAfter: 1 });
  const answer = formatPiece(first, 1, false) + formatPiece(second, 2, true);
  fixture.endCall('d', { status: 200, isComplete: true, stamp: formatStamp(first.number), answer });
  fixture.addFault('pause-router', 'router-0', 8000, 9000);
  fixture.board.runners.update('l-0', { withdrawnAt: 7000 });
  fixture.sendCall('e');
  fixture.recordRun('e');
  fixture.endCall('e', {});
  t.deepEqual(fixture.listFindings(), []);
});
