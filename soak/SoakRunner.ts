import type { ServerResponse } from 'node:http';
import { toDisposable, type IDisposable } from '../src/common/Lifecycle.js';
import type { Millis, RandomSource } from '../src/common/Types.js';
import { waitFor } from '../src/standins/HttpTools.js';
import type { IRevisionStoreStandIn } from '../src/standins/platform/RevisionStoreServer.js';
import {
  startRunnerStandIn,
  type IRunnerCall,
  type IRunnerStandIn,
} from '../src/standins/platform/ScriptedRunner.js';
import { formatPiece, formatStamp, formatAnswer } from './Answers.js';
import { LinkProxy } from './LinkProxy.js';
import type { SoakBoard } from './SoakBoard.js';
import { FORGED_HEADERS, FORGED_VALUE, MODEL_SERVICE, MODELS } from './Traffic.js';
import type { IRunEntry, RunOutcome, RunnerFault } from './Types.js';

/** Options of a soak runner. */
export interface ISoakRunnerOptions {
  id: string;
  service: string;
  board: SoakBoard;
  random: RandomSource;
  store: IRevisionStoreStandIn;
}

/** Share of the calls that the active fault of a runner affects. */
const FAULTY_CALL_SHARE = 0.5;

/**
 * Work on an answer that is not streamed: mostly short, sometimes longer than the shortest route time-out.
 */
const MAX_WORK_MS: Millis = 60;
const LONG_WORK_SHARE = 0.03;
const MAX_LONG_WORK_MS: Millis = 900;

/** Streamed answers: number of pieces, time until the first one, and time between two. */
const MAX_PIECES = 12;
const MAX_FIRST_PIECE_MS: Millis = 120;
const MAX_PIECE_INTERVAL_MS: Millis = 50;

/** Share of the streams of the small model that report low confidence. */
const LOW_CONFIDENCE_SHARE = 0.3;

/** Time for which a runner is down that a part of a prompt has crashed. */
const CRASH_BY_PART_MS: Millis = 800;

/** Time after which the store removes the registration of a crashed runner: three missed heartbeats. */
const REGISTRATION_EXPIRY_MS: Millis = 3600;

/** Time for which a draining runner still serves calls after the store has recorded that it is draining. */
const DRAIN_DURATION_MS: Millis = 2500;

/** Time after which another runner uses the address of a runner that has left. */
const ADDRESS_REUSE_DELAY_MS: Millis = 2000;

/** Slots that runners announce, more than callers can fill. */
const ANNOUNCED_SLOTS = 32;

/** A runner behind a proxy. It records the calls that reach it on the board. */
export class SoakRunner {
  private readonly _faults: { fault: RunnerFault }[] = [];
  private _incarnation = 1;
  private _replacementCount = 0;
  private _id: string;
  private _phase: 'serving' | 'down' | 'leaving' = 'serving';
  private _isClosed = false;

  private constructor(
    private readonly _options: ISoakRunnerOptions,
    private readonly _standIn: IRunnerStandIn,
    public readonly proxy: LinkProxy,
  ) {
    this._id = _options.id;
    _standIn.answer = (call, response) => this._handleCall(call, response);
  }

  /** Starts a runner and registers it in the store. */
  public static async start(options: ISoakRunnerOptions): Promise<SoakRunner> {
    const standIn = await startRunnerStandIn(options.id);
    const proxy = await LinkProxy.start(Number(standIn.address.split(':')[1]));
    const runner = new SoakRunner(options, standIn, proxy);
    options.board.runners.set(options.id, {
      id: options.id,
      service: options.service,
      withdrawnAt: undefined,
    });
    runner._publishRegistration('ready');
    return runner;
  }

  /** Current id. It changes after a drain, when another runner takes over the address. */
  public get id(): string {
    return this._id;
  }

  /** Adds a fault, which affects a share of the calls until the result is disposed. */
  public addFault(fault: RunnerFault): IDisposable {
    const entry = { fault };
    this._faults.push(entry);
    return toDisposable(() => this._faults.splice(this._faults.indexOf(entry), 1));
  }

  /**
   * Crashes the runner: resets its connections, or closes them in order, and ends its runs. It restarts under the same
   * id. The store removes its registration meanwhile if it stays down for longer than `REGISTRATION_EXPIRY_MS`.
   */
  public async crash(durationMs: Millis, connectionEnd: 'reset' | 'close' = 'reset'): Promise<void> {
    if (this._phase !== 'serving') return;
    this._phase = 'down';
    const { board, store } = this._options;
    const connectionFault = this.proxy.addMode(connectionEnd);
    for (const run of board.runs.list()) {
      if (run.runner === this._id && run.wasExecuted && run.outcome === undefined)
        this._endRun(run.number, 'crashed');
    }
    await waitFor(Math.min(durationMs, REGISTRATION_EXPIRY_MS));
    if (durationMs > REGISTRATION_EXPIRY_MS) {
      store.remove(`servers/${this._id}`);
      board.runners.update(this._id, { withdrawnAt: board.now() });
      await waitFor(durationMs - REGISTRATION_EXPIRY_MS);
    }
    this._resumeServing(connectionFault);
  }

  /** Drains and stops the runner. A runner with another id then uses its address. */
  public async drain(): Promise<void> {
    if (this._phase !== 'serving') return;
    this._phase = 'leaving';
    const { board, random, store } = this._options;
    // Some runners never report that they are draining: their registration is removed at once.
    if (random() < 0.5) this._publishRegistration('draining');
    else store.remove(`servers/${this._id}`);
    board.runners.update(this._id, { withdrawnAt: board.now() });
    await waitFor(DRAIN_DURATION_MS);
    const connectionFault = this.proxy.addMode('reset');
    store.remove(`servers/${this._id}`);
    await waitFor(ADDRESS_REUSE_DELAY_MS);
    this._replacementCount += 1;
    this._id = `${this._options.id}.${this._replacementCount}`;
    this._resumeServing(connectionFault);
  }

  /** Closes the runner. */
  public async close(): Promise<void> {
    this._isClosed = true;
    this.proxy.close();
    await this._standIn.close();
  }

  private _resumeServing(connectionFault: IDisposable): void {
    // A crash by a part of a prompt may end after the soak.
    if (this._isClosed) return;
    const { board, service } = this._options;
    this._incarnation += 1;
    this._phase = 'serving';
    connectionFault.dispose();
    board.runners.set(this._id, { id: this._id, service, withdrawnAt: undefined });
    this._publishRegistration('ready');
  }

  private _publishRegistration(state: 'ready' | 'draining'): void {
    const { service, store } = this._options;
    store.put(`servers/${this._id}`, {
      service,
      address: this.proxy.address,
      zone: 'a',
      version: 'v1',
      slots: ANNOUNCED_SLOTS,
      state,
      models: service === MODEL_SERVICE ? MODELS.map((name) => ({ name, version: 1 })) : [],
      born: this._incarnation,
    });
  }

  private async _handleCall(call: IRunnerCall, response: ServerResponse): Promise<void> {
    const { random } = this._options;
    if (call.headers['expect-instance'] !== this._id) {
      const { call: id } = this._recordRun(call, false);
      response.writeHead(421, { ...buildRefusalHeaders(id), 'instance-id': this._id }).end();
      return;
    }
    const faults = this._faults.map(({ fault }) => fault);
    const fault =
      random() < FAULTY_CALL_SHARE ? faults.filter((kind) => kind !== 'unmark').at(-1) : undefined;
    if (fault === 'refuse') {
      const { call: id } = this._recordRun(call, false);
      response.writeHead(503, buildRefusalHeaders(id)).end();
      return;
    }
    const run = this._recordRun(call, true);
    response.on('close', () => {
      this._endRun(run.number, 'dropped');
    });
    if (fault === 'hang') return;
    if (this._isCrashedBy(run)) {
      response.writeHead(200, buildAnswerHeaders(run)).flushHeaders();
      await this._crashByPart();
      return;
    }
    const limit = this._options.board.rateLimits.get(this._id);
    if (limit) response.setHeader('Server-Limit', limit.callsPerS.toFixed(1));
    if (faults.includes('unmark')) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    if (this._options.service === MODEL_SERVICE) await this._sendStream(run, response, fault);
    else await this._sendAnswer(run, response, fault);
  }

  /** Finds out whether a call holds a part that crashes runners, and records the crash. */
  private _isCrashedBy({ promptParts }: IRunEntry): boolean {
    const { board } = this._options;
    const entry = [...board.crashingParts.list()].find(({ part }) => promptParts.includes(`${part}:`));
    if (!entry || this._phase !== 'serving') return false;
    board.crashingParts.update(entry.part, { crashedAt: [...entry.crashedAt, board.now()] });
    return true;
  }

  private async _crashByPart(): Promise<void> {
    const { board } = this._options;
    const id = board.faults.size + 1;
    const fault = { id, kind: 'crash-runner' as const, scope: this._id, isPlannedWork: false };
    board.faults.set(id, { ...fault, startedAt: board.now(), endedAt: undefined });
    await this.crash(CRASH_BY_PART_MS);
    board.faults.update(id, { endedAt: board.now() });
  }

  private async _sendAnswer(run: IRunEntry, response: ServerResponse, fault?: RunnerFault): Promise<void> {
    const { random } = this._options;
    const isLong = random() < LONG_WORK_SHARE;
    await waitFor(random() * (isLong ? MAX_LONG_WORK_MS : MAX_WORK_MS));
    if (!this._isWorking(run)) return;
    if (fault === 'lose') {
      this._endRun(run.number, 'lost');
      response.socket?.resetAndDestroy();
      return;
    }
    const status = fault === 'fail' ? 500 : 200;
    const text = formatAnswer(run);
    const length = response.useChunkedEncodingByDefault ? { 'content-length': text.length } : {};
    response.writeHead(status, { ...buildAnswerHeaders(run), ...length });
    if (fault === 'tear') {
      this._endRun(run.number, 'torn', status);
      response.write(text.slice(0, text.length / 2), () => {
        // Without a length, nothing but a reset would tell a torn answer from a whole one.
        if (response.useChunkedEncodingByDefault) response.destroy();
        else response.socket?.resetAndDestroy();
      });
      return;
    }
    this._endRun(run.number, fault === 'fail' ? 'failed' : 'done', status);
    response.end(text);
  }

  private async _sendStream(run: IRunEntry, response: ServerResponse, fault?: RunnerFault): Promise<void> {
    const { random } = this._options;
    await waitFor(random() * MAX_FIRST_PIECE_MS);
    if (!this._isWorking(run)) return;
    if (fault === 'fail') {
      this._endRun(run.number, 'failed', 500);
      response.writeHead(500, { ...buildAnswerHeaders(run), 'content-length': 0 }).end();
      return;
    }
    const hasLowConfidence = run.model === MODELS[0] && random() < LOW_CONFIDENCE_SHARE;
    response.writeHead(200, {
      ...buildAnswerHeaders(run),
      'content-type': 'text/event-stream',
      confidence: hasLowConfidence ? '20' : '90',
    });
    if (fault === 'deny' && run.resumeAfter > 0) {
      this._endRun(run.number, 'torn', 200);
      response.end();
      return;
    }
    // Unless the stream has ended, a resumed run sends at least one more piece, because the last one marks the end.
    const lastPiece = this._hasEnded(run)
      ? run.resumeAfter
      : run.resumeAfter + 1 + Math.floor(random() * MAX_PIECES);
    // Entry of the runner's load report: call id, tokens, pieces sent, priority.
    const progressReport = [run.call, 100, run.resumeAfter, 0];
    this._standIn.reportedRuns.push(progressReport);
    const firstPiece = run.resumeAfter + 1;
    for (let piece = firstPiece; piece <= lastPiece && this._isWorking(run); piece += 1) {
      // A gap shows only after two events that follow one another.
      if (fault === 'skip' && piece === firstPiece + 2 && piece < lastPiece) continue;
      const text = formatPiece(run, piece, piece === lastPiece);
      progressReport[2] = piece;
      if (fault === 'tear' && piece === lastPiece) {
        this._endRun(run.number, 'torn', 200);
        response.write(text.slice(0, text.length / 2), () => response.destroy());
      } else if (fault === 'lose' && piece === lastPiece) {
        this._endRun(run.number, 'lost', 200);
        response.socket?.resetAndDestroy();
      } else {
        response.write(text);
        if (piece === lastPiece) this._options.board.runs.update(run.number, { lastPiece });
      }
      await waitFor(random() * MAX_PIECE_INTERVAL_MS);
    }
    this._standIn.reportedRuns.splice(this._standIn.reportedRuns.indexOf(progressReport), 1);
    if (!this._isWorking(run)) return;
    this._endRun(run.number, 'done', 200);
    response.end();
  }

  private _recordRun(call: IRunnerCall, wasExecuted: boolean): IRunEntry {
    const { board, service } = this._options;
    const { body, headers, method, path } = call;
    const entry: IRunEntry = {
      number: board.runs.size + 1,
      call: headers['attempt-id']?.toString() ?? '',
      runner: this._id,
      service,
      wasExecuted,
      startedAt: board.now(),
      endedAt: wasExecuted ? undefined : board.now(),
      outcome: undefined,
      status: undefined,
      method,
      path,
      body,
      account: headers.tenant?.toString(),
      model: headers.model?.toString(),
      promptParts: headers['prompt-prefix']?.toString() ?? '',
      resumeAfter: Number(headers['last-event-id'] ?? 0),
      remainingMs: headers['deadline-ms'] === undefined ? undefined : Number(headers['deadline-ms']),
      forgedHeaders: FORGED_HEADERS.filter((name) => headers[name]?.toString().includes(FORGED_VALUE)),
    };
    board.runs.set(entry.number, entry);
    return entry;
  }

  /** Tells whether a run before has sent the last event of a stream, after which this run is to go on. */
  private _hasEnded({ call, resumeAfter }: IRunEntry): boolean {
    return this._options.board.listRuns(call).some(({ lastPiece }) => lastPiece === resumeAfter);
  }

  private _isWorking({ number }: IRunEntry): boolean {
    return this._options.board.runs.get(number)?.outcome === undefined;
  }

  private _endRun(number: number, outcome: RunOutcome, status?: number): void {
    const { board } = this._options;
    if (board.runs.get(number)?.outcome !== undefined) return;
    board.runs.update(number, { outcome, endedAt: board.now(), ...(status === undefined ? {} : { status }) });
  }
}

/** Builds the headers of a refusal of a call with an id that was not run. */
function buildRefusalHeaders(id: string): Record<string, string> {
  return { 'attempt-id': id, 'not-executed': '1', 'content-length': '0' };
}

function buildAnswerHeaders(run: IRunEntry): Record<string, string> {
  return { 'attempt-id': run.call, 'response-stamp': formatStamp(run.number) };
}
