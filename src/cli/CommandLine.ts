import yargs from 'yargs';
import { EXIT_CODES, type ICommandOutput } from './CommandResult.js';
import { createBillsCommand } from './commands/BillsCommand.js';
import { createConfigCommand } from './commands/ConfigCommand.js';
import { createExplainCommand } from './commands/ExplainCommand.js';
import { hostCommand } from './commands/HostCommand.js';
import { loadCommand } from './commands/LoadCommand.js';
import { routerCommand } from './commands/RouterCommand.js';
import { quickstartCommand } from './commands/QuickstartCommand.js';
import { createStatusCommand } from './commands/StatusCommand.js';
import { createTimelineCommand } from './commands/TimelineCommand.js';

/**
 * Parses the arguments and runs the command that they name. After an error, writes its message without a
 * stack trace and sets the exit code.
 */
export async function runCommandLine(args: readonly string[], output: ICommandOutput): Promise<void> {
  const parser = yargs([...args])
    .scriptName('mulberryweir')
    .usage('$0 <command> [options]')
    .command(hostCommand)
    .command(routerCommand)
    .command(loadCommand)
    .command(quickstartCommand)
    .command(createConfigCommand(output))
    .command(createBillsCommand(output))
    .command(createTimelineCommand(output))
    .command(createStatusCommand(output))
    .command(createExplainCommand(output))
    .completion('completion', 'Print a script for shell completion')
    .demandCommand(1, 'Name a command.')
    .strict()
    .exitProcess(false)
    .wrap(100)
    .epilogue(
      'Exit codes: 0 success, 1 failure, 2 wrong settings or arguments, 3 conflict, 4 store unavailable.',
    )
    .help()
    .fail((message: string | null, error: Error | undefined) => {
      // The message is null if a command's handler threw the error, rather than yargs.
      if (message === null && error) throw error;
      throw new ArgumentError(message ?? 'Wrong arguments.', error);
    });
  try {
    await parser.parseAsync([...args], {}, (_, __, text) => {
      if (text !== '') output.writeOut(`${text}\n`);
    });
  } catch (error) {
    const isArgumentError = error instanceof ArgumentError;
    const message = error instanceof Error ? error.message : String(error);
    output.writeError(`${message}\n${isArgumentError ? 'See mulberryweir --help.\n' : ''}`);
    output.setExitCode(EXIT_CODES[isArgumentError ? 'wrong-arguments' : 'failure']);
  }
}

class ArgumentError extends Error {
  constructor(message: string, cause: Error | undefined) {
    super(message, { cause });
  }
}
