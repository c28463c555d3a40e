/** @module Checks whether a target has crashed. */
import { createServer, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { TargetReachability } from '@ebonysill/gateway';
import { expect } from 'earl';
import checkReachability from '../src/checkReachability.js';

const TIMEOUT_MS = 300;

const check = (address: string): Promise<TargetReachability> =>
  new Promise((resolve) => {
    checkReachability(address, TIMEOUT_MS, resolve);
  });

const listen = async (): Promise<{ address: string; close: () => Promise<void> }> => {
  const server = createServer((socket) => socket.on('error', () => undefined));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
      }),
  };
};

test('a target that accepts connections is listening', async () => {
  const { address, close } = await listen();
  expect(await check(address)).toEqual(TargetReachability.Listening);
  await close();
});

test('a target whose process has ended is refusing', async () => {
  const { address, close } = await listen();
  await close();
  expect(await check(address)).toEqual(TargetReachability.Refusing);
});
