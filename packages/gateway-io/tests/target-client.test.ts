/** @module How a target client reports answers that are cut off; the target writes raw bytes. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { CallStage, EffectKind, EventKind, NO_NOTICE, type Event } from '@ebonysill/gateway';
import { TargetClient } from '../src/index.js';

/** Calls a target that answers with `answer`; resolves with the last event of the call. */
const lastEvent = async (answer: (socket: Socket) => void): Promise<Event> => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const event = await new Promise<Event>((resolve) => {
    const client = TargetClient.create({
      encode: () => [{ name: 'host', value: 'app.example' }],
      decode: (status) => ({
        status,
        isNotRun: false,
        isSigned: true,
        isEventStream: false,
        endsWithConnection: false,
        notice: NO_NOTICE,
        headers: [],
      }),
      post: (posted) => {
        if (
          posted.kind === EventKind.TargetAnswerEnded ||
          posted.kind === EventKind.TargetCallFailed
        ) {
          resolve(posted);
        }
      },
    });
    client.start({
      kind: EffectKind.StartCall,
      callId: 1,
      call: {
        address: `127.0.0.1:${port}`,
        instanceId: 't-1',
        method: 'GET',
        path: '/a/x',
        remainingMs: 1_000,
        headers: [],
        body: Buffer.alloc(0),
      },
    });
  });
  server.close();
  return event;
};

const UNFRAMED = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart';

const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n';

const FIXED_LENGTH = 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart';

test('an answer without a length ends with its connection', async () => {
  const event = await lastEvent((socket) => socket.end(UNFRAMED));
  expect(event.kind).toEqual(EventKind.TargetAnswerEnded);
});

test('a reset within an answer without a length fails the call', async () => {
  const event = await lastEvent((socket) => {
    socket.write(UNFRAMED, () => setTimeout(() => socket.resetAndDestroy(), 20));
  });
  expect(event.kind).toEqual(EventKind.TargetCallFailed);
});

test('a reset together with the last bytes fails the call', async () => {
  const event = await lastEvent((socket) => {
    socket.write(UNFRAMED, () => socket.resetAndDestroy());
  });
  expect(event.kind).toEqual(EventKind.TargetCallFailed);
});

test('an end within a chunked answer fails the call', async () => {
  const event = await lastEvent((socket) => socket.end(CHUNKED));
  expect(event.kind).toEqual(EventKind.TargetCallFailed);
});

test('an end before the content length fails the call', async () => {
  const event = await lastEvent((socket) => socket.end(FIXED_LENGTH));
  expect(event.kind).toEqual(EventKind.TargetCallFailed);
});

test('an answer that is not HTTP fails the call as sent', async () => {
  const event = await lastEvent((socket) => socket.end('no answer\r\n\r\n'));
  expect(event.kind === EventKind.TargetCallFailed && event.stage).toEqual(CallStage.Sent);
});
