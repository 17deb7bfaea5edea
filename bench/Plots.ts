import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { IPlot, IPlotRow } from './Types.js';

const WIDTH = 560;
const HEIGHT = 300;
const PERCENTILES: readonly number[] = [
  1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 85, 90, 95, 97, 98, 99, 99.5, 100,
];

/** Builds the vega-lite specification of a plot. */
export function buildPlotSpec(plot: IPlot): TopLevelSpec {
  return {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title: plot.title,
    width: WIDTH,
    height: HEIGHT,
    background: 'white',
    data: { values: [...plot.rows] },
    mark: { type: 'line', point: true },
    encoding: {
      x: { field: 'x', type: 'quantitative', title: plot.xTitle },
      y: { field: 'y', type: 'quantitative', title: plot.yTitle, scale: { type: plot.scale } },
      color: { field: 'series', type: 'nominal', title: null },
    },
  };
}

/** Renders a plot as SVG. */
export async function renderPlot(plot: IPlot): Promise<string> {
  const view = new View(parse(compile(buildPlotSpec(plot)).spec), { renderer: 'none' });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}

/** Lists the points of a curve that shows the value at each of a fixed set of percentiles. */
export function listQuantileRows(series: string, values: readonly number[]): IPlotRow[] {
  const sorted = [...values].sort((first, second) => first - second);
  return PERCENTILES.map((percentile) => {
    const index = Math.min(sorted.length - 1, Math.ceil((percentile / 100) * sorted.length) - 1);
    return { series, x: percentile, y: sorted[Math.max(0, index)] ?? 0 };
  });
}
