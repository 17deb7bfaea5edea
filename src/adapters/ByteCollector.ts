/** Parts below this size are copied together. */
const MIN_KEPT_BYTES = 4096;
/** Sizes of the blocks that small parts are copied to. Each is twice as large as the one before. */
const MIN_BLOCK_BYTES = 4096;
const MAX_BLOCK_BYTES = 65_536;
/** Size of the first buffer for a body of known length that comes in parts. Each further one is four times as large. */
const MIN_BUFFER_BYTES = 262_144;
const BUFFER_GROWTH = 4;
/** Memory of a buffer object besides its bytes. */
const PART_OVERHEAD_BYTES = 200;

/**
 * Collects the parts of a body. Copies small parts together, since a buffer object takes about two hundred bytes besides
 * its own and also keeps the bytes that were read with it. The first part is kept as it is, because most bodies have no
 * other. The parts of a body of known length are copied into one buffer that grows up to this length, so that they can be
 * collected at once: kept until the end and then combined, a body would take its memory twice.
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
  private _heldBytes = 0;
  /** The beginning of a body of known length that comes in parts. */
  private _buffer: Buffer | undefined;
  private _bufferedBytes = 0;

  /** Creates a collector for a body of `expectedBytes`; 0 if its length is not known. */
  constructor(private readonly _expectedBytes = 0) {}

  /** Memory that the parts take, which is more than their bytes. */
  public get heldBytes(): number {
    return this._heldBytes;
  }

  public add(part: Buffer): void {
    if (this._buffer || (this._heldBytes === 0 && part.length < this._expectedBytes)) {
      this._addToBuffer(part);
      return;
    }
    if (part.length >= MIN_KEPT_BYTES || this._heldBytes === 0) {
      this._closeRange();
      this._parts.push(part);
      this._heldBytes += part.length + PART_OVERHEAD_BYTES;
      return;
    }
    if (this._end + part.length > this._block.length) {
      this._closeRange();
      const size = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, 2 * this._block.length));
      this._block = Buffer.allocUnsafeSlow(size);
      this._heldBytes += size + PART_OVERHEAD_BYTES;
      this._start = this._end = 0;
    }
    part.copy(this._block, this._end);
    this._end += part.length;
  }

  /** Returns all bytes in one buffer. */
  public combine(): Buffer {
    if (this._buffer) return this._buffer.subarray(0, this._bufferedBytes);
    this._closeRange();
    const [first] = this._parts;
    return first && this._parts.length === 1 ? first : Buffer.concat(this._parts);
  }

  public clear(): void {
    this._parts = [];
    this._block = Buffer.alloc(0);
    this._start = this._end = 0;
    this._heldBytes = 0;
    this._buffer = undefined;
    this._bufferedBytes = 0;
  }

  private _addToBuffer(part: Buffer): void {
    const neededBytes = this._bufferedBytes + part.length;
    const size = this._buffer?.length ?? 0;
    if (!this._buffer || neededBytes > size) {
      const grownSize = Math.max(MIN_BUFFER_BYTES, BUFFER_GROWTH * size);
      const grown = Buffer.allocUnsafeSlow(Math.max(neededBytes, Math.min(this._expectedBytes, grownSize)));
      this._buffer?.copy(grown, 0, 0, this._bufferedBytes);
      this._buffer = grown;
      this._heldBytes = grown.length + PART_OVERHEAD_BYTES;
    }
    part.copy(this._buffer, this._bufferedBytes);
    this._bufferedBytes = neededBytes;
  }

  private _closeRange(): void {
    if (this._end > this._start) this._parts.push(this._block.subarray(this._start, this._end));
    this._start = this._end;
  }
}
