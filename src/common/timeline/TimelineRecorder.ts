import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { findPath } from './AttemptPath.js';
import type { ITimelineEvent, TimelineFields } from './Types.js';

/** Options of the timeline recorder. */
export interface ITimelineOptions {
  host: string;
  board: Blackboard;
  /** Returns the wall-clock time in ISO 8601 format. */
  readWallClock: () => string;
  writeEvent: (event: ITimelineEvent) => void;
  /** Whether events of a kind are written. Default: all events are written. */
  isKindWritten?: (kind: string) => boolean;
}

/**
 * Records changes of the panels as timeline events. The order of events does not depend on clocks: messages
 * between processes carry the sender's Lamport time, and the receiver advances its own beyond it.
 */
export class TimelineRecorder extends Disposable {
  private _lamport = 0;
  private _sequence = 0;

  constructor(private readonly _options: ITimelineOptions) {
    super();
    this._recordRequests();
    this._recordAttempts();
    this._recordEndpoints();
    this._recordClusterState();
    this._recordCallerLimits();
  }

  /** Current Lamport time, which is sent with each message. */
  public get lamport(): number {
    return this._lamport;
  }

  /** Advances to the Lamport time of a received message, so that later events get a higher one. */
  public observeLamport(lamport: number): void {
    this._lamport = Math.max(this._lamport, lamport);
  }

  /** Records an event. Called directly for events that do not appear on a panel. */
  public record(kind: string, fields: TimelineFields): void {
    this._lamport += 1;
    this._sequence += 1;
    const { host, isKindWritten, readWallClock, writeEvent } = this._options;
    if (isKindWritten?.(kind) === false) return;
    writeEvent({ host, lamport: this._lamport, sequence: this._sequence, at: readWallClock(), kind, fields });
  }

  private _recordRequests(): void {
    this._register(
      this._options.board.requests.onChange(({ before, after }) => {
        if (!after || before?.phase === after.phase) return;
        this.record(`request.${after.phase}`, {
          request: after.id,
          service: after.service,
          account: after.account,
          version: after.version,
          refusal: after.refusal?.code,
          ran: after.refusal?.ran,
        });
      }),
    );
  }

  private _recordAttempts(): void {
    this._register(
      this._options.board.attempts.onChange(({ before, after }) => {
        if (!after || before?.phase === after.phase) return;
        this.record(`attempt.${after.phase}`, {
          request: after.request,
          attempt: after.id,
          role: after.role,
          endpoint: after.endpoint,
          version: after.version,
          tokens: after.tokens,
          error: after.error?.kind,
          ...this._describeEnd(after),
        });
      }),
    );
  }

  /** Describes by which way a whole answer came, and how it ended, or what followed its end. */
  private _describeEnd(attempt: IAttemptEntry): TimelineFields {
    const { afterEnd, answer, endMark } = attempt;
    const behind = hasBytesBehind(attempt) ? { endMark, afterEnd } : {};
    if (answer?.kind !== 'plain' || endMark === undefined) return behind;
    return { path: findPath(this._options.board, attempt), endMark, bytes: answer.body.length, ...behind };
  }

  private _recordEndpoints(): void {
    this._register(
      this._options.board.endpoints.onChange(({ key, before, after }) => {
        if (before?.health === after?.health) return;
        this.record('endpoint.health', { endpoint: key, health: after?.health ?? 'gone' });
      }),
    );
  }

  /** The entry is written once a second at most, so the number of events is bounded. */
  private _recordCallerLimits(): void {
    this._register(
      this._options.board.callerLoad.onChange(({ after }) => {
        if (!after || Object.keys(after.limited).length === 0) return;
        const { budgetBytes, connections, heldBytes, limited } = after;
        this.record('callers.limited', { ...limited, heldBytes, budgetBytes, connections });
      }),
    );
  }

  private _recordClusterState(): void {
    const { board } = this._options;
    this._register(
      board.services.onChange(({ key, before, after }) => {
        if (before?.revision === after?.revision) return;
        this.record('config.in-force', { service: key, revision: after?.revision });
      }),
    );
    this._register(
      board.partitions.onChange(({ key, before, after }) => {
        if (before?.phase === after?.phase) return;
        this.record(`partition.${after?.phase ?? 'unowned'}`, { partition: key, epoch: after?.epoch });
      }),
    );
    this._register(
      board.hosts.onChange(({ key, before, after }) => {
        if (before?.state === after?.state) return;
        this.record(`host.${after?.state ?? 'gone'}`, { member: key });
      }),
    );
  }
}

/** Tells whether bytes followed the marked end of an attempt's answer. */
function hasBytesBehind({ afterEnd }: IAttemptEntry): boolean {
  return afterEnd !== undefined && afterEnd !== 'none';
}
