/** A line of a diff of two texts. */
export interface IDiffLine {
  kind: 'same' | 'added' | 'removed';
  text: string;
}

/** Compares two texts line by line, by the longest common subsequence of their lines. */
export function compareTexts(before: string, after: string): IDiffLine[] {
  const beforeLines = splitLines(before);
  const afterLines = splitLines(after);
  const commonLengths = computeCommonLengths(beforeLines, afterLines);
  const lines: IDiffLine[] = [];
  let row = 0;
  let column = 0;
  while (row < beforeLines.length || column < afterLines.length) {
    const beforeLine = beforeLines[row];
    const afterLine = afterLines[column];
    if (beforeLine !== undefined && beforeLine === afterLine) {
      lines.push({ kind: 'same', text: beforeLine });
      row += 1;
      column += 1;
    } else if (
      beforeLine !== undefined &&
      (afterLine === undefined ||
        getCommonLength(commonLengths, row + 1, column) >= getCommonLength(commonLengths, row, column + 1))
    ) {
      lines.push({ kind: 'removed', text: beforeLine });
      row += 1;
    } else {
      lines.push({ kind: 'added', text: afterLine ?? '' });
      column += 1;
    }
  }
  return lines;
}

/** Formats the lines that differ: `-` precedes a removed line and `+` an added one. */
export function formatDiff(lines: readonly IDiffLine[]): string {
  return lines
    .filter(({ kind }) => kind !== 'same')
    .map(({ kind, text }) => `${kind === 'added' ? '+' : '-'} ${text}`)
    .join('\n');
}

function splitLines(text: string): string[] {
  return text.replace(/\n$/, '').split('\n');
}

/**
 * Computes the length of the longest common subsequence for each pair of remainders: the entry at `row`
 * and `column` is for `first` from line `row` on and `second` from line `column` on.
 */
function computeCommonLengths(first: readonly string[], second: readonly string[]): number[][] {
  const lengths = Array.from({ length: first.length + 1 }, () =>
    new Array<number>(second.length + 1).fill(0),
  );
  for (let row = first.length - 1; row >= 0; row -= 1) {
    for (let column = second.length - 1; column >= 0; column -= 1) {
      const length =
        first[row] === second[column]
          ? getCommonLength(lengths, row + 1, column + 1) + 1
          : Math.max(getCommonLength(lengths, row + 1, column), getCommonLength(lengths, row, column + 1));
      lengths[row]?.splice(column, 1, length);
    }
  }
  return lengths;
}

function getCommonLength(lengths: readonly (readonly number[])[], row: number, column: number): number {
  return lengths[row]?.[column] ?? 0;
}
