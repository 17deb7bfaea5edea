/** A line of a comparison of two texts. */
export interface IDiffLine {
  kind: 'same' | 'added' | 'removed';
  text: string;
}

/** Compares two texts line by line by their longest common subsequence. */
export function compareTexts(before: string, after: string): IDiffLine[] {
  const first = splitLines(before);
  const second = splitLines(after);
  const lengths = computeLengths(first, second);
  const lines: IDiffLine[] = [];
  let row = 0;
  let column = 0;
  while (row < first.length || column < second.length) {
    const left = first[row];
    const right = second[column];
    if (left !== undefined && left === right) {
      lines.push({ kind: 'same', text: left });
      row += 1;
      column += 1;
    } else if (
      left !== undefined &&
      (right === undefined || readLength(lengths, row + 1, column) >= readLength(lengths, row, column + 1))
    ) {
      lines.push({ kind: 'removed', text: left });
      row += 1;
    } else {
      lines.push({ kind: 'added', text: right ?? '' });
      column += 1;
    }
  }
  return lines;
}

/** Formats the lines that differ; `-` marks a removed line and `+` an added one. */
export function formatDiff(lines: readonly IDiffLine[]): string {
  return lines
    .filter(({ kind }) => kind !== 'same')
    .map(({ kind, text }) => `${kind === 'added' ? '+' : '-'} ${text}`)
    .join('\n');
}

function splitLines(text: string): string[] {
  return text.replace(/\n$/, '').split('\n');
}

function computeLengths(first: readonly string[], second: readonly string[]): number[][] {
  const lengths = Array.from({ length: first.length + 1 }, () =>
    new Array<number>(second.length + 1).fill(0),
  );
  for (let row = first.length - 1; row >= 0; row -= 1) {
    for (let column = second.length - 1; column >= 0; column -= 1) {
      const length =
        first[row] === second[column]
          ? readLength(lengths, row + 1, column + 1) + 1
          : Math.max(readLength(lengths, row + 1, column), readLength(lengths, row, column + 1));
      lengths[row]?.splice(column, 1, length);
    }
  }
  return lengths;
}

function readLength(lengths: readonly (readonly number[])[], row: number, column: number): number {
  return lengths[row]?.[column] ?? 0;
}
