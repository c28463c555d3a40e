/** @module Answers of faulty servers whose status line has no valid status, at the HTTP client. */
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { HttpClient } from '../src/index.js';

const HOST = '127.0.0.1';

/** Status lines after the version. */
const INVALID = [
  ...['000 None', '0', '001 Low', '099 Low', '100 Continue', '199 Last', '600 First', '999 High'],
  ...['20 OK', '2000 OK', '', '-200 OK', '+200 OK', 'OK', '2x0 OK'],
];

const FRAMINGS = [
  'Content-Length: 2\r\n\r\n{}',
  'Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n',
  'Connection: close\r\n\r\n{}',
];

/** Calls a server that answers with these bytes; returns the text, or undefined when the call fails. */
const call = async (answer: string): Promise<string | undefined> => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => socket.end(answer));
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const client = HttpClient.create({ address: `${HOST}:${port}` });
  try {
    return (await client.call({ method: 'GET', path: '/', timeoutMs: 5_000 })).text;
  } catch {
    return undefined;
  } finally {
    client.close();
    server.close();
  }
};

// Guards against an order or a report that counts although its answer has no status.
FRAMINGS.forEach((framing, index) => {
  test(`an answer without a valid status fails the call, framing ${index + 1}`, async () => {
    const texts = await Promise.all(
      INVALID.map((status) => call(`HTTP/1.1 ${status}\r\n${framing}`)),
    );
    expect(texts).toEqual(INVALID.map(() => undefined));
    expect(await call(`HTTP/1.1 200 OK\r\n${framing}`)).toEqual('{}');
  });
});
