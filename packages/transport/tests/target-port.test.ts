/** @module Answers of a faulty target, which writes raw bytes, at the port of a sidecar. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import {
  EffectKind,
  EventKind,
  type CallTargetEffect,
  type Event,
  type TargetRequest,
} from '@ebonysill/core';
import { expect } from 'earl';
import { TargetPort } from '../src/index.js';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n';

/** Writes an answer to a request with this body and head. */
type Answer = (socket: Socket, text: string, head: string) => void;

const callOf = (callId: string, changes: Partial<TargetRequest>): CallTargetEffect => ({
  kind: EffectKind.CallTarget,
  callId,
  requestId: callId,
  request: {
    service: 's-1',
    method: 'POST',
    path: '/x',
    contentType: 'text/plain',
    body: callId,
    ...changes,
  },
  deliveredCount: 0,
});

/** Makes calls one after the other; returns the last event of each and the text of its answer. */
const call = async (
  answer: Answer,
  callIds: readonly string[],
  changes: Partial<TargetRequest> = {},
): Promise<readonly string[]> => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      const [head = '', text = ''] = data.toString().split('\r\n\r\n');
      answer(socket, text, head);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port: serverPort } = server.address() as AddressInfo;
  let onEvent: (event: Event) => void = () => undefined;
  const port = TargetPort.create(`http://127.0.0.1:${serverPort}`, (event) => onEvent(event));
  const callOnce = (callId: string): Promise<string> =>
    new Promise((resolve) => {
      let text = '';
      onEvent = (event) => {
        if (event.kind === EventKind.TargetChunk) {
          text += event.data;
        }
        if (event.kind === EventKind.TargetEnd || event.kind === EventKind.TargetError) {
          resolve(`${event.kind} ${text}`);
        }
      };
      port.call(callOf(callId, changes));
    });
  const results = await callIds.reduce<Promise<readonly string[]>>(
    async (previous, callId) => [...(await previous), await callOnce(callId)],
    Promise.resolve([]),
  );
  await port.shutdown();
  server.close();
  return results;
};

const kindOf = (result: string): string => result.split(' ')[0] ?? '';

const END = EventKind.TargetEnd;

const ERROR = EventKind.TargetError;

test('an answer with a length is delivered', async () => {
  const results = await call(
    (socket, text) => socket.write(`${HEAD}Content-Length: ${text.length}\r\n\r\n${text}`),
    ['one', 'three'],
  );
  expect(results).toEqual([`${END} one`, `${END} three`]);
});

test('an answer without a length ends with its connection', async () => {
  const results = await call((socket) => socket.end(`${HEAD}\r\npart`), ['one']);
  expect(results).toEqual([`${END} part`]);
});

test('a copy of an earlier answer is no answer to the next call', async () => {
  const earlier = new WeakMap<Socket, string>();
  const results = await call(
    (socket, text) => {
      const whole = `${HEAD}Content-Length: ${text.length}\r\n\r\n${text}`;
      socket.write(`${earlier.get(socket) ?? ''}${whole}`);
      earlier.set(socket, whole);
    },
    ['one', 'two'],
  );
  expect(results).toEqual([`${END} one`, `${END} two`]);
});

test('a late second copy is no answer to the next call', async () => {
  const results = await call(
    (socket, text) => {
      const whole = `${HEAD}Content-Length: ${text.length}\r\n\r\n${text}`;
      socket.write(whole);
      setTimeout(() => socket.write(whole), text === 'one' ? 0 : 1_000).unref();
    },
    ['one', 'two', 'three'],
  );
  expect(results).toEqual([`${END} one`, `${END} two`, `${END} three`]);
});

test('an end within a chunked answer is an error', async () => {
  const results = await call(
    (socket) => socket.end(`${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`),
    ['one'],
  );
  expect(results.map(kindOf)).toEqual([ERROR]);
});

test('an end before the length is an error', async () => {
  const results = await call(
    (socket) => socket.end(`${HEAD}Content-Length: 9\r\n\r\npart`),
    ['one'],
  );
  expect(results.map(kindOf)).toEqual([ERROR]);
});

test('a reset within an answer without a length is an error', async () => {
  const results = await call(
    (socket) => socket.write(`${HEAD}\r\npart`, () => socket.resetAndDestroy()),
    ['one'],
  );
  expect(results.map(kindOf)).toEqual([ERROR]);
});

test('a head that ends early is an error', async () => {
  const head = `${HEAD}Content-Length: 0\r\n\r\n`;
  const cuts = Array.from({ length: head.length - 1 }, (_, index) => `${index + 1}`);
  const results = await call((socket, text) => socket.end(head.slice(0, Number(text))), cuts);
  expect(results).toEqual(cuts.map(() => `${ERROR} `));
});

test('a path that names another host stays a path', async () => {
  const heads: string[] = [];
  const answer: Answer = (socket, _text, head) => {
    heads.push(head.split('\r\n')[0] ?? '');
    socket.end(`${HEAD}Content-Length: 0\r\n\r\n`);
  };
  const results = await call(answer, ['one'], { path: '//127.0.0.2:1/x' });
  expect(results.map(kindOf)).toEqual([END]);
  expect(heads).toEqual(['POST //127.0.0.2:1/x HTTP/1.1']);
});

test('a GET with a body has its length', async () => {
  const heads: string[] = [];
  const answer: Answer = (socket, _text, head) => {
    heads.push(head.toLowerCase());
    socket.end(`${HEAD}Content-Length: 0\r\n\r\n`);
  };
  await call(answer, ['three'], { method: 'GET' });
  expect(heads.map((head) => head.includes('content-length: 5'))).toEqual([true]);
});

test('a path that cannot be encoded is an error', async () => {
  const results = await call(() => undefined, ['one'], { path: '/a b' });
  expect(results.map(kindOf)).toEqual([ERROR]);
});

test('a change of protocol is an error', async () => {
  const switching = 'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n';
  const results = await call((socket) => socket.write(switching), ['one']);
  expect(results.map(kindOf)).toEqual([ERROR]);
});

/** Reads the health of a target that answers with this status line. */
const healthOf = async (statusLine: string): Promise<Event> => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () =>
      socket.end(`HTTP/1.1 ${statusLine}\r\nContent-Length: 16\r\n\r\n{"isCold":false}`),
    );
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port: serverPort } = server.address() as AddressInfo;
  let port: TargetPort | undefined;
  const event = await new Promise<Event>((resolve) => {
    port = TargetPort.create(`http://127.0.0.1:${serverPort}`, resolve);
    port.readHealth();
  });
  await port?.shutdown();
  server.close();
  return event;
};

test('a target whose health check fails is down', async () => {
  const kind = EventKind.TargetHealth;
  expect(await healthOf('200 OK')).toEqual({ kind, isUp: true, isCold: false });
  expect(await healthOf('503 Failing')).toEqual({ kind, isUp: false, isCold: true });
});

/** Status lines after the version that have no valid status. */
const INVALID_STATUSES = [
  ...['000 None', '0', '001 Low', '099 Low', '100 Continue', '199 Last', '600 First', '999 High'],
  ...['20 OK', '2000 OK', '-200 OK', 'OK'],
];

const FRAMINGS = [
  'Content-Length: 4\r\n\r\npart',
  'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n',
  'Connection: close\r\n\r\npart',
];

// Guards against bytes without a status that a caller gets as an answer.
test('an answer without a valid status fails the call', async () => {
  const answers = INVALID_STATUSES.flatMap((status) =>
    FRAMINGS.map((framing) => `HTTP/1.1 ${status}\r\nContent-Type: text/plain\r\n${framing}`),
  );
  let index = -1;
  const results = await call(
    (socket) => {
      index += 1;
      socket.end(answers[index] ?? '');
    },
    answers.map((_, number) => `call ${number}`),
  );
  expect(results.map(kindOf)).toEqual(answers.map(() => ERROR));
});
