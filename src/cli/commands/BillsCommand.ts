import type { CommandModule } from 'yargs';
import type { ICommandOutput } from '../CommandResult.js';
import { createBillsExportCommand } from './BillsExportCommand.js';
import { createBillsTotalsCommand } from './BillsTotalsCommand.js';

/** `mulberryweir bills`: reads bills directly from the store, so no host needs to be running. */
export function createBillsCommand(output: ICommandOutput): CommandModule {
  return {
    command: 'bills',
    describe: 'Read bills from the store',
    builder: (parser) =>
      parser
        .command(createBillsExportCommand(output))
        .command(createBillsTotalsCommand(output))
        .demandCommand(1, 'Name a command of bills.'),
    handler: () => undefined,
  };
}
