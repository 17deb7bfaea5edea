/** Characters of the prompt in one cached block. */
const BLOCK_CHARACTERS = 512;

/** A prompt prefix cache with a limited number of blocks and LRU eviction. */
export class PrefixCache {
  private readonly _blocks = new Set<string>();

  constructor(private readonly _maxBlocks: number) {}

  /** Returns the share of a prompt, 0 to 1, that was cached, then caches all full blocks of the prompt. */
  public use(prompt: string): number {
    let cached = 0;
    let isPrefix = true;
    for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
      const block = prompt.slice(0, end);
      isPrefix &&= this._blocks.delete(block);
      if (isPrefix) cached = end;
      this._blocks.add(block);
    }
    this._evictOldestBlocks();
    return prompt.length === 0 ? 0 : cached / prompt.length;
  }

  private _evictOldestBlocks(): void {
    for (const block of this._blocks) {
      if (this._blocks.size <= this._maxBlocks) return;
      this._blocks.delete(block);
    }
  }
}
