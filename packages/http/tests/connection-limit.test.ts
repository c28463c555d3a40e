/** @module Connections over the limit are closed in the order of their progress. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { ConnectionLimit } from '../src/index.js';

const HOST = '127.0.0.1';

interface Bench {
  readonly limit: ConnectionLimit;
  /** Connects; returns both ends. */
  readonly open: () => Promise<{ readonly client: Socket; readonly accepted: Socket }>;
}

const createBench = async (maxCount: number, after: (fn: () => void) => void): Promise<Bench> => {
  let nowMs = 0;
  const nextMs = (): number => {
    nowMs += 1;
    return nowMs;
  };
  const limit = ConnectionLimit.create({ maxCount, nowMs: nextMs });
  const server = createServer();
  limit.watch(server);
  server.listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  after(() => server.close());
  return {
    limit,
    open: async () => {
      const client = connect(port, HOST);
      client.on('error', () => client.destroy());
      client.resume();
      after(() => client.destroy());
      const [accepted] = (await once(server, 'connection')) as [Socket];
      accepted.on('error', () => accepted.destroy());
      accepted.resume();
      after(() => accepted.destroy());
      return { client, accepted };
    },
  };
};

// Connections that send nothing would take all descriptors.
test('the oldest connection without a request is closed', async (context) => {
  const { limit, open } = await createBench(2, (fn) => context.after(fn));
  const first = await open();
  const second = await open();
  const third = await open();
  expect([first, second, third].map(({ accepted }) => accepted.destroyed)).toEqual([
    true,
    false,
    false,
  ]);
  expect(limit.count).toEqual(2);
});

// A request that runs must not be cut off by clients that send nothing.
test('a connection with a request in progress stays', async (context) => {
  const { limit, open } = await createBench(2, (fn) => context.after(fn));
  const first = await open();
  limit.recordRequest(first.accepted);
  const second = await open();
  await open();
  expect([first.accepted.destroyed, second.accepted.destroyed]).toEqual([false, true]);
});

// Sound clients reuse idle connections; those that never sent a request go before them.
test('a connection that was used goes last', async (context) => {
  const { limit, open } = await createBench(2, (fn) => context.after(fn));
  const first = await open();
  limit.recordRequest(first.accepted);
  limit.recordAnswer(first.accepted);
  const second = await open();
  await open();
  expect([first.accepted.destroyed, second.accepted.destroyed]).toEqual([false, true]);
});

// With requests on all others, only the new connection can go.
test('a new connection is closed when all others are in use', async (context) => {
  const { limit, open } = await createBench(1, (fn) => context.after(fn));
  const first = await open();
  limit.recordRequest(first.accepted);
  const second = await open();
  expect([first.accepted.destroyed, second.accepted.destroyed]).toEqual([false, true]);
});
