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

/** `mulberryweir load`: sends an open-loop load to an address and prints what callers saw. */
export const loadCommand: CommandModule<object, ILoadArguments> = {
  command: 'load',
  describe: 'Send an open-loop load to a host or an endpoint and print latencies and outcomes',
  builder: (parser) =>
    parser
      .option('address', { type: 'string', demandOption: true, describe: 'Base address, http://IP:PORT' })
      .option('key', { type: 'string', array: true, default: [], describe: 'Key of a client account' })
      .option('model', { type: 'string', default: 'auto', describe: 'Model or version to ask for' })
      .option('step', {
        type: 'string',
        array: true,
        default: ['10x10'],
        describe: 'Rate step, REQUESTS_PER_SECONDxSECONDS; repeat it for more steps',
      })
      .option('seed', { type: 'number', default: 1, describe: 'Seed of arrivals and of the mix' })
      .option('stream', { type: 'number', default: 1, describe: 'Weight of streamed requests' })
      .option('whole', { type: 'number', default: 0, describe: 'Weight of whole requests' })
      .option('plain', { type: 'number', default: 0, describe: 'Weight of non-idempotent plain calls' })
      .option('plain-path', { type: 'string', default: '/services/ledger/refunds', describe: 'Their path' })
      .option('tokens', { type: 'number', default: DEFAULT_PLAN.tokens, describe: 'Tokens per answer' })
      .option('long-share', { type: 'number', default: 0, describe: 'Share of 50 times longer requests' })
      .option('prompt-characters', { type: 'number', default: 400, describe: 'Length of the prompt' })
      .option('sessions', { type: 'number', default: 0, describe: 'Number of sessions; 0 for none' })
      .option('keyed-share', { type: 'number', default: 0, describe: 'Share with an idempotency key' })
      .option('deadline-ms', { type: 'number', describe: 'Deadline of each request' })
      .option('json', { type: 'boolean', default: false, describe: 'Print one JSON object' })
      .example('$0 load --address http://127.0.0.1:8080 --key KEY', '10 streams/s for 10 s')
      .example('$0 load --address http://127.0.0.1:8080 --key KEY --step 20x10 --step 100x5', 'Two steps')
      .example('$0 load --address http://127.0.0.1:8080 --key KEY --stream 0 --plain 1 --json', 'Plain calls')
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
    mix: { stream, whole, plain },
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
