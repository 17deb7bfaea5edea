// Starts router processes with the command and the settings template of the deploy file.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const READY_CHECK_MS = 50;
const MAX_READY_CHECKS = 300;

const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Ports are taken from below those that the system gives to connections. */
const FIRST_PORT = 12_000;
const LAST_PORT = 30_000;

function canListen(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

async function findFreePort() {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (await canListen(port)) return port;
  }
}

/** Reads the command and the template of the role `router`. */
function readRole() {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const role = text.slice(text.indexOf('[roles.router]'));
  const read = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(role)?.[1] ?? '';
  return { command: read('run').split(' '), template: readFileSync(read('template'), 'utf8') };
}

function render(template, fields) {
  return template.replace(/\{\{([\w.]+)\}\}/g, (_, path) => {
    const value = path.split('.').reduce((part, name) => part?.[name], fields);
    return value === undefined ? '' : String(value);
  });
}

/** Settings of a machine of the small deployments, on loopback addresses. */
function describeMachine(node, zone, ports, store) {
  return {
    node,
    zone,
    ip: '127.0.0.1',
    listen: { front: `127.0.0.1:${ports.front}`, ready: `127.0.0.1:${ports.ready}` },
    internalPorts: [ports.metrics, ports.peers],
    limits: { memoryMb: 350, maxFds: 4100, linkMbps: 1000 },
    bounds: {
      contactMs: 3000,
      graceS: 8,
      configApplyMs: 2000,
      retryBudgetRatio: 0.9,
      exposeShare: 0.15,
      exposeSlack: 30,
      sessionS: 5,
    },
    platform: { address: store.address },
  };
}

/** A machine of the system. `start` starts its process; `stopProcess` sends a signal and waits for its end. */
class Machine {
  exits = [];

  constructor(node, ports, command, file) {
    Object.assign(this, { node, ports, front: ports.front });
    this._launch = { command, file };
  }

  start() {
    const { command, file } = this._launch;
    const [program, ...words] = command;
    const { HOME, LANG, PATH } = process.env;
    this.child = spawn(program === 'node' ? process.execPath : program, words, {
      env: { PATH, HOME, ...(LANG ? { LANG } : {}), MULBERRYWEIR_CONFIG: file },
      stdio: ['ignore', 'ignore', 'ignore'],
    });
    this.ended = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        this.exits.push({ code, signal });
        resolve();
      });
    });
  }

  get isRunning() {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
  }

  async stopProcess(signal) {
    if (!this.isRunning) return;
    this.child.kill(signal);
    await this.ended;
  }

  /** Asks for readiness as the platform does. */
  isReady() {
    return new Promise((resolve) => {
      const call = request(
        { host: '127.0.0.1', port: this.ports.ready, path: '/-/ready', agent: false, timeout: 900 },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      call.on('timeout', () => call.destroy());
      call.on('error', () => resolve(false));
      call.end();
    });
  }

  async waitUntilReady() {
    for (let checks = 0; checks < MAX_READY_CHECKS; checks += 1) {
      if (await this.isReady()) return;
      await wait(READY_CHECK_MS);
    }
    throw new Error(`${this.node} was not ready in time.`);
  }
}

/** Starts the machines of a small deployment, one router process each, and waits until they are ready. */
export async function startMachines(count, store) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const { command, template } = readRole();
  const machines = [];
  for (let index = 0; index < count; index += 1) {
    const node = `front-${index + 1}`;
    const zone = index % 2 === 0 ? 'zone-a' : 'zone-b';
    const ports = {
      front: await findFreePort(),
      ready: await findFreePort(),
      metrics: await findFreePort(),
      peers: await findFreePort(),
    };
    const file = join(folder, `${node}.ini`);
    writeFileSync(file, render(template, describeMachine(node, zone, ports, store)));
    const machine = new Machine(node, ports, command, file);
    machine.start();
    machines.push(machine);
  }
  const close = async () => {
    for (const machine of machines) await machine.stopProcess('SIGKILL');
    rmSync(folder, { recursive: true, force: true });
  };
  try {
    for (const machine of machines) await machine.waitUntilReady();
  } catch (error) {
    await close();
    throw error;
  }
  return { machines, close };
}
