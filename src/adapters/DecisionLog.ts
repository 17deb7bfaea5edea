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
  /** Highest number of lines per second; further lines are dropped. Default 200. */
  maxLinesPerS?: number;
}

/** Lines are dropped while more bytes than this are buffered for a slow reader. */
const MAX_BUFFERED_BYTES = 1_048_576;

const RATE_WINDOW_MS: Millis = 1000;

/** Kind of the line that gives the number of dropped lines. */
const DROPPED_LINES_KIND = 'log.dropped';

/**
 * Writes JSON lines without waiting for the reader of the stream. Lines above the rate limit, and lines
 * written while too much output is buffered, are dropped. Their number is logged before the first line of a
 * later second.
 */
export class DecisionLog {
  private readonly _logger: winston.Logger;
  private readonly _maxLinesPerWindow: number;
  private _windowStart: Millis;
  private _linesInWindow = 0;
  private _droppedLines = 0;

  constructor(private readonly _options: IDecisionLogOptions) {
    const { clock, host, stream } = _options;
    this._maxLinesPerWindow = _options.maxLinesPerS ?? 200;
    this._windowStart = clock.now();
    stream.on('error', () => undefined);
    this._logger = winston.createLogger({
      defaultMeta: { host },
      format: winston.format.json(),
      // winston's transport classes and the base class that this option expects are declared in two packages,
      // so the rule does not see that one extends the other.
      // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
      transports: [new winston.transports.Stream({ stream })],
    });
  }

  /** Writes a line, or drops and counts it when the rate limit is reached or the buffer is full. */
  public write(kind: string, fields: LogFields): void {
    this._startWindowIfDue();
    const isBufferFull = this._options.stream.writableLength > MAX_BUFFERED_BYTES;
    if (isBufferFull || this._linesInWindow >= this._maxLinesPerWindow) {
      this._droppedLines += 1;
      return;
    }
    this._linesInWindow += 1;
    this._logger.log({ level: 'info', message: kind, ...fields });
  }

  /** Starts a new window once the current one is over, and logs how many lines were dropped in it. */
  private _startWindowIfDue(): void {
    const now = this._options.clock.now();
    if (now - this._windowStart < RATE_WINDOW_MS) return;
    this._windowStart = now;
    this._linesInWindow = 0;
    const dropped = this._droppedLines;
    this._droppedLines = 0;
    if (dropped > 0) this._logger.log({ level: 'warn', message: DROPPED_LINES_KIND, dropped });
  }
}

/**
 * Opens standard output as a stream that never blocks the process. Node writes to standard output
 * synchronously when it is a pipe; a socket on the same file descriptor buffers the output instead.
 */
export function openStandardOutput(): Writable {
  return fstatSync(1).isFIFO() ? new Socket({ fd: 1, readable: false, writable: true }) : process.stdout;
}
