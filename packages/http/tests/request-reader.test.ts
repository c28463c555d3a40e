/** @module Which connections of a server are read in which order; callers write raw bytes. */
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { promisify } from 'node:util';
import { expect } from 'earl';
import { DropCause, RequestReader, type RequestReaderOptions } from '../src/index.js';

const HOST = '127.0.0.1';

const CALLER_COUNT = 6;

const CHUNK_COUNT = 100;

/** Fewer than the chunks of a body, so that each body ends its turn. */
const MAX_READ_COUNT = 50;

const HEAD = 'POST /x HTTP/1.1\r\nHost: a\r\n';

const BODY = `Transfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(CHUNK_COUNT)}0\r\n\r\n`;

const openCaller = async (port: number): Promise<Socket> => {
  const caller = connect(port, HOST);
  await once(caller, 'connect');
  // A whole request first, so that the connection is accepted.
  caller.write(`${HEAD}Content-Length: 0\r\n\r\n`);
  await once(caller, 'data');
  return caller;
};

interface Played {
  /** Connections that each turn with reads has read. */
  readonly countsByTurn: readonly number[];
  /** Bytes of all bodies. */
  readonly sizeBytes: number;
}

/** Lets callers send `bodies` at the same moment. */
const play = async (
  bodies: readonly string[],
  after: (fn: () => void) => void,
): Promise<Played> => {
  const readByTurn: Set<Socket>[] = [new Set()];
  let sizeBytes = 0;
  let endedCount = 0;
  const reader = RequestReader.create({
    maxReadCount: MAX_READ_COUNT,
    atNextTurn: (fn) =>
      setImmediate(() => {
        readByTurn.push(new Set());
        fn();
      }),
  });
  const server = createServer(
    { IncomingMessage: reader.createMessageClass() },
    (request, response) => {
      request.on('data', (chunk: Buffer) => {
        readByTurn.at(-1)?.add(request.socket);
        sizeBytes += chunk.length;
      });
      request.on('end', () => {
        endedCount += 1;
        response.end();
      });
    },
  );
  reader.watch(server);
  server.listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const callers = await Promise.all(Array.from({ length: CALLER_COUNT }, () => openCaller(port)));
  after(() => {
    callers.forEach((caller) => caller.destroy());
    server.close();
  });
  const expectedCount = endedCount + CALLER_COUNT * bodies.length;
  callers.forEach((caller) => caller.write(bodies.join('')));
  while (endedCount < expectedCount) {
    // eslint-disable-next-line no-await-in-loop -- polls until the callers are served
    await delay(5);
  }
  const countsByTurn = readByTurn.map(({ size }) => size).filter((count) => count > 0);
  return { countsByTurn, sizeBytes };
};

// Guards against a turn that parses the blocks of all connections, while answers of the store wait.
test('a turn reads one expensive connection', async (context) => {
  const { countsByTurn } = await play([HEAD + BODY], (fn) => context.after(fn));
  expect(countsByTurn).toEqual(Array<number>(CALLER_COUNT).fill(1));
});

// Guards against connections that are paused and never read again.
test('paused connections are read to their end', async (context) => {
  const { sizeBytes } = await play([HEAD + BODY, HEAD + BODY], (fn) => context.after(fn));
  expect(sizeBytes).toEqual(2 * CALLER_COUNT * CHUNK_COUNT);
});

/** Starts a server that answers each request at its end; `onRequest` gets the paths. */
const listen = async (
  after: (fn: () => void) => void,
  options: RequestReaderOptions,
  onRequest: (path: string) => void,
  onChunk: () => void = () => undefined,
): Promise<{ readonly port: number; readonly server: Server }> => {
  const reader = RequestReader.create(options);
  const server = createServer(
    { IncomingMessage: reader.createMessageClass() },
    (request, response) => {
      onRequest(request.url ?? '');
      request.on('data', onChunk);
      request.on('end', () => response.end());
    },
  );
  reader.watch(server);
  server.listen(0, HOST);
  await once(server, 'listening');
  after(() => {
    server.closeAllConnections();
    server.close();
  });
  return { port: (server.address() as AddressInfo).port, server };
};

const SMALL_CHUNK_COUNT = 5_000;

const SMALL_CHUNKS = `${HEAD}Transfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(SMALL_CHUNK_COUNT)}`;

const waitUntil = async (condition: () => boolean): Promise<void> => {
  if (!condition()) {
    await delay(1);
    await waitUntil(condition);
  }
};

// Guards against an ordinary request that waits until the small chunks of all others are parsed.
test('an ordinary request is read before small chunks that wait', async (context) => {
  const after = (fn: () => void): void => context.after(fn);
  const paths: string[] = [];
  let chunkCount = 0;
  const { port } = await listen(
    after,
    {},
    (path) => paths.push(path),
    () => {
      chunkCount += 1;
    },
  );
  const callers = await Promise.all(Array.from({ length: 12 }, () => openCaller(port)));
  const ordinary = await openCaller(port);
  after(() => [...callers, ordinary].forEach((caller) => caller.destroy()));
  callers.forEach((caller) => caller.write(SMALL_CHUNKS));
  await waitUntil(() => chunkCount > 0);
  ordinary.write('GET /ordinary HTTP/1.1\r\nHost: a\r\n\r\n');
  await waitUntil(() => paths.includes('/ordinary'));
  expect(chunkCount).toBeLessThan((callers.length * SMALL_CHUNK_COUNT) / 2);
});

// Guards against connections that stay open for ever, since their end came while other bytes waited.
test('the end of a connection is read behind bytes that wait', async (context) => {
  const after = (fn: () => void): void => context.after(fn);
  const { port, server } = await listen(after, { maxReadCount: MAX_READ_COUNT }, () => undefined);
  const callers = await Promise.all(Array.from({ length: CALLER_COUNT }, () => openCaller(port)));
  callers.forEach((caller) => caller.end(HEAD + BODY));
  const countConnections = promisify(server.getConnections.bind(server));
  const waitForEnd = async (): Promise<void> => {
    if ((await countConnections()) > 0) {
      await delay(5);
      await waitForEnd();
    }
  };
  await waitForEnd();
});

// Guards against a connection that is read on although its answers are not taken.
test('requests in a row are answered in order behind answers that wait', async (context) => {
  const after = (fn: () => void): void => context.after(fn);
  const paths: string[] = [];
  const { port } = await listen(after, {}, (path) => paths.push(path));
  const caller = await openCaller(port);
  after(() => caller.destroy());
  paths.length = 0;
  const expected = Array.from({ length: 2_000 }, (_, index) => `/${index}`);
  caller.write(expected.map((path) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`).join(''));
  caller.resume();
  await waitUntil(() => paths.length === expected.length);
  expect(paths).toEqual(expected);
});

// Guards against connections with small chunks that each keep a block and a buffer of the system.
test('connections with small chunks beyond a number are closed', async (context) => {
  const after = (fn: () => void): void => context.after(fn);
  const causes: DropCause[] = [];
  const { port } = await listen(
    after,
    { onDropped: (cause) => causes.push(cause) },
    () => undefined,
  );
  const callers = await Promise.all(Array.from({ length: 40 }, () => openCaller(port)));
  callers.forEach((caller) => {
    caller.on('error', () => caller.destroy());
    caller.write(SMALL_CHUNKS);
  });
  after(() => callers.forEach((caller) => caller.destroy()));
  await waitUntil(() => causes.length > 0);
  expect(causes.every((cause) => cause === DropCause.Unread)).toEqual(true);
});
