import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { readUsage } from '../bench/Processes.js';
import { toDisposable, type IDisposable } from '../src/common/Lifecycle.js';
import type { Millis } from '../src/common/Types.js';
import { waitFor } from '../src/standins/HttpTools.js';
import { formatTestSettings } from '../src/standins/platform/RouterSettings.js';
import { LinkProxy } from './LinkProxy.js';
import type { SoakBoard } from './SoakBoard.js';
import type { ILinkCut } from './Types.js';

/** The router program as it is deployed. */
const ROUTER_SCRIPT_PATH = fileURLToPath(new URL('../router/RouterMain.cjs', import.meta.url));
/** Modules that are loaded into a router process before the program. */
const FAULT_SCRIPT_URLS = ['./ClockStep.js', './LinkCut.js'].map(
  (path) => new URL(path, import.meta.url).href,
);

/** Time that a stopping router has before it is killed, as in the platform's deployments. */
export const STOP_TIMEOUT_MS: Millis = 8000;

/** Delay before a process that has exited is started again. */
const RESTART_DELAY_MS = 400;

/** Interval of the readiness polls. A router without a 200 in two polls in a row counts as not ready. */
const READY_POLL_MS = 500;
const READY_POLL_TIMEOUT_MS = 400;
const FAILED_POLLS_UNTIL_NOT_READY = 2;

/** Memory of the smallest machine in the platform's deployments. */
const MAX_RESIDENT_BYTES = 250e6;

/** Ports of every router; each router has its own loopback address. */
const PORTS = { front: 7000, ready: 7001, metrics: 7002, peers: 7003 };

/** Options of a fleet of routers. */
export interface IRouterFleetOptions {
  board: SoakBoard;
  count: number;
  /** Folder for the routers' settings and logs. */
  folder: string;
  storePort: number;
}

interface IRouterProcess {
  id: string;
  /**
   * Loopback address of this router: a free port found in advance may be taken before the process binds it.
   */
  ip: string;
  /** Proxy between the router and its callers. */
  callers: LinkProxy;
  /** Proxy between the router and the store. */
  store: LinkProxy;
  retryShare: number;
  /** Cut of its link to the runners, which also applies to the next process. */
  linkCut: ILinkCut | undefined;
  child: ChildProcess | undefined;
  /** Whether SIGTERM or SIGKILL was sent to the running process, so that its exit is no finding. */
  isExitExpected: boolean;
  failedPolls: number;
  /** Whether the running process has answered a readiness poll. */
  hasReplied: boolean;
}

/**
 * Supervisor of the router processes: starts them, restarts them when they exit, and polls their readiness.
 */
export class RouterFleet {
  private readonly _routers = new Map<string, IRouterProcess>();
  private _isClosed = false;

  private constructor(private readonly _options: IRouterFleetOptions) {}

  /** Starts the processes of all routers; resolves before they are ready. */
  public static async start(options: IRouterFleetOptions): Promise<RouterFleet> {
    const fleet = new RouterFleet(options);
    for (let index = 0; index < options.count; index += 1) await fleet._addRouter(index);
    for (const router of fleet._routers.values()) fleet._startProcess(router);
    void fleet._pollRouters();
    return fleet;
  }

  /** Lists the ids of all routers. */
  public get ids(): readonly string[] {
    return [...this._routers.keys()];
  }

  /** Returns the proxy between a router and its callers, or between the router and the store. */
  public getProxy(id: string, side: 'callers' | 'store'): LinkProxy {
    return this._getRouter(id)[side];
  }

  /** Cuts the link of a router to the runners until the result is disposed. */
  public stopLink(id: string, cut: ILinkCut): IDisposable {
    const router = this._getRouter(id);
    const setCut = (linkCut: ILinkCut | undefined): void => {
      router.linkCut = linkCut;
      if (router.child) sendLinkCut(router.child, linkCut);
    };
    setCut(cut);
    return toDisposable(() => {
      setCut(undefined);
    });
  }

  /** Sends a signal to the running process of a router. */
  public sendSignal(id: string, signal: NodeJS.Signals): void {
    const router = this._getRouter(id);
    if (signal === 'SIGKILL' || signal === 'SIGTERM') router.isExitExpected = true;
    router.child?.kill(signal);
  }

  /** Sends SIGTERM, and SIGKILL after `STOP_TIMEOUT_MS`; resolves when the next process was started. */
  public async stopAndWaitForRestart(id: string): Promise<void> {
    const { child } = this._getRouter(id);
    const timer = setTimeout(() => child?.kill('SIGKILL'), STOP_TIMEOUT_MS);
    await this.endAndWaitForRestart(id, () => {
      this.sendSignal(id, 'SIGTERM');
    });
    clearTimeout(timer);
  }

  /** Calls `end` to end the process of a router; resolves when its next process was started. */
  public async endAndWaitForRestart(id: string, end: () => void): Promise<void> {
    const { routers } = this._options.board;
    const previousIncarnation = routers.get(id)?.incarnation;
    await new Promise<void>((resolve) => {
      const subscription = routers.onChange(({ key, after }) => {
        if (key !== id || after?.incarnation === previousIncarnation) return;
        subscription.dispose();
        resolve();
      });
      end();
    });
  }

  /** Changes `retry_share` in the settings file, and sends SIGHUP for the router to reload it. */
  public updateSettings(id: string): void {
    const router = this._getRouter(id);
    router.retryShare = router.retryShare === 0.9 ? 0.8 : 0.9;
    this._writeSettings(router);
    this.sendSignalIfStarted(id, 'SIGHUP');
  }

  /**
   * Sends a signal once the process has answered a readiness poll. A process that has not yet installed its
   * handler for the signal would be ended by it.
   */
  public sendSignalIfStarted(id: string, signal: NodeJS.Signals): void {
    if (this._getRouter(id).hasReplied) this.sendSignal(id, signal);
  }

  /**
   * Kills all processes, and checks their logs for unhandled errors and failed controllers. Resolves once the processes
   * have ended, because the routers of the next soak use the same ports.
   */
  public async close(): Promise<void> {
    this._isClosed = true;
    await Promise.all(
      [...this._routers.values()].flatMap(({ child }) => (child ? [killAndWait(child)] : [])),
    );
    for (const router of this._routers.values()) {
      router.callers.close();
      router.store.close();
      this._checkLog(router.id);
    }
  }

  private _getRouter(id: string): IRouterProcess {
    const router = this._routers.get(id);
    if (!router) throw new Error(`Unknown router id ${id}.`);
    return router;
  }

  private async _addRouter(index: number): Promise<void> {
    const { board, storePort } = this._options;
    const id = `router-${index}`;
    const ip = formatLoopback(index);
    const callers = await LinkProxy.start(PORTS.front, ip);
    const store = await LinkProxy.start(storePort);
    const state = {
      retryShare: 0.9,
      linkCut: undefined,
      child: undefined,
      isExitExpected: false,
      failedPolls: 0,
      hasReplied: false,
    };
    const router: IRouterProcess = { id, ip, callers, store, ...state };
    this._routers.set(id, router);
    this._writeSettings(router);
    const observed = { observedVersion: 0, observedAt: 0 };
    board.routers.set(id, { id, address: callers.address, state: 'starting', incarnation: 0, ...observed });
  }

  private _writeSettings({ id, ip, retryShare, store }: IRouterProcess): void {
    const settings = { id, ip, ports: PORTS, store: store.address, retryShare, stopMs: STOP_TIMEOUT_MS };
    writeFileSync(this._locateFile(id, 'ini'), formatTestSettings(settings));
  }

  private _startProcess(router: IRouterProcess): void {
    if (this._isClosed) return;
    const { board } = this._options;
    const logFile = openSync(this._locateFile(router.id, 'log'), 'a');
    const child = spawn(
      process.execPath,
      [
        ...FAULT_SCRIPT_URLS.flatMap((url) => ['--import', url]),
        ROUTER_SCRIPT_PATH,
        this._locateFile(router.id, 'ini'),
      ],
      { stdio: ['ignore', logFile, logFile, 'ipc'] },
    );
    closeSync(logFile);
    router.child = child;
    if (router.linkCut) sendLinkCut(child, router.linkCut);
    router.isExitExpected = false;
    router.hasReplied = false;
    const incarnation = (board.routers.get(router.id)?.incarnation ?? 0) + 1;
    board.routers.update(router.id, { state: 'starting', incarnation, observedVersion: 0 });
    child.once('exit', (code, signal) => {
      this._handleExit(router, code, signal);
    });
  }

  private _handleExit(router: IRouterProcess, code: number | null, signal: NodeJS.Signals | null): void {
    if (this._isClosed) return;
    const { board } = this._options;
    router.hasReplied = false;
    board.routers.update(router.id, { state: 'down' });
    if (!router.isExitExpected) {
      board.addFinding('process-health', `${router.id} exited unexpectedly with ${String(signal ?? code)}`);
    }
    void waitFor(RESTART_DELAY_MS).then(() => {
      this._startProcess(router);
    });
  }

  private async _pollRouters(): Promise<void> {
    while (!this._isClosed) {
      await Promise.all([...this._routers.values()].map((router) => this._pollRouter(router)));
      await waitFor(READY_POLL_MS);
    }
  }

  private async _pollRouter(router: IRouterProcess): Promise<void> {
    const { board } = this._options;
    const entry = board.routers.get(router.id);
    if (!entry || entry.state === 'down') return;
    const status = await fetchReadiness(router.ip);
    const current = board.routers.get(router.id);
    if (this._isClosed || current?.incarnation !== entry.incarnation || current.state === 'down') return;
    router.hasReplied ||= status !== undefined;
    router.failedPolls = status === 200 ? 0 : router.failedPolls + 1;
    if (status === 200) board.routers.update(router.id, { state: 'ready' });
    else if (router.failedPolls >= FAILED_POLLS_UNTIL_NOT_READY)
      board.routers.update(router.id, { state: 'not-ready' });
    this._checkMemory(router);
  }

  private _checkMemory({ child, id }: IRouterProcess): void {
    if (child?.pid === undefined || child.exitCode !== null || child.signalCode !== null) return;
    const { residentBytes } = readUsage(child.pid);
    if (residentBytes <= MAX_RESIDENT_BYTES) return;
    this._options.board.addFinding(
      'process-health',
      `${id} uses ${Math.round(residentBytes / 1e6)} MB of memory`,
    );
  }

  private _checkLog(id: string): void {
    const lines = readFileSync(this._locateFile(id, 'log'), 'utf8').split('\n');
    const unexpectedLine = lines.find(
      (line) => line !== '' && (!line.startsWith('{') || line.includes('controller.failed')),
    );
    if (unexpectedLine === undefined) return;
    this._options.board.addFinding(
      'process-health',
      `${id} logged an unexpected line: ${unexpectedLine.slice(0, 300)}`,
    );
  }

  private _locateFile(id: string, kind: 'ini' | 'log'): string {
    return join(this._options.folder, `${id}.${kind}`);
  }
}

async function killAndWait(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const exited = once(child, 'exit');
  child.kill('SIGKILL');
  await exited;
}

/** Tells a router process of the cut of its link, or that it has ended. A process that has ended takes no message. */
function sendLinkCut(child: ChildProcess, cut: ILinkCut | undefined): void {
  if (child.connected) child.send({ cut }, () => undefined);
}

/**
 * Formats the loopback address of a router. It depends on the process id, so that soaks which run at the same
 * time on one machine use different addresses.
 */
function formatLoopback(index: number): string {
  return `127.${1 + ((process.pid >> 8) % 254)}.${process.pid % 256}.${index + 1}`;
}

async function fetchReadiness(ip: string): Promise<number | undefined> {
  try {
    const signal = AbortSignal.timeout(READY_POLL_TIMEOUT_MS);
    const reply = await fetch(`http://${ip}:${PORTS.ready}/-/ready`, { signal });
    await reply.arrayBuffer();
    return reply.status;
  } catch {
    // A router that is down or paused counts as not ready.
    return undefined;
  }
}
