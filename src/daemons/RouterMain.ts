import { runRouterProcess } from './RouterProcess.js';

// Imports only the modules that the router needs. Loading the command line with all its commands takes three
// times as long.
void runRouterProcess(process.argv[2] ?? process.env.MULBERRYWEIR_CONFIG ?? '');
