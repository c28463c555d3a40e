/** @module Datagrams from hosts that are no peers. */
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import { LOOPBACK_HOST } from '@ebonysill/stand-ins';
import type { Event } from '@ebonysill/gateway';
import { DatagramPort } from '../src/index.js';

const BYTES_PER_MB = 1_048_576;

/** An array, a map, bytes and a text of 33,554,431 entries each, of which nothing follows. */
const ABSURD_HEADS = ['dd01ffffff', 'df01ffffff', 'c601ffffff', 'db01ffffff'];

const freePort = async (): Promise<number> => {
  const server = createServer().listen(0, LOOPBACK_HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
};

// Guards against a decoder that allocates what a datagram merely announces.
test('datagrams that announce more than they have cost nothing', async (context) => {
  const events: Event[] = [];
  const port = await freePort();
  const datagrams = await DatagramPort.create({
    listen: { host: LOOPBACK_HOST, port },
    post: (event) => events.push(event),
    onError: () => undefined,
  });
  const sender = createSocket('udp4');
  context.after(() => {
    datagrams.close();
    sender.close();
  });
  const { rss } = process.memoryUsage();
  ABSURD_HEADS.forEach((head) => sender.send(Buffer.from(head, 'hex'), port, LOOPBACK_HOST));
  await delay(200);
  expect(events).toEqual([]);
  expect((process.memoryUsage().rss - rss) / BYTES_PER_MB).toBeLessThan(64);
});
