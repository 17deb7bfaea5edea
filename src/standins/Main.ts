import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import * as z from 'zod';
import { ENGINE_OPTIONS_SCHEMA } from './engine/Types.js';
import { startEngineServer } from './EngineServer.js';
import { startHostListServer } from './HostListServer.js';
import { startKeyValueServer } from './KeyValueServer.js';
import { startPlainServer } from './PlainServer.js';
import type { IStandIn } from './Types.js';

const KIND_SCHEMA = z.enum(['engine', 'plain', 'store', 'host-list']);
type StandInKind = z.output<typeof KIND_SCHEMA>;

const STARTERS: Readonly<Record<StandInKind, (options: unknown, port: number) => Promise<IStandIn>>> = {
  engine: (options, port) => startEngineServer({ port, ...ENGINE_OPTIONS_SCHEMA.parse(options) }),
  plain: (_options, port) => startPlainServer(port),
  store: (_options, port) => startKeyValueServer({ port }),
  'host-list': (_options, port) => startHostListServer(port),
};

const argv = await yargs(hideBin(process.argv))
  .usage('$0 engine|plain|store|host-list [options]')
  .option('options', { type: 'string', default: '{}', describe: 'Options of the stand-in, JSON' })
  .option('port', { type: 'number', default: 0, describe: 'Port; 0 picks a free one' })
  .strictOptions()
  .parseAsync();
const start = STARTERS[KIND_SCHEMA.parse(argv._[0])];
const standIn = await start(JSON.parse(argv.options), argv.port);
process.stdout.write(`${JSON.stringify({ event: 'listening', address: standIn.address })}\n`);
