#!/usr/bin/env node
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { hostCommand } from './commands/HostCommand.js';
import { loadCommand } from './commands/LoadCommand.js';
import { quickstartCommand } from './commands/QuickstartCommand.js';

await yargs(hideBin(process.argv))
  .scriptName('mulberryweir')
  .usage('$0 <command> [options]')
  .command(hostCommand)
  .command(loadCommand)
  .command(quickstartCommand)
  .completion('completion', 'Print a script for shell completion')
  .demandCommand(1, 'Name a command.')
  .strict()
  .epilogue(
    'Exit codes: 0 success, 1 failure, 2 wrong settings or arguments, 3 conflict, 4 store unavailable.',
  )
  .help()
  .parseAsync();
