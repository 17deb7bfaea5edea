/** Characters of one cached block. */
const BLOCK_CHARACTERS = 512;

/** Prompt prefixes in limited memory; the block that was used least recently is dropped first. */
export class PrefixCache {
  private readonly _blocks = new Set<string>();

  constructor(private readonly _capacity: number) {}

  /** Returns the share of a prompt that is cached, 0 to 1, and caches the whole prompt. */
  public use(prompt: string): number {
    let cached = 0;
    let isPrefix = true;
    for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
      const block = prompt.slice(0, end);
      isPrefix &&= this._blocks.delete(block);
      if (isPrefix) cached = end;
      this._blocks.add(block);
    }
    this._trim();
    return prompt.length === 0 ? 0 : cached / prompt.length;
  }

  private _trim(): void {
    for (const block of this._blocks) {
      if (this._blocks.size <= this._capacity) return;
      this._blocks.delete(block);
    }
  }
}
