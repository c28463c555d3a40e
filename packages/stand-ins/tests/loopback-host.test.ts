/** @module Loopback addresses of test processes. */
import { isIPv4 } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { loopbackHostOf } from '../src/index.js';

const MAX_PROCESS_ID = 4_194_304;

// Guards against test processes that reach each other's servers.
test('each process has its own loopback address', () => {
  const ids = [1, 255, 256, 65_535, 65_536, 70_000, MAX_PROCESS_ID - 1, MAX_PROCESS_ID];
  const hosts = ids.map(loopbackHostOf);
  expect(new Set(hosts).size).toEqual(ids.length);
  expect(hosts.every(isIPv4)).toEqual(true);
});
