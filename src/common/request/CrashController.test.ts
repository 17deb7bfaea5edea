import { fc, testProp } from '@fast-check/ava';
import test from 'ava';
import { Result } from 'true-myth';
import { createSendSuspectMessage, createSuspectHandlers } from '../../adapters/SuspectMessages.js';
import { hashTexts } from '../../adapters/Random.js';
import { createTestEndpoint, createTestRequest } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { MemoryPeers } from '../../testing/MemoryPeers.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { IAnswer, IAttemptError } from '../blackboard/Types.js';
import { CrashController } from './CrashController.js';
import { isBlocked } from './Suspects.js';
import type { RunAttempt } from './Types.js';

type Outcome = Result<IAnswer, IAttemptError>;
/** Returns a number from 0 up to, but not including, the limit. */
type Draw = (limit: number) => number;

const ANSWER: IAnswer = {
  kind: 'model',
  version: 'small-1',
  usage: { promptTokens: 1, completionTokens: 1 },
  content: [],
};
const HOSTS = ['host-a', 'host-b'];
const ENDPOINTS = ['e-1', 'e-2', 'e-3', 'e-4'];

/**
 * Two hosts that share four engines. A request named `poison` crashes an engine 20 ms after it starts there.
 */
class Fleet {
  public readonly clock = new ManualClock();
  public readonly crashes: string[] = [];
  private readonly _boards = new Map<string, Blackboard>();
  private readonly _controllers = new Map<string, CrashController>();
  /** For each engine, the functions that fail its running attempts after a delay. */
  private readonly _runningByEndpoint = new Map<string, Set<(delayMs: number) => void>>();
  private _lastAttempt = 0;

  constructor(private readonly _draw: Draw) {
    const peers = new MemoryPeers({
      clock: this.clock,
      chooseDelivery: () => ({ kind: 'deliver', delayMs: _draw(200) }),
    });
    for (const host of HOSTS) {
      const board = new Blackboard();
      for (const id of HOSTS) {
        board.hosts.set(id, { id, address: '', zone: 'a', state: 'alive', incarnation: 1, changedAt: 0 });
      }
      const controller = new CrashController({
        board,
        clock: this.clock,
        host,
        hashTexts,
        runAttempt: this._runAttempt,
        sendMessage: createSendSuspectMessage(peers.createSend(host)),
      });
      peers.handlers.set(
        host,
        createSuspectHandlers((message) => controller.handleMessage(message)),
      );
      this._boards.set(host, board);
      this._controllers.set(host, controller);
    }
  }

  public async send(host: string, endpoint: string, name: string): Promise<string> {
    const board = this._boards.get(host)!;
    if (isBlocked(board, name)) return 'blocked';
    this._lastAttempt += 1;
    const id = `attempt-${this._lastAttempt}`;
    const request = createTestRequest(id, { fingerprint: name, deadlineAt: this.clock.now() + 600_000 });
    const attempt = {
      id,
      phase: 'sent' as const,
      role: 'primary' as const,
      request: id,
      endpoint,
      version: 'small-1',
      plannedAt: 0,
      firstTokenAt: undefined,
      endedAt: undefined,
      tokens: 0,
      answer: undefined,
      error: undefined,
    };
    board.requests.set(id, request);
    board.attempts.set(id, attempt);
    const entry = createTestEndpoint(endpoint);
    const call = { attempt, request, endpoint: entry, signal: new AbortController().signal };
    const result = await this._controllers.get(host)!.runAttempt(call, () => undefined);
    board.attempts.delete(id);
    board.requests.delete(id);
    return result.isOk ? 'ok' : isBlocked(board, name) ? 'blocked' : result.error.kind;
  }

  /** Sends a request up to 8 times to random hosts and endpoints, until it succeeds or is blocked. */
  public async repeat(name: string, startMs: number): Promise<string> {
    await this.wait(startMs);
    let outcome = '';
    for (let count = 0; count < 8 && outcome !== 'ok' && outcome !== 'blocked'; count += 1) {
      const host = HOSTS[this._draw(HOSTS.length)]!;
      outcome = await this.send(host, ENDPOINTS[this._draw(ENDPOINTS.length)]!, name);
    }
    return outcome;
  }

  public describe(): unknown {
    return [...this._boards].map(([host, board]) => ({
      host,
      suspects: [...board.crashSuspects.list()].map(({ fingerprint, state, crashes }) =>
        [fingerprint, state, crashes].join(' '),
      ),
    }));
  }

  public wait(delay: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.schedule(delay, resolve);
    });
  }

  public dispose(): void {
    for (const controller of this._controllers.values()) controller.dispose();
  }

  private readonly _runAttempt: RunAttempt = ({ endpoint, request }) =>
    new Promise<Outcome>((resolve) => {
      const running = this._runningByEndpoint.get(endpoint.id) ?? new Set();
      this._runningByEndpoint.set(endpoint.id, running);
      const fail = (delayMs: number): void => {
        timer.dispose();
        running.delete(fail);
        this.clock.schedule(delayMs, () => {
          resolve(Result.err({ kind: 'crashed', ran: 'unknown', message: 'reset' }));
        });
      };
      running.add(fail);
      const isPoison = request.fingerprint === 'poison';
      const timer = this.clock.schedule(isPoison ? 20 : 1 + this._draw(200), () => {
        if (isPoison) this._failEndpoint(endpoint.id);
        else {
          running.delete(fail);
          resolve(Result.ok(ANSWER));
        }
      });
    });

  private _failEndpoint(endpoint: string): void {
    this.crashes.push(endpoint);
    for (const fail of [...(this._runningByEndpoint.get(endpoint) ?? [])]) fail(this._draw(5));
  }
}

// Guards against a failure that is returned before the other host knows the suspects, and against blocking a
// request that has not crashed an endpoint on trial.
test('both hosts know the suspects of a crash before the failure is returned, and a crash on trial blocks a request', async (t) => {
  const fleet = new Fleet((limit) => limit - 1);
  const outcomes: string[] = [];
  const states: unknown[] = [];
  const send = async (host: string, endpoint: string, name: string): Promise<void> => {
    outcomes.push(`${name}: ${await fleet.send(host, endpoint, name)}`);
    if (name === 'poison') states.push(fleet.describe());
  };
  const first = [send('host-a', 'e-1', 'poison'), send('host-a', 'e-1', 'beside')];
  await fleet.clock.advance(5000);
  const second = [send('host-b', 'e-2', 'poison'), send('host-b', 'e-2', 'other')];
  await fleet.clock.advance(5000);
  const third = [send('host-a', 'e-3', 'poison'), send('host-a', 'e-3', 'beside')];
  await fleet.clock.advance(5000);
  await Promise.all([...first, ...second, ...third]);
  const after = fleet.describe();
  await fleet.clock.advance(3_700_000);
  fleet.dispose();
  t.snapshot({ outcomes, states, after, afterAnHour: fleet.describe(), crashes: fleet.crashes });
});

const seed = Number(process.env.FAST_CHECK_SEED ?? 20261204);

// Guards against a third crash by a request that callers repeat, and against blocking requests that were in
// flight at the same endpoint as the one that crashed it.
testProp(
  'a request that crashes endpoints crashes at most two, and no other request is blocked',
  [fc.infiniteStream(fc.nat()), fc.array(fc.nat(600), { minLength: 1, maxLength: 20 }), fc.nat(300)],
  async (t, stream, starts, poisonStart) => {
    const numbers = stream[Symbol.iterator]();
    const fleet = new Fleet((limit) => (numbers.next().value as number) % limit);
    // Two callers send each request that crashes nothing, so that copies may run at two endpoints at once.
    const innocents = starts.flatMap((start, index) => [
      fleet.repeat(`innocent-${index}`, start),
      fleet.repeat(`innocent-${index}`, start + 10),
    ]);
    const poison = fleet.repeat('poison', poisonStart);
    await fleet.clock.advance(120_000);
    fleet.dispose();
    t.true(fleet.crashes.length <= 2);
    t.is(await poison, 'blocked');
    for (const outcome of await Promise.all(innocents)) t.is(outcome, 'ok');
  },
  { seed, numRuns: 200 },
);
