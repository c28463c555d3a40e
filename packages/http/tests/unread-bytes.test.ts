/** @module Which connections are closed when too many of their bytes wait to be read. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import UnreadBytes, { type UnreadConnection } from '../src/UnreadBytes.js';

const MAX_BYTES = 200_000;

/** More than this in one read means that the system holds as much again. */
const FULL_READ_BYTES = 65_536;

interface FakeConnection extends UnreadConnection {
  pending: number;
  isDropped: boolean;
}

const createConnection = (pending: number): FakeConnection => {
  const connection: FakeConnection = {
    pending,
    isDropped: false,
    pendingBytes: () => connection.pending,
    drop: () => {
      connection.isDropped = true;
    },
  };
  return connection;
};

// Guards against ordinary requests that are closed instead of those that hold the memory.
test('the connection with most bytes is closed first', () => {
  const unread = UnreadBytes.create(MAX_BYTES);
  const [small, large, other] = [2_000, FULL_READ_BYTES, 70_000].map(createConnection);
  [small, large, other].forEach((connection) => connection && unread.recordReceived(connection));
  expect([small, large, other].map((connection) => connection?.isDropped)).toEqual([
    false,
    false,
    true,
  ]);
});

// Guards against connections that count for ever although nothing of them waits any more.
test('a connection without further reads is forgotten after some turns', () => {
  const unread = UnreadBytes.create(MAX_BYTES);
  const connection = createConnection(FULL_READ_BYTES);
  unread.recordReceived(connection);
  connection.pending = 0;
  unread.recordParsed(connection);
  expect(unread.sumBytes).toBeGreaterThan(0);
  Array.from({ length: 5 }, () => unread.endTurn());
  expect([unread.sumBytes, unread.hasUncertain]).toEqual([0, false]);
});

test('what waits never exceeds the bound', () => {
  fc.assert(
    fc.property(fc.array(fc.nat({ max: 150_000 })), (sizes) => {
      const unread = UnreadBytes.create(MAX_BYTES);
      sizes.map(createConnection).forEach((connection) => {
        unread.recordReceived(connection);
        expect(unread.sumBytes).toBeLessThan(MAX_BYTES + 1);
      });
    }),
  );
});
