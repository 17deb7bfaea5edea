import type { CommandModule } from 'yargs';
import { runLoad } from '../../load/LoadRunner.js';
import { DEFAULT_PLAN } from '../../load/Schedule.js';
import type { ILoadPlan, ILoadStep, ILoadSummary } from '../../load/Types.js';

interface ILoadArguments {
  address: string;
  key: string[];
  model: string;
  step: string[];
  seed: number;
  stream: number;
  whole: number;
  plain: number;
  'plain-path': string;
  tokens: number;
  'long-share': number;
  'prompt-characters': number;
  sessions: number;
  'keyed-share': number;
  'deadline-ms': number | undefined;
  json: boolean;
}

/** `mulberryweir load`: sends an open-loop load to an address and prints latencies and outcomes. */
export const loadCommand: CommandModule<object, ILoadArguments> = {
  command: 'load',
  describe: 'Send an open-loop load to a host or an endpoint and print latencies and outcomes',
  builder: (parser) =>
    parser
      .option('address', { type: 'string', demandOption: true, describe: 'Base address, http://IP:PORT' })
      .option('key', {
        type: 'string',
        array: true,
        default: [],
        describe: 'Key of a client account; repeat it for more accounts',
      })
      .option('model', { type: 'string', default: 'auto', describe: 'Model or version that is requested' })
      .option('step', {
        type: 'string',
        array: true,
        default: ['10x10'],
        describe: 'Rate and duration of a step, REQUESTS_PER_SECONDxSECONDS; repeat it for more steps',
      })
      .option('seed', {
        type: 'number',
        default: 1,
        describe: 'Seed of the random arrival times and kinds of request',
      })
      .option('stream', {
        type: 'number',
        default: 1,
        describe: 'Relative weight of streamed chat completions',
      })
      .option('whole', {
        type: 'number',
        default: 0,
        describe: 'Relative weight of chat completions that are not streamed',
      })
      .option('plain', {
        type: 'number',
        default: 0,
        describe: 'Relative weight of non-idempotent calls of a plain service',
      })
      .option('plain-path', {
        type: 'string',
        default: '/services/ledger/refunds',
        describe: 'Path of the calls of a plain service',
      })
      .option('tokens', {
        type: 'number',
        default: DEFAULT_PLAN.tokens,
        describe: 'Tokens that an ordinary request asks for',
      })
      .option('long-share', {
        type: 'number',
        default: 0,
        describe: 'Share of requests that ask for 50 times the tokens, 0 to 1',
      })
      .option('prompt-characters', {
        type: 'number',
        default: 400,
        describe: 'Length of the prompt in characters',
      })
      .option('sessions', {
        type: 'number',
        default: 0,
        describe: 'Number of sessions that requests are spread over; 0 for no sessions',
      })
      .option('keyed-share', {
        type: 'number',
        default: 0,
        describe: 'Share of chat completions with an idempotency key, 0 to 1',
      })
      .option('deadline-ms', { type: 'number', describe: 'Deadline of each request in milliseconds' })
      .option('json', { type: 'boolean', default: false, describe: 'Print one JSON object' })
      .example('$0 load --address http://127.0.0.1:8080 --key KEY', 'Start 10 streams per second for 10 s')
      .example(
        '$0 load --address http://127.0.0.1:8080 --key KEY --step 20x10 --step 100x5',
        'Send at two rates in turn',
      )
      .example(
        '$0 load --address http://127.0.0.1:8080 --key KEY --stream 0 --plain 1 --json',
        'Send calls of a plain service only',
      )
      .check(({ step }) => {
        for (const text of step) parseStep(text);
        return true;
      }),
  handler: async (options) => {
    const { address, json, key, model } = options;
    const deadlineMs = options['deadline-ms'];
    const summary = await runLoad({
      plan: buildPlan(options),
      target: {
        chooseAddress: () => address,
        keys: key,
        model,
        plainPath: options['plain-path'],
        prompt: 'x'.repeat(options['prompt-characters']),
        ...(deadlineMs === undefined ? {} : { deadlineMs }),
      },
    });
    process.stdout.write(json ? `${JSON.stringify(summary)}\n` : formatSummary(summary));
    if (summary.complete === 0) process.exitCode = 1;
  },
};

function buildPlan(options: ILoadArguments): ILoadPlan {
  const { plain, seed, sessions, stream, tokens, whole } = options;
  return {
    ...DEFAULT_PLAN,
    seed,
    steps: options.step.map((text) => parseStep(text)),
    kindWeights: { stream, whole, plain },
    tokens,
    longShare: options['long-share'],
    sessions,
    keyedShare: options['keyed-share'],
    accounts: Math.max(1, options.key.length),
  };
}

function parseStep(text: string): ILoadStep {
  const match = /^(\d+(?:\.\d+)?)x(\d+(?:\.\d+)?)$/.exec(text);
  const rate = Number(match?.[1]);
  if (!match || rate <= 0) throw new Error(`--step ${text}: must be REQUESTS_PER_SECONDxSECONDS, as 20x10`);
  return { requestsPerSecond: rate, durationMs: Number(match[2]) * 1000 };
}

function formatSummary(summary: ILoadSummary): string {
  const { firstTokenMs, betweenTokensMs, totalMs } = summary;
  const lines = Object.entries({ firstTokenMs, betweenTokensMs, totalMs }).map(
    ([name, { p50, p95, p99, max }]) => `${name}: p50 ${p50}, p95 ${p95}, p99 ${p99}, max ${max}`,
  );
  const { codes, complete, ran, requests, statuses, tokens } = summary;
  lines.push(`requests ${requests}, complete ${complete}, tokens ${tokens}`);
  lines.push(
    `statuses ${JSON.stringify(statuses)}, codes ${JSON.stringify(codes)}, ran ${JSON.stringify(ran)}`,
  );
  return `${lines.join('\n')}\n`;
}
