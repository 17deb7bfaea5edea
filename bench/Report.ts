import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { renderPlot } from './Plots.js';
import type { IMeasure, IScenarioResult } from './Types.js';

/** Tells whether a measure meets its target; `undefined` when the measure has no target. */
export function isTargetMet({ bound, target, value }: IMeasure): boolean | undefined {
  if (target === undefined) return undefined;
  return bound === 'at-most' ? value <= target : value >= target;
}

/** Writes the result as JSON, its plots as SVG and a Markdown page with the measures to a folder. */
export async function writeReport(
  folder: string,
  name: string,
  command: string,
  result: IScenarioResult,
): Promise<void> {
  mkdirSync(folder, { recursive: true });
  const { plots, ...figures } = result;
  writeFileSync(join(folder, `${name}.json`), `${JSON.stringify({ command, ...figures }, undefined, 2)}\n`);
  for (const plot of plots) writeFileSync(join(folder, `${plot.name}.svg`), await renderPlot(plot));
  writeFileSync(join(folder, `${name}.md`), formatPage(name, command, result));
}

function formatPage(name: string, command: string, result: IScenarioResult): string {
  const rows = result.measures.map((measure) => {
    const target =
      measure.target === undefined
        ? ''
        : `${measure.bound.replace('-', ' ')} ${measure.target} ${measure.unit}`;
    const isMet = isTargetMet(measure);
    const verdict = isMet === undefined ? '' : isMet ? 'met' : 'missed';
    return `| ${measure.name} | ${formatFigure(measure.value)} ${measure.unit} | ${target} | ${verdict} |`;
  });
  const images = result.plots.map((plot) => `![${plot.title}](${plot.name}.svg)`);
  const table = ['| measure | value | target | verdict |', '| --- | --- | --- | --- |', ...rows].join('\n');
  return `# ${name}\n\n\`${command}\`\n\n${table}\n\n${images.join('\n\n')}\n`;
}

function formatFigure(value: number): string {
  return String(Math.round(value * 1000) / 1000);
}
