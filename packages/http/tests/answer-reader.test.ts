/** @module What is read of answers; the servers write raw bytes. */
import { once } from 'node:events';
import { request, type IncomingMessage } from 'node:http';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import * as fc from 'fast-check';
import { AnswerReader, FramingMeter, FramingVerdict, HttpClient, SlowReads } from '../src/index.js';

const HOST = '127.0.0.1';

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n';

const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

const TOKEN_INTERVAL_MS = 5;

interface StartedServer {
  readonly port: number;
  readonly close: () => void;
}

const startServer = async (answer: (socket: Socket) => void): Promise<StartedServer> => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.once('data', () => answer(socket));
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  return {
    port: (server.address() as AddressInfo).port,
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
};

const writeWithoutEnd = (socket: Socket, block: string): void => {
  const write = (): void => {
    if (!socket.destroyed && socket.write(block)) {
      setImmediate(write);
    }
  };
  socket.on('drain', write);
  write();
};

/** Reads the answer of a server; resolves with its body, or undefined if it is mostly framing. */
const read = async (answerWith: (socket: Socket) => void): Promise<string | undefined> => {
  const server = await startServer(answerWith);
  const reader = AnswerReader.create();
  const outgoing = request({ host: HOST, port: server.port, createConnection: reader.connect });
  outgoing.end();
  const [answer] = (await once(outgoing, 'response')) as [IncomingMessage];
  const blocks: Buffer[] = [];
  const body = await new Promise<string | undefined>((resolve) => {
    const onData = (data: Buffer): void => {
      blocks.push(data);
    };
    reader.read({ answer, onData, onFragmented: () => resolve(undefined) });
    answer.on('end', () => resolve(Buffer.concat(blocks).toString()));
  });
  outgoing.destroy();
  server.close();
  return body;
};

// Guards against a server that keeps its client busy with the framing of its answer.
test('an answer in chunks of one byte without end fails', async () => {
  const body = await read((socket) => {
    socket.write(CHUNKED);
    writeWithoutEnd(socket, '1\r\nx\r\n'.repeat(10_000));
  });
  expect(body).toEqual(undefined);
});

test('chunk extensions without end fail', async () => {
  const body = await read((socket) => {
    socket.write(CHUNKED);
    writeWithoutEnd(socket, `1;a=${'b'.repeat(200)}\r\nx\r\n`.repeat(100));
  });
  expect(body).toEqual(undefined);
});

test('any sound answer is read whole', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(fc.string({ minLength: 1 }), { maxLength: 200 }), async (texts) => {
      const blocks = texts.map((text) => Buffer.from(text));
      const body = await read((socket) => {
        socket.write(CHUNKED);
        blocks.forEach((block) => {
          socket.write(`${block.length.toString(16)}\r\n`);
          socket.write(block);
          socket.write('\r\n');
        });
        socket.end('0\r\n\r\n');
      });
      expect(body).toEqual(texts.join(''));
    }),
    { numRuns: 20, seed: 40 },
  );
});

test('a large answer with a length is read whole', async () => {
  const sizeBytes = 3_000_000;
  const body = await read((socket) => {
    socket.write(`${HEAD}Content-Length: ${sizeBytes}\r\n\r\n`);
    socket.end('x'.repeat(sizeBytes));
  });
  expect(body?.length).toEqual(sizeBytes);
});

test('a text client fails on small chunks and on too many informational heads', async () => {
  const floods = [
    `${CHUNKED}${'1\r\nx\r\n'.repeat(20_000)}`,
    'HTTP/1.1 100 Continue\r\n\r\n'.repeat(20),
  ];
  const failures = await Promise.all(
    floods.map(async (text) => {
      const server = await startServer((socket) => socket.write(text));
      const client = HttpClient.create({ address: `${HOST}:${server.port}` });
      const failure = await client
        .call({ method: 'GET', path: '/', timeoutMs: 20_000 })
        .then(() => '', String);
      client.close();
      server.close();
      return failure;
    }),
  );
  expect(failures).toEqual([
    'UnsoundAnswerError: the answer consists of small chunks',
    'UnsoundAnswerError: too many informational heads',
  ]);
});

// Guards against an order to an engine whose outcome is lost because another call failed.
test('a failed call of a text client fails no other', async () => {
  const answers: Socket[] = [];
  const server = await startServer((socket) => answers.push(socket));
  const client = HttpClient.create({ address: `${HOST}:${server.port}` });
  const call = (timeoutMs: number): Promise<string> =>
    client.call({ method: 'GET', path: '/', timeoutMs }).then(
      ({ text }) => text,
      () => 'failed',
    );
  const [first, second] = [call(20_000), call(20_000)];
  while (answers.length < 2) {
    // eslint-disable-next-line no-await-in-loop -- polls until both calls have arrived
    await delay(5);
  }
  answers[0]?.destroy();
  expect(await first).toEqual('failed');
  answers[1]?.end(`${HEAD}Content-Length: 4\r\n\r\nwell`);
  expect(await second).toEqual('well');
  client.close();
  server.close();
});

// Guards against a kept connection that stays paused after an answer that was read slowly.
test('a connection is used again after an answer in small chunks', async () => {
  const text = 'x'.repeat(1_500);
  const chunks = Array.from(text, (byte) => `1\r\n${byte}\r\n`).join('');
  const server = await startServer((socket) => {
    const answer = (): void => {
      socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`);
    };
    socket.on('data', answer);
    answer();
  });
  const client = HttpClient.create({ address: `${HOST}:${server.port}` });
  const sizes: number[] = [];
  for (let count = 0; count < 5; count += 1) {
    // eslint-disable-next-line no-await-in-loop -- each call uses the connection of the one before
    sizes.push((await client.call({ method: 'GET', path: '/', timeoutMs: 5_000 })).text.length);
  }
  expect(sizes).toEqual(sizes.map(() => text.length));
  client.close();
  server.close();
});

// Guards against a bound that cuts answers of a chunk for each token.
test('one-byte chunks at the pace of tokens are usual for ever', () => {
  let nowMs = 0;
  const meter = FramingMeter.create(() => nowMs);
  const verdicts = Array.from({ length: 200_000 }, () => {
    nowMs += TOKEN_INTERVAL_MS;
    return meter.record(6, 1);
  });
  expect(new Set(verdicts)).toEqual(new Set([FramingVerdict.Usual]));
});

test('payload as large as its framing is usual at any pace', () => {
  const meter = FramingMeter.create(() => 0);
  const verdicts = Array.from({ length: 100_000 }, () => meter.record(14, 7));
  expect(new Set(verdicts)).toEqual(new Set([FramingVerdict.Usual]));
});

test('slow reads alternate between the largest excess and the first', () => {
  const due: (() => void)[] = [];
  const reads = SlowReads.create((fn) => due.push(fn));
  const resumed: string[] = [];
  const add = (name: string, excessBytes: number): void =>
    reads.add({}, { excessBytes, resume: () => resumed.push(name) });
  add('first', 10);
  add('second', 20);
  add('third', 40);
  add('fourth', 30);
  while (due.length > 0) {
    due.shift()?.();
  }
  expect(resumed).toEqual(['third', 'first', 'fourth', 'second']);
});
