import type { CommandModule } from 'yargs';
import { runRouterProcess } from '../../daemons/RouterProcess.js';

interface IRouterArguments {
  settings: string;
}

/** Environment variable in which the platform passes the path of the settings file. */
const SETTINGS_PATH_VARIABLE = 'MULBERRYWEIR_CONFIG';

/** `mulberryweir router`: runs a router on the users' platform until SIGTERM or SIGINT. */
export const routerCommand: CommandModule<object, IRouterArguments> = {
  command: 'router',
  describe: "Run a router on the users' platform",
  builder: (parser) =>
    parser
      .option('settings', {
        type: 'string',
        default: process.env[SETTINGS_PATH_VARIABLE] ?? '',
        defaultDescription: `$${SETTINGS_PATH_VARIABLE}`,
        describe: 'INI file with the settings',
      })
      .example('$0 router --settings router.ini', 'Run a router with the settings of router.ini'),
  handler: ({ settings }) => runRouterProcess(settings),
};
