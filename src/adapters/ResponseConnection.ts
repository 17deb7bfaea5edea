import { setImmediate } from 'node:timers/promises';
import type { CheckTunnelEnd } from './Tunnels.js';
import type { EndMark } from '../common/request/Types.js';

/** How a connection stands: `closed` in order by the other side, or `reset`, so that bytes may be missing. */
export type ConnectionState = 'open' | 'closed' | 'reset';

/** Largest number of bytes behind a response that are kept: those that the parser takes at once. */
const MAX_BYTES_BEHIND = 4096;

const NO_BYTES: Buffer = Buffer.alloc(0);

/** How the connection of one response stands. Passed to the agent as the `opaque` of the request. */
export class ResponseConnection {
  private _state: ConnectionState = 'open';
  private _leftover = NO_BYTES;
  private _checkTunnelEnd: CheckTunnelEnd | undefined;

  public get state(): ConnectionState {
    return this._state;
  }

  /**
   * Bytes that the parser has read from the connection and not taken, at most 4 KiB. Once the response has ended, these
   * are the first ones behind its end.
   */
  public get leftover(): Buffer {
    return this._leftover;
  }

  /**
   * Records that the request goes out on a new connection, since the one that was kept had ended. `checkTunnelEnd` is
   * given if it leads through another host.
   */
  public recordStart(checkTunnelEnd?: CheckTunnelEnd): void {
    this._state = 'open';
    this._leftover = NO_BYTES;
    this._checkTunnelEnd = checkTunnelEnd;
  }

  /** Records that the parser takes the next bytes. */
  public recordRead(): void {
    this._leftover = NO_BYTES;
  }

  /** Records the bytes that the parser did not take. */
  public recordLeftover(bytes: Buffer): void {
    this._leftover = Buffer.from(bytes.subarray(0, MAX_BYTES_BEHIND));
  }

  /** Records the end of the connection. The first end counts: a connection that is destroyed afterwards was not reset. */
  public recordEnd(state: Exclude<ConnectionState, 'open'>): void {
    if (this._state === 'open') this._state = state;
  }

  /**
   * Tells whether the other side has closed the connection in order. The system also closes the connections of a relay
   * that ends in order, so that a relay has to confirm that the endpoint has closed its own.
   */
  public async checkEnd(): Promise<boolean> {
    if (this._state !== 'closed') return false;
    return this._checkTunnelEnd === undefined || (await this._checkTunnelEnd());
  }
}

/**
 * Reads the first bytes behind a response that has ended; none if nothing follows at once. Bytes that arrive more than
 * one turn of the event loop after the end are not seen.
 * @example
 * const text = await body.text();
 * const bytes = await readBytesBehind(connection);
 */
export async function readBytesBehind(connection: ResponseConnection): Promise<Buffer> {
  // Immediates run after the turn's reads, so that the second one runs after the reads of the next turn.
  for (let count = 0; count < 2 && connection.leftover.length === 0; count += 1) await setImmediate();
  return connection.leftover;
}

/**
 * Tells whether a response that undici has read to its end was cut by the end of its connection.
 * @example
 * if (await isCutByConnection(endMark, connection)) return Result.err({ kind: 'crashed', ran: 'yes', message });
 */
export async function isCutByConnection(endMark: EndMark, connection: ResponseConnection): Promise<boolean> {
  return endMark === 'connection' && !(await connection.checkEnd());
}
