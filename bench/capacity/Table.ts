import { estimateLine } from './Fit.js';
import type { IPoint, ISeries } from './Types.js';

/** Fits a line to each quantity of each series and renders the lines as a Markdown table. */
export function renderTable(series: readonly ISeries[]): string {
  const rows = series.flatMap((oneSeries) => [
    renderRow(oneSeries, oneSeries.cpuUnit, ({ cpuMs }) => cpuMs),
    renderRow(oneSeries, 'MB resident', ({ megabytes }) => megabytes),
    renderRow(oneSeries, 'store calls/s', ({ storeCalls }) => storeCalls),
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
  readQuantity: (point: IPoint) => number | undefined,
): string | undefined {
  const measured = points.flatMap((point) => {
    const y = readQuantity(point);
    return y === undefined ? [] : [{ x: point.x, y }];
  });
  if (measured.length === 0) return undefined;
  const line = estimateLine(measured);
  const pointList = measured.map(({ x, y }) => `${x}: ${formatFigure(y)}`).join(', ');
  const figures = [line.intercept, line.slope, line.slopeError, line.rSquared].map(formatFigure).join(' | ');
  return `| ${name} | ${xUnit} | ${unit} | ${figures} | ${pointList} |`;
}

function formatFigure(value: number): string {
  return String(Number(value.toPrecision(3)));
}
