import { Agent, request as sendRequest } from 'node:http';

/** Creates a client that keeps one connection. */
export function createClient(address) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const [host, port] = address.split(':');
  return {
    close: () => agent.destroy(),
    /**
     * Sends a request. Resolves to the status and the body of the answer, or to the error that ended the connection.
     * `abort` of the returned call closes the connection.
     */
    send: ({ path, method = 'POST', headers = {}, body }) => {
      let abort = () => undefined;
      const result = new Promise((resolve) => {
        const length = body === undefined ? {} : { 'Content-Length': body.length };
        const call = sendRequest(
          { host, port, agent, method, path, headers: { ...headers, ...length } },
          (response) => {
            const chunks = [];
            const events = [];
            response.on('data', (chunk) => {
              chunks.push(chunk);
              events.push(Date.now());
            });
            response.once('end', () =>
              resolve({
                status: response.statusCode,
                headers: response.headers,
                body: Buffer.concat(chunks).toString(),
                isWhole: response.complete,
              }),
            );
            response.once('error', (error) =>
              resolve({
                status: response.statusCode,
                headers: response.headers,
                error: error.code ?? error.message,
                body: Buffer.concat(chunks).toString(),
                isWhole: false,
              }),
            );
          },
        );
        abort = () => call.destroy();
        call.once('error', (error) => resolve({ error: error.code ?? error.message, isWhole: false }));
        call.end(body);
      });
      return { result, abort };
    },
  };
}
