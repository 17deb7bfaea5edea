import { createServer } from 'node:net';

/** Lets a server listen on a free loopback port. Resolves to its `ip:port`. */
export function listen(server, ip = '127.0.0.1', port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host: ip, port, backlog: 511 }, () => resolve(`${ip}:${server.address().port}`));
  });
}

/** Finds a port that nothing listens on. */
export async function findFreePort(ip = '127.0.0.1') {
  const server = createServer();
  const address = await listen(server, ip);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return Number(address.split(':')[1]);
}

export function readBody(request) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.once('end', () => resolve(Buffer.concat(chunks)));
    request.once('error', reject);
    request.once('close', () => reject(new Error('The request was cut.')));
  });
}

export function sendJson(response, status, value) {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

export function wait(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
