import { request } from 'undici';
import type { CommandModule } from 'yargs';
import * as z from 'zod';
import {
  buildFailureResult,
  printResult,
  type ICommandOutput,
  type ICommandResult,
} from '../CommandResult.js';
import { JSON_OPTION } from '../Options.js';
import { formatTable } from '../Table.js';

interface IExplainArguments {
  router: string;
  service: string;
  model: string;
  prompt: string;
  usage: string | undefined;
  'target-ms': number | undefined;
  json: boolean;
}

/** Longest time to wait for the answer of a router. */
const ANSWER_TIMEOUT_MS = 3000;

const REPORT_SCHEMA = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('unknown-version'), versions: z.array(z.string()) }),
  z.object({
    kind: z.literal('choice'),
    version: z.string(),
    endpoint: z.string().optional(),
    rows: z.array(
      z.object({
        endpoint: z.string(),
        zone: z.string(),
        state: z.string(),
        costMs: z.number().optional(),
        startMs: z.number().optional(),
        prefillMs: z.number().optional(),
        ownCachedTokens: z.number().optional(),
        certainty: z.number().optional(),
      }),
    ),
  }),
]);

type Report = z.infer<typeof REPORT_SCHEMA>;

const HEADER = [
  'endpoint',
  'zone',
  'state',
  'cost ms',
  'start ms',
  'reading ms',
  'cached by own',
  'certainty',
];

/** `mulberryweir explain`: asks a running router where a request would go now, and prints why. Nothing is sent. */
export function createExplainCommand(output: ICommandOutput): CommandModule<object, IExplainArguments> {
  return {
    command: 'explain',
    describe: 'Print where a router would send a request to a model now, and why, without sending it',
    builder: (parser) =>
      parser
        .option('router', { type: 'string', demandOption: true, describe: 'Metrics address, IP:PORT' })
        .option('service', { type: 'string', demandOption: true, describe: 'Service of the request' })
        .option('model', { type: 'string', default: '', describe: 'Model, or version SERVICE/MODEL@RELEASE' })
        .option('prompt', { type: 'string', default: '', describe: 'Parts of the prompt, ID:TOKENS,...' })
        .option('usage', { type: 'string', describe: 'Tokens of the prompt and of the answer, N,N' })
        .option('target-ms', { type: 'number', describe: 'Target for the first output' })
        .option('json', JSON_OPTION)
        .example(
          '$0 explain --router 127.0.0.1:9100 --service drafts --model small --prompt system:500,r-1:1200',
          'Compare the endpoints for a prompt of 1,700 tokens',
        ),
    handler: async (options) => {
      printResult(output, await fetchChoice(options), options.json);
    },
  };
}

async function fetchChoice(options: IExplainArguments): Promise<ICommandResult> {
  const { model, prompt, router, service, usage, 'target-ms': targetMs } = options;
  const query = new URLSearchParams({ service, model, prompt });
  if (usage !== undefined) query.set('usage', usage);
  if (targetMs !== undefined) query.set('target-ms', String(targetMs));
  try {
    const signal = AbortSignal.timeout(ANSWER_TIMEOUT_MS);
    const { body, statusCode } = await request(`http://${router}/explain?${query.toString()}`, { signal });
    const answer = await body.text();
    if (statusCode !== 200) return buildFailureResult('failure', [`${router}: answered ${statusCode}`]);
    const report = REPORT_SCHEMA.parse(JSON.parse(answer));
    if (report.kind === 'unknown-version') {
      const known = report.versions.join(', ');
      return buildFailureResult('wrong-arguments', [`--model must name one of: ${known}`], report);
    }
    return { reason: 'success', text: formatReport(report), data: report };
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return buildFailureResult('failure', [`${router}: ${message}`]);
  }
}

function formatReport({ endpoint, rows, version }: Extract<Report, { kind: 'choice' }>): string {
  const cells = rows.map((row) =>
    [
      row.endpoint,
      row.zone,
      row.state,
      row.costMs,
      row.startMs,
      row.prefillMs,
      row.ownCachedTokens,
      row.certainty,
    ].map((cell) => cell ?? ''),
  );
  const summary =
    endpoint === undefined
      ? `${version}: no endpoint has room, so the request would be queued or refused`
      : `${version}: ${endpoint}`;
  return `${summary}\n\n${formatTable(HEADER, cells)}`;
}
