/** @module Which connections one turn of the event loop reads; callers write raw bytes. */
import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import { ReadTurns } from '../src/index.js';

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
  const turns = ReadTurns.create({
    maxReadCount: MAX_READ_COUNT,
    onTurnEnd: (fn) =>
      setImmediate(() => {
        readByTurn.push(new Set());
        fn();
      }),
  });
  const server = createServer(
    { IncomingMessage: turns.createMessageClass() },
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
  turns.watch(server);
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
