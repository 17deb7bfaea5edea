/** Parts below this size are copied together. */
const MIN_KEPT_BYTES = 4096;
const BLOCK_BYTES = 65_536;

/**
 * Collects the parts of a body. Copies small parts together, since a buffer object takes about a hundred bytes besides
 * its own and also keeps the bytes that were read with it.
 * @example
 * const collector = new ByteCollector();
 * collector.add(Buffer.from('a'));
 * collector.add(Buffer.from('b'));
 * collector.combine().toString(); // 'ab'
 */
export class ByteCollector {
  private _parts: Buffer[] = [];
  private _block = Buffer.alloc(0);
  /** Range of the block that is in use and not yet among the parts. */
  private _start = 0;
  private _end = 0;

  public add(part: Buffer): void {
    if (part.length >= MIN_KEPT_BYTES) {
      this._closeRange();
      this._parts.push(part);
      return;
    }
    if (this._end + part.length > this._block.length) {
      this._closeRange();
      this._block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
      this._start = this._end = 0;
    }
    part.copy(this._block, this._end);
    this._end += part.length;
  }

  /** Returns all bytes in one buffer. */
  public combine(): Buffer {
    this._closeRange();
    return Buffer.concat(this._parts);
  }

  public clear(): void {
    this._parts = [];
    this._block = Buffer.alloc(0);
    this._start = this._end = 0;
  }

  private _closeRange(): void {
    if (this._end > this._start) this._parts.push(this._block.subarray(this._start, this._end));
    this._start = this._end;
  }
}
