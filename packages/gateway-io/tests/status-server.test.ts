/** @module Clients of the listeners for health checks and metrics that keep to no limit. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import { LOOPBACK_HOST } from '@ebonysill/stand-ins';
import { StatusServer } from '../src/index.js';

const GET = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

type After = (fn: () => void) => void;

const freePort = async (): Promise<number> => {
  const server = createServer().listen(0, LOOPBACK_HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
};

const listen = async (after: After, bounds: object, body = 'ready'): Promise<number> => {
  const port = await freePort();
  const server = await StatusServer.create({
    listen: { host: LOOPBACK_HOST, port },
    answer: () => ({ status: 200, contentType: 'text/plain', body }),
    onError: () => undefined,
    bounds,
  });
  after(() => server.close());
  return port;
};

const open = async (port: number, after: After): Promise<Socket> => {
  const socket = connect(port, LOOPBACK_HOST);
  socket.on('error', () => socket.destroy());
  await once(socket, 'connect');
  after(() => socket.destroy());
  return socket;
};

const waitUntilClosed = async (socket: Socket): Promise<void> => {
  if (!socket.destroyed && !socket.readableEnded) {
    await delay(10);
    await waitUntilClosed(socket);
  }
};

/** Waits in several turns of the event loop, so that a server in a busy process can time out between them. */
const waitTurns = async (count: number): Promise<void> => {
  if (count > 0) {
    await delay(300);
    await waitTurns(count - 1);
  }
};

// Guards against connections that take the descriptors of the process.
test('the oldest connection without a request is closed, and checks are answered', async (context) => {
  const after: After = (fn) => context.after(fn);
  const port = await listen(after, { maxConnectionCount: 2 });
  const first = (await open(port, after)).resume();
  await open(port, after);
  const check = await open(port, after);
  check.write(GET);
  const [data] = (await once(check, 'data')) as [Buffer];
  expect(data.toString()).toInclude('HTTP/1.1 200');
  await waitUntilClosed(first);
});

// Guards against heads and bodies that do not end.
test('a head and a body that stop end', async (context) => {
  const after: After = (fn) => context.after(fn);
  const port = await listen(after, { requestTimeoutMs: 300, idleTimeoutMs: 300 });
  const half = (await open(port, after)).resume();
  half.write('GET / HTTP/1.1\r\nHost:');
  const unfinished = (await open(port, after)).resume();
  unfinished.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx');
  await waitUntilClosed(half);
  await waitUntilClosed(unfinished);
});

// Guards against bodies that nobody reads as requests, each chunk of which takes processor time.
test('a request with a body is refused and its connection closed', async (context) => {
  const after: After = (fn) => context.after(fn);
  const port = await listen(after, {});
  const framings = ['Transfer-Encoding: chunked', 'Content-Length: 100'];
  const answers = await Promise.all(
    framings.map(async (framing) => {
      const client = await open(port, after);
      client.write(`POST / HTTP/1.1\r\nHost: a\r\n${framing}\r\n\r\n`);
      const [data] = (await once(client, 'data')) as [Buffer];
      await waitUntilClosed(client);
      return data.toString().split('\r\n', 1);
    }),
  );
  expect(answers.flat()).toEqual(framings.map(() => 'HTTP/1.1 413 Payload Too Large'));
});

// Guards against heads that take the memory of the process.
test('a head over the limit is refused', async (context) => {
  const after: After = (fn) => context.after(fn);
  const client = await open(await listen(after, {}), after);
  client.write(`GET / HTTP/1.1\r\nA: ${'x'.repeat(10_000)}`);
  const [data] = (await once(client, 'data')) as [Buffer];
  expect(data.toString()).toInclude('HTTP/1.1 431');
});

// Guards against answers that are kept for clients who do not read them.
test('a client that does not read its answer is disconnected', async (context) => {
  const after: After = (fn) => context.after(fn);
  const port = await listen(after, { idleTimeoutMs: 300 }, 'x'.repeat(16_000_000));
  const client = await open(port, after);
  client.pause();
  client.write(GET);
  await waitTurns(5);
  client.resume();
  let sizeBytes = 0;
  client.on('data', (data: Buffer) => {
    sizeBytes += data.length;
  });
  await once(client, 'close');
  expect(sizeBytes).toBeLessThan(16_000_000);
});
