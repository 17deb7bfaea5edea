import type { ChildProcess } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';
import { connect, type Socket } from 'node:net';
import type { Millis } from '../../common/Types.js';
import { waitFor } from '../HttpTools.js';
import { sendCall } from './CallSender.js';
import { startRouterProcess, type IProcessOptions } from './RouterProcessRig.js';
import type { AnswerRunnerCall } from './ScriptedRunner.js';

/** Callers that behave badly all in the same way. */
export interface ICrowd {
  connections: number;
  /** Lists what a connection sends, in order. */
  listPieces: (connection: number) => Iterable<Buffer | string>;
  /** Whether the callers read what they get. Default: they do not. */
  isReading?: boolean;
  /** Whether the connections stay open during the ordinary request afterwards. Default: they are closed before. */
  staysOpen?: boolean;
  /** Whether a caller whose connection is closed opens another one, and sends again. Default: it does not. */
  comesBack?: boolean;
  /** How the endpoints answer. Default: a short answer. */
  answer?: AnswerRunnerCall;
}

/** What a crowd did to the process of a router. */
export interface ICrowdOutcome {
  isAlive: boolean;
  isWithinMemory: boolean;
  isWithinDescriptors: boolean;
  /** Status of an ordinary request after the crowd. */
  ordinaryStatus: number;
}

/** The outcome, and what was measured. */
export interface ICrowdRun {
  outcome: ICrowdOutcome;
  measured: { peakMb: number; descriptors: number; signal: string | null; closedConnections: number };
}

/** A host with the least memory of the deployments, a heap that leaves room for buffers, and few descriptors. */
export const CROWD_HOST: Required<IProcessOptions> = { heapMb: 96, memoryMb: 210, maxFds: 300, slots: 64 };

const BYTES_PER_MB = 1_000_000;
const BYTES_PER_KB = 1024;
const STOP_MS: Millis = 1500;
const SAMPLE_MS: Millis = 50;

/** Time for the crowd to send. A router that stops reading makes some callers wait, so not all need be done. */
const SENDING_MS: Millis = 6000;

/** Time for which the crowd then keeps its connections open. */
const HOLDING_MS: Millis = 1500;

/** Time after which a caller that comes back connects again. */
const COMEBACK_MS: Millis = 50;

/** Time in which an ordinary request has to be answered, and how often it is tried. A refused caller tries again. */
const ORDINARY_TRIES = 40;
const ORDINARY_RETRY_MS: Millis = 250;
const ORDINARY_TIMEOUT_MS: Millis = 5000;

const ORDINARY_HEADERS = {
  host: 'a.example',
  'attempt-id': 'ordinary',
  'deadline-ms': '4000',
  authorization: 'Token key-north',
};

/**
 * Starts a router process, sends it a crowd and then one ordinary request. The bounds are the memory and descriptors in
 * the settings of the host.
 * @example
 * const { outcome } = await runCrowd({ connections: 60, listPieces: () => [HEAD, BODY] });
 */
export async function runCrowd(crowd: ICrowd): Promise<ICrowdRun> {
  const answer = crowd.answer ?? replyShortly;
  const router = await startRouterProcess(answer, STOP_MS, 'bundle', CROWD_HOST);
  try {
    const watch = watchProcess(router.child);
    const callers = Array.from({ length: crowd.connections }, (_, index) =>
      openCaller(router.address, crowd, index),
    );
    await Promise.race([Promise.all(callers.map(({ hasSent }) => hasSent)), waitFor(SENDING_MS)]);
    await waitFor(HOLDING_MS);
    const closedConnections = callers.filter(({ hasClosed }) => hasClosed()).length;
    const closeAll = (): void => {
      for (const { leave } of callers) leave();
    };
    if (crowd.staysOpen !== true) closeAll();
    const ordinaryStatus = await sendOrdinaryRequest(router.address);
    closeAll();
    const { descriptors, peakMb } = watch.stop();
    const { exitCode, signalCode } = router.child;
    const outcome = {
      isAlive: exitCode === null && signalCode === null,
      isWithinMemory: peakMb <= CROWD_HOST.memoryMb,
      isWithinDescriptors: descriptors <= CROWD_HOST.maxFds,
      ordinaryStatus,
    };
    return { outcome, measured: { peakMb, descriptors, signal: signalCode, closedConnections } };
  } finally {
    await router.close();
  }
}

/** A caller of a crowd. */
interface ICrowdCaller {
  /** Resolves once the first connection has sent everything or is closed. */
  hasSent: Promise<void>;
  /** Tells whether a connection of the caller was closed. */
  hasClosed: () => boolean;
  leave: () => void;
}

function openCaller(address: string, crowd: ICrowd, index: number): ICrowdCaller {
  const { comesBack = false, isReading = false, listPieces } = crowd;
  const [host, port] = address.split(':');
  let hasLeft = false;
  let hasClosed = false;
  const openConnection = (): Socket => {
    const opened = connect(Number(port), host);
    opened.on('error', () => undefined);
    if (isReading) opened.resume();
    else opened.pause();
    opened.once('close', () => {
      hasClosed ||= !hasLeft;
      if (!comesBack || hasLeft) return;
      setTimeout(() => {
        if (hasLeft) return;
        socket = openConnection();
        void sendPieces(socket, listPieces(index));
      }, COMEBACK_MS);
    });
    return opened;
  };
  let socket = openConnection();
  return {
    hasSent: sendPieces(socket, listPieces(index)),
    hasClosed: () => hasClosed,
    leave: () => {
      hasLeft = true;
      socket.destroy();
    },
  };
}

/** Sends as fast as the router reads. Resolves once everything is handed to the system or the connection is closed. */
async function sendPieces(socket: Socket, pieces: Iterable<Buffer | string>): Promise<void> {
  for (const piece of pieces) {
    if (socket.destroyed) return;
    if (!socket.write(piece)) await waitForDrain(socket);
  }
}

function waitForDrain(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      socket.off('drain', finish);
      socket.off('close', finish);
      resolve();
    };
    socket.on('drain', finish);
    socket.on('close', finish);
  });
}

/** Watches the resident memory and the descriptors of a process. What it had last counts if it ends. */
function watchProcess({ pid = 0 }: ChildProcess): { stop: () => { peakMb: number; descriptors: number } } {
  let peakMb = 0;
  let descriptors = 0;
  const sample = (): void => {
    try {
      const status = readFileSync(`/proc/${pid}/status`, 'utf8');
      const peakKb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
      peakMb = Math.max(peakMb, Math.round((peakKb * BYTES_PER_KB) / BYTES_PER_MB));
      descriptors = Math.max(descriptors, readdirSync(`/proc/${pid}/fd`).length);
    } catch {
      // The process has ended.
    }
  };
  const timer = setInterval(sample, SAMPLE_MS);
  return {
    stop: () => {
      clearInterval(timer);
      sample();
      return { peakMb, descriptors };
    },
  };
}

/** Sends a request, and again while it is refused. Returns the last status, 0 without any. */
async function sendOrdinaryRequest(address: string): Promise<number> {
  let status = 0;
  for (let tries = 0; tries < ORDINARY_TRIES && status !== 200; tries += 1) {
    if (tries > 0) await waitFor(ORDINARY_RETRY_MS);
    const call = sendCall({ address, path: '/look/ordinary', headers: ORDINARY_HEADERS, method: 'GET' });
    const timer = setTimeout(call.disconnect, ORDINARY_TIMEOUT_MS);
    ({ status } = await call.result);
    clearTimeout(timer);
    // A process that hangs would be asked for minutes.
    if (status === 0 && tries >= ORDINARY_TRIES / 8) break;
  }
  return status;
}

const replyShortly: AnswerRunnerCall = ({ headers }, response) => {
  response.writeHead(200, {
    'attempt-id': headers['attempt-id']?.toString() ?? '',
    'response-stamp': 'signed',
    'content-length': 2,
  });
  response.end('ok');
};
