import test from 'ava';
import { buildPlotSpec, listQuantileRows, renderPlot } from './Plots.js';

test('a plot shows the quantiles of the measured values', async (t) => {
  const values = Array.from({ length: 200 }, (_, index) => 200 - index);
  const rows = listQuantileRows('run', values);
  const plot = { name: 'p', title: 'T', xTitle: 'percentile', yTitle: 'ms', scale: 'linear' as const, rows };
  t.snapshot({ rows, encoding: buildPlotSpec(plot) });
  t.regex(await renderPlot(plot), /^<svg[\s\S]*percentile[\s\S]*<\/svg>$/);
});
