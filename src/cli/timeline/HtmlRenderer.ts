import type { ITimelineLayout, ITimelineMark, TimelineStep } from '../../common/timeline/Layout.js';
import { formatEventFields } from './TextRenderer.js';

const COLUMN_WIDTH_PX = 14;
const LANE_HEIGHT_PX = 40;
const LABEL_WIDTH_PX = 120;
const HEADER_HEIGHT_PX = 30;

const STEP_COLOURS: Readonly<Record<TimelineStep, string>> = {
  claim: '#7b3294',
  route: '#2c7bb6',
  endpoint: '#1a9641',
  hedge: '#d8820a',
  escalation: '#c51b7d',
  bill: '#333333',
  other: '#999999',
};

/** Renders a timeline layout as one self-contained HTML page with inline SVG. */
export function renderTimelineHtml(layout: ITimelineLayout): string {
  const width = LABEL_WIDTH_PX + (layout.columnCount + 1) * COLUMN_WIDTH_PX;
  const height = HEADER_HEIGHT_PX + layout.lanes.length * LANE_HEIGHT_PX;
  const { request } = layout;
  const title = request === undefined ? 'Time line' : `Time line of request ${request}`;
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${escapeHtml(title)}</title>
<style>
body { font: 14px sans-serif; margin: 16px; }
.drawing { overflow-x: auto; }
text { font: 12px sans-serif; }
.lane { stroke: #cccccc; }
.way { fill: none; stroke: #222222; stroke-width: 1.5; }
.dimmed { opacity: 0.25; }
</style>
</head>
<body>
<h1>${escapeHtml(title)}</h1>
<p>${formatLegend()}</p>
<div class="drawing">
<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" role="img">
${layout.lanes.map((host, lane) => formatLane(host, lane, width)).join('\n')}
${formatRequestPath(layout.marks)}
${layout.marks.map((mark) => formatMark(mark, request !== undefined)).join('\n')}
</svg>
</div>
</body>
</html>
`;
}

function formatLegend(): string {
  return Object.entries(STEP_COLOURS)
    .map(([step, colour]) => `<span style="color: ${colour}">&#9679; ${step}</span>`)
    .join(' ');
}

function formatLane(host: string, lane: number, width: number): string {
  const y = computeLaneY(lane);
  return `<text x="0" y="${y + 4}">${escapeHtml(host)}</text><line class="lane" x1="${LABEL_WIDTH_PX}" y1="${y}" x2="${width}" y2="${y}"/>`;
}

function formatRequestPath(marks: readonly ITimelineMark[]): string {
  const points = marks
    .filter((mark) => mark.isHighlighted)
    .map((mark) => `${computeColumnX(mark.column)},${computeLaneY(mark.lane)}`);
  return points.length < 2 ? '' : `<polyline class="way" points="${points.join(' ')}"/>`;
}

function formatMark(mark: ITimelineMark, hasHighlightedRequest: boolean): string {
  const { event, isHighlighted, step } = mark;
  const tooltip = [
    `${event.lamport} ${event.host} ${event.kind}`,
    event.at,
    ...(event.fields.request === undefined ? [] : [`request=${String(event.fields.request)}`]),
    formatEventFields(event, '\n'),
  ].join('\n');
  const className = hasHighlightedRequest && !isHighlighted ? ' class="dimmed"' : '';
  const position = `cx="${computeColumnX(mark.column)}" cy="${computeLaneY(mark.lane)}"`;
  return `<circle${className} ${position} r="${isHighlighted ? 6 : 4}" fill="${STEP_COLOURS[step]}"><title>${escapeHtml(tooltip)}</title></circle>`;
}

function computeLaneY(lane: number): number {
  return HEADER_HEIGHT_PX + lane * LANE_HEIGHT_PX;
}

function computeColumnX(column: number): number {
  return LABEL_WIDTH_PX + (column + 1) * COLUMN_WIDTH_PX;
}

/** Escapes text for HTML. Callers choose some of the names in events, which may hold markup. */
function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
