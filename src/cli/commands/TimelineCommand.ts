import { writeFileSync } from 'node:fs';
import type { CommandModule } from 'yargs';
import { decodeTimelineText } from '../../adapters/TimelineFiles.js';
import { planLayout } from '../../common/timeline/Layout.js';
import { filterEvents, mergeEvents, type ITimelineFilter } from '../../common/timeline/Merge.js';
import type { ITimelineEvent } from '../../common/timeline/Types.js';
import { describeFailure, printResult, type ICommandOutput, type ICommandResult } from '../CommandResult.js';
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

/** `mulberryweir timeline FILES...`: merges the time lines of hosts. */
export function createTimelineCommand(output: ICommandOutput): CommandModule<object, ITimelineArguments> {
  return {
    command: 'timeline <files..>',
    describe: 'Merge the time lines of hosts in causal order',
    builder: (parser) =>
      parser
        // The global --version would otherwise take the option's name.
        .version(false)
        .positional('files', {
          type: 'string',
          array: true,
          demandOption: true,
          describe: 'Files that [timeline] file names in the settings of the hosts',
        })
        .option('request', {
          type: 'string',
          describe: 'Keep one request; HTML keeps the others, dimmed, and draws the way of this one',
        })
        .option('host', { type: 'string', describe: 'Keep the events of one host' })
        .option('version', { type: 'string', describe: 'Keep the requests that ran on one version' })
        .option('service', { type: 'string', describe: 'Keep the events of one service' })
        .option('format', { choices: FORMATS, default: 'text' as const, describe: 'Output format' })
        .option('out', { type: 'string', describe: 'File to write instead of standard output' })
        .option('json', { ...JSON_OPTION, describe: 'Short for --format json' })
        .example('$0 timeline host-*.jsonl --request r-1', 'Show the way of one request')
        .example('$0 timeline host-*.jsonl --format html --out timeline.html', 'Write one HTML page'),
    handler: (options) => {
      const isJson = options.json || options.format === 'json';
      printResult(output, buildTimeline(options), isJson && options.out === undefined);
    },
  };
}

function buildTimeline(options: ITimelineArguments): ICommandResult {
  const records: ITimelineEvent[][] = [];
  const warnings: string[] = [];
  for (const file of options.files) {
    const text = readTextFile(file);
    if (text.isErr) return text.error;
    const { events, tornLines } = decodeTimelineText(text.value);
    records.push(events);
    if (tornLines > 0) warnings.push(`${file}: ${tornLines} torn or malformed lines are skipped`);
  }
  const { events, text } = formatTimeline(mergeEvents(records), options);
  if (options.out === undefined) return { reason: 'success', text, data: events, errors: warnings };
  try {
    writeFileSync(options.out, text);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return describeFailure('failure', [...warnings, `${options.out}: ${message}`]);
  }
  const line = `${options.out}: ${events.length} events`;
  return { reason: 'success', text: line, data: { events: events.length }, errors: warnings };
}

function formatTimeline(
  merged: readonly ITimelineEvent[],
  options: ITimelineArguments,
): { events: readonly ITimelineEvent[]; text: string } {
  const { format, host, json, request, service, version } = options;
  const others = filterEvents(merged, { host, service, version });
  if (format === 'html' && !json) {
    return { events: others, text: renderTimelineHtml(planLayout(others, request)) };
  }
  const events = filterEvents(others, { request });
  const isJson = json || format === 'json';
  return { events, text: isJson ? `${JSON.stringify(events)}\n` : renderTimelineText(events) };
}
