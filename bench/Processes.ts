import { spawn, type ChildProcess } from 'node:child_process';
import { openSync, readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';

/** Processor time and memory of a process. */
export interface IUsage {
  cpuMs: number;
  residentBytes: number;
}

/** A started Node.js process. */
export interface IProcess {
  pid: number;
  /** The first line that the process printed, decoded from JSON. */
  startupMessage: unknown;
  signal: (name: NodeJS.Signals) => void;
  /** Sends SIGTERM, then SIGKILL after a time limit, and waits until the process has ended. */
  stop: () => Promise<void>;
  waitForExit: () => Promise<void>;
  readUsage: () => IUsage;
}

/** Options for starting a process. */
export interface IProcessOptions {
  /** File to which standard error is appended. */
  logFile: string;
  nodeOptions?: readonly string[];
  startTimeoutMs?: number;
}

/** Unit of the processor times in /proc/PID/stat. */
const TICK_MS = 10;
const STOP_TIMEOUT_MS = 15_000;
const runningChildren = new Set<ChildProcess>();

process.on('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});

// A signal ends the process without an `exit` event, so that the child processes would keep running.
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => {
    process.exit(1);
  });
}

/** Starts a Node.js script and waits for the first line that it prints, which is one JSON object. */
export async function startProcess(
  script: string,
  args: readonly string[],
  options: IProcessOptions,
): Promise<IProcess> {
  const child = spawn(process.execPath, [...(options.nodeOptions ?? []), script, ...args], {
    stdio: ['ignore', 'pipe', openSync(options.logFile, 'a')],
  });
  runningChildren.add(child);
  const exited = new Promise<void>((resolve) => {
    child.once('exit', () => {
      runningChildren.delete(child);
      resolve();
    });
  });
  const startupMessage = await readFirstLine(child, exited, options.startTimeoutMs ?? 20_000);
  const pid = child.pid ?? 0;
  return {
    pid,
    startupMessage,
    signal: (name) => {
      child.kill(name);
    },
    stop: () => stopProcess(child, exited),
    waitForExit: () => exited,
    readUsage: () => readUsage(pid),
  };
}

function readFirstLine(child: ChildProcess, exited: Promise<void>, timeoutMs: number): Promise<unknown> {
  return new Promise((resolve, reject) => {
    const rejectStart = (): void => {
      reject(
        new Error(`The process ${child.spawnargs.join(' ')} ended or did not print its first line in time.`),
      );
    };
    const timer = setTimeout(rejectStart, timeoutMs);
    void exited.then(rejectStart);
    if (!child.stdout) throw new Error('The process has no standard output.');
    createInterface(child.stdout).once('line', (line) => {
      clearTimeout(timer);
      resolve(JSON.parse(line));
    });
  });
}

async function stopProcess(child: ChildProcess, exited: Promise<void>): Promise<void> {
  if (!runningChildren.has(child)) return;
  child.kill('SIGTERM');
  const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS);
  await exited;
  clearTimeout(timer);
}

/** Reads the processor time and the resident memory of a process from /proc. */
export function readUsage(pid: number): IUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The name in parentheses may hold spaces; utime and stime are the 12th and 13th fields after it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const resident = /VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? '0';
  return {
    cpuMs: (Number(fields[11]) + Number(fields[12])) * TICK_MS,
    residentBytes: Number(resident) * 1024,
  };
}
