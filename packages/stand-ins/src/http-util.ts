/** @module HTTP helpers shared by the stand-ins. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/**
 * Starts a server on loopback; resolves with its port number.
 *
 * @example
 * const port = await listen(server, 0);
 */
export const listen = (server: Server, port: number): Promise<number> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => {
      server.off('error', reject);
      resolve((server.address() as AddressInfo).port);
    });
  });

/**
 * Reads a request's body as UTF-8 text.
 *
 * @example
 * readBody(request, (body) => respond(body));
 */
export const readBody = (request: IncomingMessage, onBody: (body: string) => void): void => {
  const parts: Buffer[] = [];
  request.on('data', (part: Buffer) => parts.push(part));
  request.on('end', () => onBody(Buffer.concat(parts).toString('utf8')));
};

/**
 * Ends a response with a JSON body.
 *
 * @example
 * respondJson(response, 200, { isCold: false });
 */
export const respondJson = (response: ServerResponse, status: number, value: object): void => {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
};
