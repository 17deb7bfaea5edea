import { runRouterProcess } from './RouterProcess.js';

// Loads only what the router needs. The command line, with all of its commands, takes three times as long.
void runRouterProcess(process.argv[2] ?? process.env.MULBERRYWEIR_CONFIG ?? '');
