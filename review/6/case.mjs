// A runner fails a part of the bookings that it has run with 503, without saying that they have not run.
import { fileURLToPath } from 'node:url';
import { HAS_TROUBLE, runCase, wait } from '../standins-3/case.mjs';
import { buildRequest, sendAlone } from '../standins-3/client.mjs';
import { buildAnswer, buildEntry, startRunner } from '../standins-3/runner.mjs';

const SERVICE = 'counter';
const RUNNER_COUNT = 4;
const SLOTS = 6;
const WORK_MS = 21;

/** As `booking` on the sheet: 14.1 requests a second, a deadline of 1,500 ms and one retry of the client. */
const INTERVAL_MS = 71;
const REQUEST_COUNT = 200;
const DEADLINE_MS = 1500;
const MAX_TRIES = 2;

/** As `srv_grey` in the site file: one of the four runners fails 45 in 100 of its requests for 6.5 s. */
const GREY_FROM_MS = 3000;
const GREY_FOR_MS = 6500;
const FAILED_SHARE = 0.45;

/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'booking',
      host: 'routes.example',
      prefix: '/booking/',
      kind: 'unsafe',
      service: SERVICE,
      timeoutMs: 800,
      targetLatencyMs: 100,
      priority: 2,
      maxAttempts: 1,
    },
  ],
  services: [{ name: SERVICE, healthPath: '/health', maxConnections: 100 }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'society', apiKeys: ['key-1'] }],
};

/** Ids of the client attempts that a runner has run, and how often each booking was made. */
const ranIds = new Set();
const bookings = new Map();
let greyFrom = Infinity;

async function prepare({ record, runners, store }) {
  store.put('op/config', CONFIGURATION);
  for (let index = 0; index < RUNNER_COUNT; index += 1) {
    let greyCount = 0;
    const runner = await startRunner(`counter-${index}`, async (request, socket) => {
      const booking = request.path.split('/').at(-1);
      ranIds.add(request.id);
      bookings.set(booking, (bookings.get(booking) ?? 0) + 1);
      record.add('run', `${request.id} booking ${booking} at counter-${index}`);
      await wait(WORK_MS);
      const isGrey = index === 0 && record.now >= greyFrom && record.now < greyFrom + GREY_FOR_MS;
      greyCount += isGrey ? FAILED_SHARE : 0;
      const isFailed = isGrey && greyCount >= 1;
      if (isFailed) greyCount -= 1;
      const status = isFailed ? '503 Service Unavailable' : '200 OK';
      const body = isFailed ? 'the confirmation could not be stored' : 'booked';
      const stamp = { 'Response-Stamp': `stamp.${request.id}` };
      socket.write(buildAnswer(request, body, stamp, status));
    });
    runners.push(runner);
    store.put(`servers/${runner.id}`, buildEntry(runner, SERVICE, { slots: SLOTS }));
  }
}

async function makeBooking(number, machines, record, broken) {
  const startedAt = record.now;
  for (let attempt = 1; attempt <= MAX_TRIES; attempt += 1) {
    const leftMs = Math.floor(DEADLINE_MS - (record.now - startedAt));
    if (leftMs <= 0) return;
    const id = `booking-${number}-${attempt}`;
    const { front, node } = machines[(number + attempt) % machines.length];
    record.add('sent', `${id} to ${node}`);
    const text = buildRequest({
      id,
      path: `/booking/${number}`,
      deadlineMs: leftMs,
      body: `{"n":${number}}`,
    });
    const { headers, status } = await sendAlone(front, text, leftMs);
    record.add('answered', `${id} status ${status} by ${headers['response-stamp'] ?? 'the system'}`);
    if (!PROMISES.has(status)) return;
    if (ranIds.has(id)) broken.push(`${id} was answered ${status} and has run.`);
    await wait(Math.min(Number(headers['retry-after'] ?? 0) * 1000, leftMs / 3));
  }
}

async function play({ machines, record }) {
  const broken = [];
  await wait(1000);
  const open = [];
  const startedAt = record.now;
  if (HAS_TROUBLE) greyFrom = startedAt + GREY_FROM_MS;
  for (let number = 1; number <= REQUEST_COUNT; number += 1) {
    open.push(makeBooking(number, machines, record, broken));
    await wait(Math.max(0, startedAt + number * INTERVAL_MS - record.now));
  }
  await Promise.all(open);
  const doubled = [...bookings].filter(([, count]) => count > 1);
  record.add('seen', `${doubled.length} bookings were made twice, as their clients trusted the promise`);
  return broken;
}

await runCase({
  file: fileURLToPath(new URL('record.txt', import.meta.url)),
  machineCount: 2,
  prepare,
  play,
});
