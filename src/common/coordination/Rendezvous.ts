/** Hashes texts to a hexadecimal number of fixed length. */
export type HashTexts = (...parts: readonly string[]) => string;

/**
 * Ranks members for keys by rendezvous hashing: the member with the highest hash is first. When a member
 * leaves, only its own keys move. Scores are cached, because they never change.
 */
export class RendezvousRanking {
  private readonly _scores = new Map<string, string>();

  constructor(private readonly _hash: HashTexts) {}

  /** Sorts the members, best first. */
  public sort(key: string, members: Iterable<string>): string[] {
    return [...members].sort((first, second) =>
      this._compareScores(this._getScore(key, first), this._getScore(key, second)),
    );
  }

  /** Counts the members that rank before `self`; `undefined` when `self` is not a member. */
  public rank(key: string, members: Iterable<string>, self: string): number | undefined {
    const own = this._getScore(key, self);
    let rank = 0;
    let isMember = false;
    for (const member of members) {
      if (member === self) isMember = true;
      else if (this._compareScores(this._getScore(key, member), own) < 0) rank += 1;
    }
    return isMember ? rank : undefined;
  }

  private _compareScores(first: string, second: string): number {
    return first > second ? -1 : first < second ? 1 : 0;
  }

  private _getScore(key: string, member: string): string {
    const id = `${key}\n${member}`;
    const known = this._scores.get(id);
    if (known !== undefined) return known;
    const score = this._hash(key, member);
    this._scores.set(id, score);
    return score;
  }
}
