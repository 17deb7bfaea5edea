import type { CommandModule } from 'yargs';
import type { ICommandOutput } from '../CommandResult.js';
import { createConfigApplyCommand } from './ConfigApplyCommand.js';
import { createConfigCheckCommand } from './ConfigCheckCommand.js';
import { createConfigDiffCommand } from './ConfigDiffCommand.js';
import { createConfigHistoryCommand } from './ConfigHistoryCommand.js';
import { createConfigShowCommand } from './ConfigShowCommand.js';

/** `mulberryweir config`: checks, shows and edits service documents. */
export function createConfigCommand(output: ICommandOutput): CommandModule {
  return {
    command: 'config',
    describe: 'Check, show and edit service documents',
    builder: (parser) =>
      parser
        .command(createConfigCheckCommand(output))
        .command(createConfigShowCommand(output))
        .command(createConfigDiffCommand(output))
        .command(createConfigApplyCommand(output))
        .command(createConfigHistoryCommand(output))
        .demandCommand(1, 'Name a command of config.'),
    handler: () => undefined,
  };
}
