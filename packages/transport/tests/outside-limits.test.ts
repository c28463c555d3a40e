/** @module Clients of the entry process's and the sidecar's listeners that keep to no limit. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import { EventKind, type Event } from '@ebonysill/core';
import { REPORT_INTERVAL_MS } from '@ebonysill/http';
import {
  AdminServer,
  CallerPort,
  DropCounters,
  LinkPort,
  Listener,
  type DropCount,
} from '../src/index.js';
import { FrameReader, frame } from '../src/frame-reader.js';

const HOST = '127.0.0.1';

type After = (fn: () => void) => void;

interface Client {
  readonly socket: Socket;
  readonly received: () => string;
}

const open = async (port: number, after: After): Promise<Client> => {
  const socket = connect(port, HOST);
  let text = '';
  socket.on('data', (data: Buffer) => {
    text += data.toString('latin1');
  });
  socket.on('error', () => socket.destroy());
  await once(socket, 'connect');
  after(() => socket.destroy());
  return { socket, received: () => text };
};

const waitUntil = async (condition: () => boolean): Promise<void> => {
  if (!condition()) {
    await delay(10);
    await waitUntil(condition);
  }
};

const isClosed = ({ socket }: Client): boolean => socket.destroyed || socket.readableEnded;

const listenToCallers = async (
  after: After,
  {
    bodyTimeoutMs = 10_000,
    ...bounds
  }: { maxHeldBytes?: number; maxConnectionCount?: number; bodyTimeoutMs?: number },
  drops = DropCounters.create(() => undefined),
): Promise<{ port: number; events: readonly Event[] }> => {
  const events: Event[] = [];
  const callers = CallerPort.create({
    post: (event) => events.push(event),
    readPage: () => undefined,
    bounds: {
      maxHeldBytes: 1_000_000,
      maxConnectionCount: 10,
      maxUnreadBytes: 1_000_000,
      maxBacklogCount: 64,
      ...bounds,
    },
    bodyTimeoutMs,
    onDropped: drops.recorderOf(Listener.Callers),
  });
  const port = await callers.listen(HOST, 0);
  after(() => {
    callers.stopAccepting();
    callers.shutdown();
  });
  return { port, events };
};

const HEAD = 'POST /services/x/y HTTP/1.1\r\nHost: a\r\n';

// Guards against bodies that together exceed the memory of an entry process.
test('the oldest unfinished body goes when bodies have no room', async (context) => {
  const after: After = (fn) => context.after(fn);
  const { port, events } = await listenToCallers(after, { maxHeldBytes: 270_000 });
  const first = await open(port, after);
  first.socket.write(`${HEAD}Content-Length: 130001\r\n\r\n${'x'.repeat(130_000)}`);
  await delay(100);
  const second = await open(port, after);
  second.socket.write(`${HEAD}Content-Length: 130000\r\n\r\n${'x'.repeat(130_000)}`);
  await waitUntil(() => first.received().includes('HTTP/1.1 503') && events.length > 0);
  expect(first.received()).toInclude('"outcome":"refused-not-run"');
  expect(events.map(({ kind }) => kind)).toEqual([EventKind.CallerRequest]);
});

// Guards against bodies that stop and are kept until the timeout of a whole request.
test('a body without progress ends', async (context) => {
  const after: After = (fn) => context.after(fn);
  const { port, events } = await listenToCallers(after, { bodyTimeoutMs: 300 });
  const client = await open(port, after);
  client.socket.write(`${HEAD}Content-Length: 100\r\n\r\nx`);
  await waitUntil(() => isClosed(client));
  expect(client.received()).toInclude('no progress');
  expect(events).toEqual([]);
});

// Guards against connections without a request that take all descriptors.
test('connections over the limit are closed', async (context) => {
  const after: After = (fn) => context.after(fn);
  const { port } = await listenToCallers(after, { maxConnectionCount: 2 });
  const first = await open(port, after);
  await open(port, after);
  await open(port, after);
  await waitUntil(() => isClosed(first));
});

const SMALL_CHUNK_CALLER_COUNT = 10;

/** Just short of the number from which a body counts as fragmented; takes about 10 ms to parse. */
const SMALL_CHUNKS = `${'1\r\nx\r\n'.repeat(4_000)}0\r\n\r\n`;

// Guards against a turn of the event loop that parses the small chunks of all callers.
test('bodies in small chunks take several turns', async (context) => {
  const after: After = (fn) => context.after(fn);
  const { port, events } = await listenToCallers(after, {});
  const callers = await Promise.all(
    Array.from({ length: SMALL_CHUNK_CALLER_COUNT }, () => open(port, after)),
  );
  // The head first, so that each connection is accepted when the chunks arrive.
  callers.forEach(({ socket }) => socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`));
  await delay(100);
  callers.forEach(({ socket }) => socket.write(SMALL_CHUNKS));
  const countTurns = async (turnCount: number): Promise<number> => {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    const nowCount = events.length > 0 ? turnCount + 1 : 0;
    return events.length < SMALL_CHUNK_CALLER_COUNT ? countTurns(nowCount) : nowCount;
  };
  expect(await countTurns(0)).toBeGreaterThan(2);
});

const EXPECTANT = 'Content-Length: 5\r\nExpect: 100-continue\r\n\r\n';

const statusOf = ({ received }: Client): string => received().split(' ')[1] ?? '';

/** Status of the first answer to a head whose caller waits for `100 Continue`. */
const firstStatus = async (port: number, lines: string, after: After): Promise<string> => {
  const client = await open(port, after);
  client.socket.write(`${lines}${EXPECTANT}`);
  await waitUntil(() => client.received().includes('\r\n\r\n'));
  return statusOf(client);
};

// Guards against a caller that is asked for a body which is refused by its head.
test('a refused head gets no 100 Continue', async (context) => {
  const after: After = (fn) => context.after(fn);
  const { port, events } = await listenToCallers(after, {});
  const statuses = await Promise.all(
    [
      'POST /nothing HTTP/1.1\r\nHost: a\r\n',
      `${HEAD}Ebonysill-Priority: 10\r\n`,
      `${HEAD}Ebonysill-Deadline-Ms: 0\r\n`,
    ].map((lines) => firstStatus(port, lines, after)),
  );
  expect(statuses).toEqual(['404', '400', '400']);
  expect(events).toEqual([]);
});

// The same for a body that the limits refuse.
test('a body without room gets no 100 Continue', async (context) => {
  const after: After = (fn) => context.after(fn);
  const { port } = await listenToCallers(after, { maxHeldBytes: 1_000 });
  expect(await firstStatus(port, HEAD, after)).toEqual('503');
});

// Guards against a caller that waits for 100 Continue in vain.
test('an accepted head gets 100 Continue', async (context) => {
  const after: After = (fn) => context.after(fn);
  const { port, events } = await listenToCallers(after, {});
  const client = await open(port, after);
  client.socket.write(`${HEAD}${EXPECTANT}`);
  await waitUntil(() => client.received() === 'HTTP/1.1 100 Continue\r\n\r\n');
  client.socket.write('whole');
  await waitUntil(() => events.length > 0);
});

const listenToOperators = async (
  after: After,
  bounds: object,
  drops = DropCounters.create(() => undefined),
): Promise<number> => {
  const admin = AdminServer.create(
    {
      readStatus: () => ({ peers: [] }) as never,
      explain: () => [],
      readBurn: () => [],
      readDrops: () => drops.report(),
    },
    bounds,
    drops.recorderOf(Listener.Operators),
  );
  const port = await admin.listen(HOST, 0);
  after(() => admin.shutdown());
  return port;
};

// The same for the port of the operators.
test('operators have a bounded number of connections', async (context) => {
  const after: After = (fn) => context.after(fn);
  const port = await listenToOperators(after, { maxConnectionCount: 2 });
  const first = await open(port, after);
  await open(port, after);
  await open(port, after);
  await waitUntil(() => isClosed(first));
});

// Guards against requests to operators that are never complete.
test('a call of operators that stops ends', async (context) => {
  const after: After = (fn) => context.after(fn);
  const port = await listenToOperators(after, { requestTimeoutMs: 300, idleTimeoutMs: 300 });
  const client = await open(port, after);
  client.socket.write('POST /status HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx');
  await waitUntil(() => isClosed(client));
});

// Guards against a body that operators are asked for and nobody reads.
test('a call of operators gets no 100 Continue', async (context) => {
  const after: After = (fn) => context.after(fn);
  const port = await listenToOperators(after, {});
  const status = await firstStatus(port, 'POST /status HTTP/1.1\r\nHost: a\r\n', after);
  expect(status).not.toEqual('100');
});

const listenToLinks = async (
  after: After,
  bounds: object,
  drops = DropCounters.create(() => undefined),
): Promise<number> => {
  const links = LinkPort.create(
    'secret of the listener',
    () => undefined,
    bounds,
    drops.recorderOf(Listener.Links),
  );
  const port = await links.listen(HOST, 0);
  after(() => links.shutdown());
  return port;
};

// Guards against frames of 4 MiB from clients that have proved nothing.
test('a long frame before the proof closes the link', async (context) => {
  const after: After = (fn) => context.after(fn);
  const client = await open(await listenToLinks(after, {}), after);
  client.socket.write(Buffer.from([0, 0, 4, 0]));
  await waitUntil(() => isClosed(client));
});

// Guards against clients that prolong a handshake with a byte now and then.
test('a handshake has a time in all', async (context) => {
  const after: After = (fn) => context.after(fn);
  const client = await open(await listenToLinks(after, { handshakeTimeoutMs: 300 }), after);
  client.socket.write(Buffer.from([0, 0, 0, 32]));
  const timer = setInterval(() => client.socket.write('x'), 50);
  after(() => clearInterval(timer));
  await waitUntil(() => isClosed(client));
});

// Guards against a link that is closed because a message follows its proof in the same packet.
test('a long frame after the handshake is accepted', () => {
  const reader = FrameReader.create((index) => (index < 2 ? 64 : 1_000));
  const frames = reader.push(Buffer.concat([32, 32, 900].map((size) => frame(Buffer.alloc(size)))));
  expect(frames?.map(({ length }) => length)).toEqual([32, 32, 900]);
});

// Guards against a frame in small parts that is copied whole for each of them.
test('an unfinished frame costs about its bytes', () => {
  const reader = FrameReader.create();
  const bytes = frame(Buffer.alloc(60_000));
  Array.from({ length: 59_000 }, (_, index) => reader.push(bytes.subarray(index, index + 1)));
  expect(reader.pendingBytes).toBeLessThan(120_001);
});

// Guards against drops that operators cannot see.
test('drops are counted by listener and cause', async (context) => {
  const after: After = (fn) => context.after(fn);
  const lines: DropCount[] = [];
  const drops = DropCounters.create((line) => lines.push(line));
  const { port } = await listenToCallers(after, { bodyTimeoutMs: 300 }, drops);
  const stalled = await open(port, after);
  stalled.socket.write(`${HEAD}Content-Length: 100\r\n\r\nx`);
  const links = await listenToLinks(after, { handshakeTimeoutMs: 300, maxInboundCount: 1 }, drops);
  const silent = await open(links, after);
  const excess = await open(links, after);
  await waitUntil(() => [stalled, silent, excess].every(isClosed));
  const long = await open(links, after);
  long.socket.write(Buffer.from([0, 0, 4, 0]));
  await waitUntil(() => isClosed(long));
  const operators = await listenToOperators(after, { maxConnectionCount: 1 }, drops);
  const first = await open(operators, after);
  await open(operators, after);
  await waitUntil(() => isClosed(first));
  const expected = [
    [Listener.Callers, 'body-stalled', 1],
    [Listener.Links, 'too-many-connections', 1],
    [Listener.Links, 'handshake-stalled', 1],
    [Listener.Links, 'too-large', 1],
    [Listener.Operators, 'too-many-connections', 1],
  ];
  const valuesOf = (counts: readonly DropCount[]): readonly unknown[] =>
    counts.map(({ listener, cause, count }) => [listener, cause, count]);
  expect(valuesOf(drops.report())).toEqual(expected);
  expect(valuesOf(lines).length).toEqual(expected.length);
});

// Guards against a line for each connection of a flood.
test('a flood writes one line for a listener and cause in an interval', (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] });
  const lines: DropCount[] = [];
  const drops = DropCounters.create((line) => lines.push(line));
  const record = drops.recorderOf(Listener.Links);
  Array.from({ length: 1_000 }, () => record('no-room'));
  context.mock.timers.tick(REPORT_INTERVAL_MS);
  expect(lines.map(({ count }) => count)).toEqual([1, 999]);
  expect(drops.report()).toEqual([{ listener: Listener.Links, cause: 'no-room', count: 1_000 }]);
});

// Guards against counters that monitoring does not get.
test('the metrics page has the drops', async (context) => {
  const after: After = (fn) => context.after(fn);
  const drops = DropCounters.create(() => undefined);
  drops.recorderOf(Listener.Callers)('no-room');
  const client = await open(await listenToOperators(after, {}, drops), after);
  client.socket.write('GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n');
  const line = 'ebonysill_dropped_total{listener="callers",cause="no-room"} 1';
  await waitUntil(() => client.received().includes(line));
});
