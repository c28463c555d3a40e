/** @module Ports whose address is taken. */
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { expect } from 'earl';
import { LOOPBACK_HOST } from '@ebonysill/stand-ins';
import { CallerServer, DatagramPort, StatusServer, type ListenAddress } from '../src/index.js';

/** Long enough for an error of the system to arrive. */
const WAIT_MS = 1_000;

const takeTcpPort = async (context: TestContext): Promise<ListenAddress> => {
  const server = createServer();
  server.listen(0, LOOPBACK_HOST);
  await once(server, 'listening');
  context.after(() => server.close());
  return { host: LOOPBACK_HOST, port: (server.address() as AddressInfo).port };
};

const takeUdpPort = async (context: TestContext): Promise<ListenAddress> => {
  const socket = createSocket('udp4');
  socket.bind(0, LOOPBACK_HOST);
  await once(socket, 'listening');
  context.after(() => socket.close());
  return { host: LOOPBACK_HOST, port: socket.address().port };
};

/** Code of the error with which a promise rejects within a time; otherwise what it did. */
const errorOf = async (opening: Promise<unknown>): Promise<unknown> => {
  const timer = { current: setTimeout(() => undefined, 0) };
  const silence = new Promise<string>((resolve) => {
    timer.current = setTimeout(() => resolve('silent'), WAIT_MS);
  });
  const result = await Promise.race([
    opening.then(
      () => 'opened',
      (error: unknown) => (error as NodeJS.ErrnoException).code,
    ),
    silence,
  ]);
  clearTimeout(timer.current);
  return result;
};

const ignore = (): void => undefined;

test('a status server rejects when its address is taken', async (context) => {
  const listen = await takeTcpPort(context);
  const answer = (): { status: number; contentType: string; body: string } => ({
    status: 200,
    contentType: 'text/plain',
    body: '',
  });
  const code = await errorOf(StatusServer.create({ listen, answer, onError: ignore }));
  expect(code).toEqual('EADDRINUSE');
});

test('a datagram port rejects when its address is taken', async (context) => {
  const listen = await takeUdpPort(context);
  const code = await errorOf(DatagramPort.create({ listen, post: ignore, onError: ignore }));
  expect(code).toEqual('EADDRINUSE');
});

test('a caller server rejects when its address is taken', async (context) => {
  const listen = await takeTcpPort(context);
  const server = CallerServer.create({
    decode: () => undefined,
    post: ignore,
    isClosing: () => false,
    onError: ignore,
  });
  expect(await errorOf(server.listen(listen))).toEqual('EADDRINUSE');
});
