import { connect } from 'node:net';
import type { CheckRun, RunCheckResult } from '../common/request/Types.js';
import type { Millis } from '../common/Types.js';

const CONNECT_TIMEOUT_MS: Millis = 400;
const DEFAULT_HTTP_PORT = 80;

/**
 * Asks an endpoint that cannot be asked about a run whether it still accepts connections. A process that has died does
 * not; one that does may know nothing of the run.
 * @example
 * const check = await checkReachable(call, 0); // 'unreachable', 'unanswered' or 'unknown'
 */
export const checkReachable: CheckRun = ({ endpoint }) =>
  new Promise((resolve) => {
    const { hostname, port } = new URL(endpoint.address);
    // The host name of a URL has brackets around an IPv6 address, and the default port is left out.
    const host = hostname.replace(/^\[|\]$/g, '');
    const socket = connect({
      host,
      port: port === '' ? DEFAULT_HTTP_PORT : Number(port),
      timeout: CONNECT_TIMEOUT_MS,
    });
    const end = (check: RunCheckResult): void => {
      socket.destroy();
      resolve(check);
    };
    socket.once('connect', () => {
      end('unknown');
    });
    socket.once('timeout', () => {
      end('unanswered');
    });
    socket.once('error', () => {
      end('unreachable');
    });
  });
