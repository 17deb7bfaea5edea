import test from 'ava';
import { estimateLine } from './Fit.js';

test('a line fit returns the slope and a standard error that grows with the scatter of the points', (t) => {
  const exact = [10, 20, 40, 80].map((x) => ({ x, y: 3 + 2 * x }));
  const scattered = exact.map(({ x, y }, index) => ({ x, y: y + (index % 2 === 0 ? 4 : -4) }));
  const formatFigure = (value: number): number => Math.round(value * 1e6) / 1e6;
  const describe = (points: { x: number; y: number }[]): unknown =>
    Object.fromEntries(
      Object.entries(estimateLine(points)).map(([key, value]) => [key, formatFigure(value as number)]),
    );
  t.snapshot({ exact: describe(exact), scattered: describe(scattered) });
});

test('a line fit through two points throws, because its standard error cannot be estimated', (t) => {
  t.throws(
    () =>
      estimateLine([
        { x: 1, y: 1 },
        { x: 2, y: 2 },
      ]),
    { instanceOf: RangeError },
  );
});
