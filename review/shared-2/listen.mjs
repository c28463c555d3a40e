/* eslint-disable no-await-in-loop, no-bitwise, operator-assignment -- a script that runs as it is */
/** Helpers that every stand-in uses. */
import { once } from 'node:events';

/** Listens on a free port of a loopback address. */
export const listen = async (server, host = '127.0.0.1') => {
  server.listen(0, host);
  await once(server, 'listening');
  return server.address().port;
};

export const sleep = (delayMs) =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

/** Waits until a condition holds; false when it does not within the time. */
export const waitFor = async (condition, timeoutMs) => {
  const endAtMs = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() > endAtMs) {
      return false;
    }
    await sleep(20);
  }
  return true;
};

/** Small generator of random numbers in [0, 1) with a seed (mulberry32). */
export const createRandom = (seed) => {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) % 0x100000000;
    let value = Math.imul(state ^ (state >>> 15), 1 | state);
    value = (value + Math.imul(value ^ (value >>> 7), 61 | value)) ^ value;
    return ((value ^ (value >>> 14)) >>> 0) / 4294967296;
  };
};
