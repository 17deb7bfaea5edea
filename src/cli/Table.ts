/** Formats rows as a text table; each column is as wide as its longest cell. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const cells = [header, ...rows.map((row) => row.map(String))];
  const widths = header.map((_, column) => Math.max(...cells.map((row) => row[column]?.length ?? 0)));
  return cells
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
