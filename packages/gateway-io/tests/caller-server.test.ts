/** @module What a caller server answers to requests beyond its limits; callers write raw bytes. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import { LOOPBACK_HOST } from '@ebonysill/stand-ins';
import { EffectKind, EventKind, type Event } from '@ebonysill/gateway';
import { CallerServer, type CallerServerOptions } from '../src/index.js';

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000,
  headerTimeoutMs: 300,
  idleTimeoutMs: 10_000,
};

const BOUNDS = {
  maxHeldBytes: 1_000_000,
  maxConnectionCount: 10,
  maxUnreadBytes: 1_000_000,
  maxBacklogCount: 64,
};

interface Opened {
  readonly server: CallerServer;
  readonly caller: Socket;
  readonly events: readonly Event[];
  /** Text that the caller has received so far. */
  readonly received: () => string;
  readonly isClosed: () => boolean;
}

const freePort = async (): Promise<number> => {
  const server = createServer().listen(0, LOOPBACK_HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
};

/** Starts a server and connects a caller; the connection closes after the test. */
const open = async (
  after: (fn: () => void) => void,
  options: Partial<CallerServerOptions> = {},
): Promise<Opened> => {
  const events: Event[] = [];
  const server = CallerServer.create({
    decode: ({ method, url, body }) => ({
      attemptId: 'a-1',
      host: 'app.example',
      method,
      path: url,
      promptTokens: 0,
      promptSegments: [],
      headers: [],
      body,
    }),
    post: (event) => events.push(event),
    isClosing: () => false,
    onError: () => undefined,
    ...options,
  });
  const port = await freePort();
  await server.listen({ host: LOOPBACK_HOST, port });
  server.applyLimits(LIMITS);
  const caller = connect(port, LOOPBACK_HOST);
  let text = '';
  caller.on('data', (data: Buffer) => {
    text += data.toString();
  });
  caller.on('error', () => caller.destroy());
  await once(caller, 'connect');
  after(() => {
    caller.destroy();
    server.close();
  });
  return { server, caller, events, received: () => text, isClosed: () => caller.readableEnded };
};

const waitUntil = async (condition: () => boolean): Promise<void> => {
  if (!condition()) {
    await delay(10);
    await waitUntil(condition);
  }
};

const head = (fields: string): string => `POST /a/x HTTP/1.1\r\nHost: app.example\r\n${fields}\r\n`;

test('an announced body over the limit is refused at once', async (context) => {
  const { caller, events, received } = await open((fn) => context.after(fn));
  caller.write(head('Content-Length: 10000000\r\n'));
  await delay(200);
  expect(received()).toInclude('HTTP/1.1 413');
  expect(events).toEqual([]);
});

test('a chunked body is refused as soon as it is over the limit', async (context) => {
  const { caller, events, received } = await open((fn) => context.after(fn));
  caller.write(head('Transfer-Encoding: chunked\r\n'));
  caller.write(`5dc\r\n${'x'.repeat(1_500)}\r\n`);
  await delay(200);
  expect(received()).toInclude('HTTP/1.1 413');
  expect(events).toEqual([]);
});

test('a body without end closes the connection', async (context) => {
  const { caller, received, isClosed } = await open((fn) => context.after(fn));
  caller.write(head('Transfer-Encoding: chunked\r\n'));
  const timer = setInterval(() => caller.write(`5dc\r\n${'x'.repeat(1_500)}\r\n`), 20);
  await delay(1_600);
  clearInterval(timer);
  expect(received().split('HTTP/1.1').length).toEqual(2);
  expect(isClosed() || caller.destroyed).toEqual(true);
});

test('a head that stops halfway ends at its timeout', async (context) => {
  const { caller, received } = await open((fn) => context.after(fn));
  caller.write('POST /a/x HTTP/1.1\r\nHost: app.exa');
  await delay(1_000);
  expect(received()).toInclude('HTTP/1.1 408');
});

test('a body within the limit is accepted', async (context) => {
  const { caller, events } = await open((fn) => context.after(fn));
  caller.write(`${head('Content-Length: 1000\r\n')}${'x'.repeat(1_000)}`);
  await delay(200);
  expect(events.map(({ kind }) => kind)).toEqual([EventKind.RequestReceived]);
});

/** Larger than what the system takes over at once for a caller that does not read. */
const LARGE_ANSWER_BYTES = 16_000_000;

const answerFirst = ({ server, events }: Opened): void => {
  const [event] = events;
  if (event?.kind === EventKind.RequestReceived) {
    server.sendAnswer({
      kind: EffectKind.SendAnswer,
      exchangeId: event.exchangeId,
      status: 200,
      headers: [],
      body: [Buffer.alloc(LARGE_ANSWER_BYTES, 'x')],
    });
  }
};

/** A caller that has sent a request, whose answer it does not read yet. */
const openWithAnswer = async (after: (fn: () => void) => void): Promise<Opened> => {
  const opened = await open(after);
  opened.caller.pause();
  opened.caller.write(head('Content-Length: 0\r\n'));
  await waitUntil(() => opened.events.length > 0);
  answerFirst(opened);
  return opened;
};

// Guards against a drain that cuts off answers which slow callers still receive.
test('closing idle connections cuts off no answer', async (context) => {
  const { server, caller, received } = await openWithAnswer((fn) => context.after(fn));
  server.closeIdle();
  caller.resume();
  await waitUntil(() => received().length > LARGE_ANSWER_BYTES);
  server.closeIdle();
  await once(caller, 'close');
});

test('the end of the listener cuts off no answer', async (context) => {
  const { server, caller, received } = await openWithAnswer((fn) => context.after(fn));
  server.stopAccepting();
  await delay(500);
  caller.resume();
  await waitUntil(() => received().length > LARGE_ANSWER_BYTES);
});

// Guards against the end of a connection on which the next request is arriving.
test('a connection with half a head is not idle', async (context) => {
  const { server, caller, isClosed, events } = await open((fn) => context.after(fn));
  caller.write('POST /a/x HTTP/1.1\r\n');
  await delay(100);
  server.closeIdle();
  caller.write('Host: app.example\r\nContent-Length: 0\r\n\r\n');
  await waitUntil(() => events.length > 0);
  expect(isClosed()).toEqual(false);
});

// Guards against a drain that resets connections whose first request is on its way.
test('a connection that was just accepted is not idle', async (context) => {
  const { server, caller, events } = await open((fn) => context.after(fn));
  await delay(50);
  server.closeIdle();
  caller.write(head('Content-Length: 0\r\n'));
  await waitUntil(() => events.length > 0);
});

const sendShort = ({ server, events }: Opened): void => {
  const [event] = events;
  if (event?.kind === EventKind.RequestReceived) {
    server.sendAnswer({
      kind: EffectKind.SendAnswer,
      exchangeId: event.exchangeId,
      status: 200,
      headers: [],
      body: [Buffer.from('whole')],
    });
  }
};

// Guards against a 408 that the caller takes for the answer to the request that still runs.
test('half a head behind a running request is not answered in its place', async (context) => {
  const opened = await open((fn) => context.after(fn));
  const { caller, events, received, isClosed } = opened;
  caller.write(`${head('Content-Length: 0\r\n')}POST /a/y HTTP/1.1\r\nHost: app.exa`);
  await waitUntil(() => events.length > 0);
  // Longer than the timeout of a head and the interval of its check.
  await delay(1_000);
  expect(received()).toEqual('');
  sendShort(opened);
  await waitUntil(isClosed);
  expect(received().startsWith('HTTP/1.1 200')).toEqual(true);
  expect(received().endsWith('whole')).toEqual(true);
  expect(received().split('HTTP/1.1').length).toEqual(2);
});

// Guards against running a request whose connection was given up.
test('a head that is completed after its timeout does not run', async (context) => {
  const opened = await open((fn) => context.after(fn));
  const { caller, events, isClosed } = opened;
  caller.write(`${head('Content-Length: 0\r\n')}POST /a/y HTTP/1.1\r\nHost: app.exa`);
  await waitUntil(() => events.length > 0);
  await delay(1_000);
  caller.write('mple\r\nContent-Length: 0\r\n\r\n');
  await delay(100);
  sendShort(opened);
  await waitUntil(isClosed);
  expect(events.length).toEqual(1);
});

// Guards against bytes that are kept for callers who will be refused anyway.
test('a request is refused from its head', async (context) => {
  const { caller, events, received } = await open((fn) => context.after(fn), {
    checkHead: () => ({ status: 401, headers: [], body: [Buffer.from('no')] }),
  });
  caller.write(head('Content-Length: 900\r\n'));
  await waitUntil(() => received().includes('no'));
  expect(received()).toInclude('HTTP/1.1 401');
  expect(received()).toInclude('Connection: close');
  expect(events).toEqual([]);
});

// Guards against a new connection for each refused request of an ordinary caller.
test('a refused request that is complete leaves its connection open', async (context) => {
  const { caller, received, isClosed } = await open((fn) => context.after(fn), {
    checkHead: () => ({ status: 401, headers: [], body: [Buffer.from('no')] }),
  });
  const whole = `${head('Content-Length: 5\r\n')}whole`;
  caller.write(whole);
  await waitUntil(() => received().includes('no'));
  caller.write(whole);
  await waitUntil(() => received().split('HTTP/1.1 401').length === 3);
  expect(isClosed()).toEqual(false);
});

// Guards against bodies that are kept for ever, and against a byte now and then that prolongs them.
test('a body without progress is answered 408', async (context) => {
  const causes: string[] = [];
  const { caller, events, received } = await open((fn) => context.after(fn), {
    bodyTimeoutMs: 300,
    onDropped: (cause) => causes.push(cause),
  });
  caller.write(`${head('Content-Length: 900\r\n')}x`);
  const timer = setInterval(() => caller.write('x'), 50);
  context.after(() => clearInterval(timer));
  await waitUntil(() => received().includes('HTTP/1.1 408'));
  expect(received()).toInclude('Connection: close');
  expect(events).toEqual([]);
  expect(causes).toEqual(['body-stalled']);
});

// Guards against a request that is accepted although its bytes have no room.
test('a body without room is answered 503', async (context) => {
  const { caller, events, received } = await open((fn) => context.after(fn), {
    bounds: { ...BOUNDS, maxHeldBytes: 9_000 },
  });
  caller.write(head('Content-Length: 1000\r\n'));
  await waitUntil(() => received().includes('HTTP/1.1 503'));
  expect(received()).toInclude('retry-after: 0.0');
  expect(received()).toInclude('Connection: close');
  expect(events).toEqual([]);
});

// Guards against answers that are kept for callers who do not read them.
test('answers that are not read are dropped when they have no room', async (context) => {
  const opened = await open((fn) => context.after(fn), {
    bounds: { ...BOUNDS, maxHeldBytes: 1_000_000 },
  });
  opened.caller.pause();
  opened.caller.write(head('Content-Length: 0\r\n'));
  await waitUntil(() => opened.events.length > 0);
  answerFirst(opened);
  opened.caller.resume();
  await once(opened.caller, 'close');
  expect(opened.received().length).toBeLessThan(LARGE_ANSWER_BYTES);
});

const EXPECTANT = head('Content-Length: 900\r\nExpect: 100-continue\r\n');

// Guards against a caller that is asked for a body which is refused by its head.
test('a refused head gets no 100 Continue', async (context) => {
  const { caller, events, received } = await open((fn) => context.after(fn), {
    checkHead: () => ({ status: 401, headers: [], body: [Buffer.from('no')] }),
  });
  caller.write(EXPECTANT);
  await waitUntil(() => received().includes('no'));
  expect(received().startsWith('HTTP/1.1 401')).toEqual(true);
  expect(received()).toInclude('Connection: close');
  expect(events).toEqual([]);
});

// The same for a body that the limits refuse.
test('an announced body over the limit gets no 100 Continue', async (context) => {
  const { caller, received } = await open((fn) => context.after(fn));
  caller.write(head('Content-Length: 10000000\r\nExpect: 100-continue\r\n'));
  await waitUntil(() => received().includes('\r\n\r\n'));
  expect(received().startsWith('HTTP/1.1 413')).toEqual(true);
});

// Guards against a caller that waits for 100 Continue in vain.
test('an accepted head gets 100 Continue', async (context) => {
  const opened = await open((fn) => context.after(fn));
  const { caller, events, received } = opened;
  caller.write(EXPECTANT);
  await waitUntil(() => received().startsWith('HTTP/1.1 100 Continue\r\n\r\n'));
  expect(events).toEqual([]);
  caller.write('x'.repeat(900));
  await waitUntil(() => events.length > 0);
  sendShort(opened);
  await waitUntil(() => received().includes('HTTP/1.1 200'));
});

// Guards against a caller that waits for ever for an answer whose head cannot be written.
test('an answer that cannot be written closes the connection', async (context) => {
  const { server, caller, events, isClosed } = await open((fn) => context.after(fn));
  caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  await waitUntil(() => events.length > 0);
  const headers = [{ name: 'x-a', value: 'line\nbreak' }];
  const answer = { kind: EffectKind.SendAnswer, exchangeId: 1, status: 200, headers, body: [] };
  expect(() => server.sendAnswer({ ...answer, kind: EffectKind.SendAnswer })).toThrow();
  server.abortAnswer(1);
  await waitUntil(() => isClosed() || caller.destroyed);
});
