import { spawn } from 'node:child_process';
import { createServer, connect } from 'node:net';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** Bounds of the small deployments, as the settings that DEPLOY.md shows. */
const BOUNDS = {
  graceS: 8,
  retryBudgetRatio: 0.9,
  sessionS: 5,
  exposeShare: 0.15,
  exposeSlack: 30,
  contactMs: 3000,
  configApplyMs: 2000,
};

const READY_TIMEOUT_MS = 20_000;

/** Finds ports of a loopback address that are free now. */
export async function findFreePorts(count, ip = '127.0.0.1') {
  const servers = Array.from({ length: count }, () => createServer());
  for (const server of servers) await new Promise((resolve) => server.listen(0, ip, resolve));
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) await new Promise((resolve) => server.close(resolve));
  return ports;
}

/** Fills in the template of the role's settings, as the platform does. */
function renderSettings(template, fields) {
  return template.replace(/\{\{([\w.]+)\}\}/g, (_match, path) =>
    String(path.split('.').reduce((value, name) => value?.[name], fields) ?? ''),
  );
}

/** Reads the command and the template of the role `router` from the deploy file. */
function readRole() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const readValue = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)[1];
  return {
    run: readValue('run').split(' '),
    template: readFileSync(join(ROOT, readValue('template')), 'utf8'),
  };
}

/** A router process of the deploy file, with settings like those of a small deployment. */
export class Router {
  constructor({ folder, ip = '127.0.0.1', name, store, bounds = {}, onExit = () => undefined }) {
    Object.assign(this, { folder, ip, name, store, onExit, exits: [], lines: [] });
    this._bounds = { ...BOUNDS, ...bounds };
  }

  async start() {
    if (!this.ports) this.ports = await findFreePorts(4, this.ip);
    const [front, ready, metrics, peers] = this.ports;
    const { run, template } = readRole();
    const file = join(this.folder, `${this.name}.ini`);
    const fields = {
      node: this.name,
      zone: 'zone-a',
      ip: this.ip,
      listen: { front: `${this.ip}:${front}`, ready: `${this.ip}:${ready}` },
      internalPorts: [metrics, peers],
      platform: { address: this.store },
      bounds: this._bounds,
    };
    writeFileSync(file, renderSettings(template, fields));
    this.address = { host: this.ip, port: front };
    const { HOME, LANG, PATH } = process.env;
    const [program, ...args] = run;
    this.isStopping = false;
    this.child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, MULBERRYWEIR_CONFIG: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child.stdout.on('data', (bytes) => this.lines.push(...String(bytes).split('\n').filter(Boolean)));
    this.child.stderr.on('data', (bytes) => this.lines.push(...String(bytes).split('\n').filter(Boolean)));
    const { child } = this;
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.exits.push({ code, signal });
        this.onExit(this, code, signal);
        resolve({ code, signal });
      });
    });
    await this._waitUntilReady();
    return this;
  }

  /** Asks for readiness, as the platform does. */
  async isReady() {
    const status = await new Promise((resolve) => {
      const socket = connect(this.ports[1], this.ip);
      let text = '';
      socket.on('data', (bytes) => (text += bytes));
      socket.on('error', () => resolve(0));
      socket.on('close', () => resolve(Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0)));
      socket.setTimeout(1000, () => socket.destroy());
      socket.write('GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n');
    });
    return status === 200;
  }

  async _waitUntilReady() {
    const until = Date.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (Date.now() > until) throw new Error(`${this.name} is not ready: ${this.lines.slice(-3).join(' ')}`);
      await new Promise((resolve) => setTimeout(resolve, 30));
    }
  }

  /** Reads the metrics page of the process. */
  async readMetrics() {
    const response = await fetch(`http://${this.ip}:${this.ports[2]}/metrics`);
    return response.text();
  }

  /** Sends a signal to the process. */
  signal(name) {
    this.child.kill(name);
  }

  /** Ends the process at once. */
  async kill() {
    if (!this.child || this.child.exitCode !== null || this.child.signalCode !== null) return;
    this.child.kill('SIGKILL');
    await this.exited;
  }
}
