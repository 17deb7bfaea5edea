import { writeFileSync } from 'node:fs';
import type { CommandModule } from 'yargs';
import { decodeTimelineText } from '../../adapters/TimelineFiles.js';
import { planLayout } from '../../common/timeline/Layout.js';
import { filterEvents, mergeEvents, type ITimelineFilter } from '../../common/timeline/Merge.js';
import type { ITimelineEvent } from '../../common/timeline/Types.js';
import {
  buildFailureResult,
  printResult,
  type ICommandOutput,
  type ICommandResult,
} from '../CommandResult.js';
import { JSON_OPTION, readTextFile } from '../Options.js';
import { renderTimelineHtml } from '../timeline/HtmlRenderer.js';
import { renderTimelineText } from '../timeline/TextRenderer.js';

type TimelineFormat = 'text' | 'json' | 'html';

interface ITimelineArguments extends ITimelineFilter {
  files: string[];
  format: TimelineFormat;
  out: string | undefined;
  json: boolean;
}

const FORMATS: readonly TimelineFormat[] = ['text', 'json', 'html'];

/** `mulberryweir timeline FILES...`: merges the timeline files of hosts and renders the events. */
export function createTimelineCommand(output: ICommandOutput): CommandModule<object, ITimelineArguments> {
  return {
    command: 'timeline <files..>',
    describe: 'Merge the timeline files of hosts and show the events in causal order',
    builder: (parser) =>
      parser
        // Disables the --version flag of yargs, because this command has an option of the same name.
        .version(false)
        .positional('files', {
          type: 'string',
          array: true,
          demandOption: true,
          describe:
            'Timeline files, one per host; `file` in section [timeline] of the host settings names them',
        })
        .option('request', {
          type: 'string',
          describe:
            'Show only the events of one request; HTML connects them by a line and shows other events dimmed',
        })
        .option('host', { type: 'string', describe: 'Show only the events of one host' })
        .option('version', { type: 'string', describe: 'Show only the requests that ran on one version' })
        .option('service', { type: 'string', describe: 'Show only the events of one service' })
        .option('format', { choices: FORMATS, default: 'text' as const, describe: 'Output format' })
        .option('out', { type: 'string', describe: 'File to write instead of standard output' })
        .option('json', { ...JSON_OPTION, describe: 'Same as --format json' })
        .example('$0 timeline host-*.jsonl --request r-1', 'Show the events of one request')
        .example('$0 timeline host-*.jsonl --format html --out timeline.html', 'Write one HTML page'),
    handler: (options) => {
      const isJson = options.json || options.format === 'json';
      printResult(output, buildTimeline(options), isJson && options.out === undefined);
    },
  };
}

function buildTimeline(options: ITimelineArguments): ICommandResult {
  const eventsByFile: ITimelineEvent[][] = [];
  const warnings: string[] = [];
  for (const file of options.files) {
    const text = readTextFile(file);
    if (text.isErr) return text.error;
    const { events, skippedLineCount } = decodeTimelineText(text.value);
    eventsByFile.push(events);
    if (skippedLineCount > 0)
      warnings.push(`${file}: ${skippedLineCount} torn or malformed lines are skipped`);
  }
  const { events, text } = formatTimeline(mergeEvents(eventsByFile), options);
  if (options.out === undefined) return { reason: 'success', text, data: events, errors: warnings };
  try {
    writeFileSync(options.out, text);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return buildFailureResult('failure', [...warnings, `${options.out}: ${message}`]);
  }
  const summary = `${options.out}: ${events.length} events`;
  return { reason: 'success', text: summary, data: { events: events.length }, errors: warnings };
}

function formatTimeline(
  merged: readonly ITimelineEvent[],
  options: ITimelineArguments,
): { events: readonly ITimelineEvent[]; text: string } {
  const { format, host, json, request, service, version } = options;
  const filtered = filterEvents(merged, { host, service, version });
  if (format === 'html' && !json) {
    return { events: filtered, text: renderTimelineHtml(planLayout(filtered, request)) };
  }
  const events = filterEvents(filtered, { request });
  const isJson = json || format === 'json';
  return { events, text: isJson ? `${JSON.stringify(events)}\n` : renderTimelineText(events) };
}
