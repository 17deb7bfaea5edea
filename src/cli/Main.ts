#!/usr/bin/env node
import { hideBin } from 'yargs/helpers';
import { runCommandLine } from './CommandLine.js';
import { processOutput } from './CommandResult.js';

await runCommandLine(hideBin(process.argv), processOutput);
