import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import type { Writable } from 'node:stream';
import winston from 'winston';
import type { IClock, Millis } from '../common/Types.js';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Options of the decision log. */
export interface IDecisionLogOptions {
  clock: IClock;
  stream: Writable;
  host: string;
  /** Lines a second above which lines are dropped. Default 200. */
  maxLinesPerS?: number;
}

/** Bytes that wait for a slow reader before lines are dropped. */
const MAX_WAITING_BYTES = 1_048_576;

const SECOND_MS: Millis = 1000;

/** Name of the line that tells how many were dropped. */
const DROPPED_KIND = 'log.dropped';

/**
 * Writes JSON lines without ever waiting for the reader: beyond a rate, or while too much waits, lines
 * are dropped and counted.
 */
export class DecisionLog {
  private readonly _logger: winston.Logger;
  private readonly _maxLines: number;
  private _windowStart: Millis;
  private _lines = 0;
  private _dropped = 0;

  constructor(private readonly _options: IDecisionLogOptions) {
    const { clock, host, stream } = _options;
    this._maxLines = _options.maxLinesPerS ?? 200;
    this._windowStart = clock.now();
    stream.on('error', () => undefined);
    this._logger = winston.createLogger({
      defaultMeta: { host },
      format: winston.format.json(),
      // winston declares its transports and the base class of the option in two packages.
      // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
      transports: [new winston.transports.Stream({ stream })],
    });
  }

  /** Writes a line, or counts it as dropped. */
  public write(kind: string, fields: LogFields): void {
    this._startWindow();
    const isFull = this._options.stream.writableLength > MAX_WAITING_BYTES;
    if (isFull || this._lines >= this._maxLines) {
      this._dropped += 1;
      return;
    }
    this._lines += 1;
    this._logger.log({ level: 'info', message: kind, ...fields });
  }

  private _startWindow(): void {
    const now = this._options.clock.now();
    if (now - this._windowStart < SECOND_MS) return;
    this._windowStart = now;
    this._lines = 0;
    const dropped = this._dropped;
    this._dropped = 0;
    if (dropped > 0) this._logger.log({ level: 'warn', message: DROPPED_KIND, dropped });
  }
}

/**
 * Opens standard output for writing that never blocks. Node writes to a pipe on standard output
 * synchronously; a socket on the same descriptor queues instead.
 */
export function openStandardOutput(): Writable {
  return fstatSync(1).isFIFO() ? new Socket({ fd: 1, readable: false, writable: true }) : process.stdout;
}
