import { estimateLine } from './Fit.js';
import type { IPoint, ISeries } from './Types.js';

/** Renders the fitted lines of all series as a Markdown table. */
export function renderTable(series: readonly ISeries[]): string {
  const rows = series.flatMap((one) => [
    renderRow(one, one.cpuUnit, ({ cpuMs }) => cpuMs),
    renderRow(one, 'MB resident', ({ megabytes }) => megabytes),
    renderRow(one, 'store calls/s', ({ storeCalls }) => storeCalls),
  ]);
  const header = [
    '| series | per | quantity | at zero | slope | error of the slope | R² | points |',
    '| --- | --- | --- | --- | --- | --- | --- | --- |',
  ];
  return `${[...header, ...rows.filter((row) => row !== undefined)].join('\n')}\n`;
}

function renderRow(
  { name, points, xUnit }: ISeries,
  unit: string,
  read: (point: IPoint) => number | undefined,
): string | undefined {
  const found = points.flatMap((point) => {
    const y = read(point);
    return y === undefined ? [] : [{ x: point.x, y }];
  });
  if (found.length === 0) return undefined;
  const line = estimateLine(found);
  const listed = found.map(({ x, y }) => `${x}: ${formatFigure(y)}`).join(', ');
  const figures = [line.intercept, line.slope, line.slopeError, line.rSquared].map(formatFigure).join(' | ');
  return `| ${name} | ${xUnit} | ${unit} | ${figures} | ${listed} |`;
}

function formatFigure(value: number): string {
  return String(Number(value.toPrecision(3)));
}
