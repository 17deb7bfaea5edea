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
  /** The first line that the process printed, decoded. */
  listening: unknown;
  signal: (name: NodeJS.Signals) => void;
  /** Sends SIGTERM and waits for the end; SIGKILL after a time limit. */
  stop: () => Promise<void>;
  waitForExit: () => Promise<void>;
  readUsage: () => IUsage;
}

/** Options of a started process. */
export interface IProcessOptions {
  /** File for standard error. */
  log: string;
  nodeOptions?: readonly string[];
  startTimeoutMs?: number;
}

/** Length of a tick in /proc/PID/stat. */
const TICK_MS = 10;
const STOP_TIMEOUT_MS = 15_000;
const running = new Set<ChildProcess>();

process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

// Without an exit of its own a stopped bench would leave its processes behind.
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => {
    process.exit(1);
  });
}

/** Starts a Node.js script and waits for its first line, one JSON object. */
export async function startProcess(
  script: string,
  args: readonly string[],
  options: IProcessOptions,
): Promise<IProcess> {
  const child = spawn(process.execPath, [...(options.nodeOptions ?? []), script, ...args], {
    stdio: ['ignore', 'pipe', openSync(options.log, 'a')],
  });
  running.add(child);
  const exited = new Promise<void>((resolve) => {
    child.once('exit', () => {
      running.delete(child);
      resolve();
    });
  });
  const listening = await readFirstLine(child, exited, options.startTimeoutMs ?? 20_000);
  const pid = child.pid ?? 0;
  return {
    pid,
    listening,
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
    const fail = (): void => {
      reject(new Error(`The process ${child.spawnargs.join(' ')} did not start.`));
    };
    const timer = setTimeout(fail, timeoutMs);
    void exited.then(fail);
    if (!child.stdout) throw new Error('The process has no standard output.');
    createInterface(child.stdout).once('line', (line) => {
      clearTimeout(timer);
      resolve(JSON.parse(line));
    });
  });
}

async function stopProcess(child: ChildProcess, exited: Promise<void>): Promise<void> {
  if (!running.has(child)) return;
  child.kill('SIGTERM');
  const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS);
  await exited;
  clearTimeout(timer);
}

/** Reads processor time and resident memory from /proc. */
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
