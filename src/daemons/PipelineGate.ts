import type { Socket } from 'node:net';

/**
 * Stops the reading of a connection whose pipelined requests wait. Node.js resumes a connection whenever a body is read
 * or a response has ended, so what it asks for while the gate is closed takes effect when the gate is opened.
 * @example
 * const gate = new PipelineGate(socket);
 * gate.close();
 * gate.open();
 */
export class PipelineGate {
  private _isClosed = false;
  private _isPausedByNode: boolean;
  private readonly _pause: () => Socket;
  private readonly _resume: () => Socket;

  constructor(private readonly _socket: Socket) {
    this._isPausedByNode = _socket.isPaused();
    this._pause = _socket.pause.bind(_socket);
    this._resume = _socket.resume.bind(_socket);
    _socket.pause = () => {
      this._isPausedByNode = true;
      return this._pause();
    };
    _socket.resume = () => {
      this._isPausedByNode = false;
      return this._isClosed ? _socket : this._resume();
    };
  }

  /** Stops the reading. What has been read already is still delivered. */
  public close(): void {
    if (this._isClosed) return;
    this._isClosed = true;
    this._pause();
  }

  /** Lets the reading go on. */
  public open(): void {
    if (!this._isClosed) return;
    this._isClosed = false;
    if (!this._isPausedByNode && !this._socket.destroyed) this._resume();
  }
}
