/** @module A body costs about its bytes however it is chunked, and is returned unchanged. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { BodyBuffer } from '../src/index.js';

const MAX_SLACK_BYTES = 65_536;

// Kept slices would hold 64 KB each; one object a chunk would exhaust the heap.
test('bytes of one cost at most twice their number', () => {
  const body = BodyBuffer.create();
  const block = Buffer.alloc(MAX_SLACK_BYTES, 'x');
  Array.from({ length: 60_000 }, (_, index) => body.push(block.subarray(index, index + 1)));
  expect(body.sizeBytes).toEqual(60_000);
  expect(body.allocatedBytes).toBeLessThan(120_001);
});

// Doubling without a limit would take 8 MB for a body of 4 MB and a byte.
test('a large body costs its bytes and one piece', () => {
  const body = BodyBuffer.create();
  const chunk = Buffer.alloc(10_000);
  Array.from({ length: 420 }, () => body.push(chunk));
  expect(body.allocatedBytes - body.sizeBytes).toBeLessThan(MAX_SLACK_BYTES + 1);
});

// Bytes must not be lost or reordered where a chunk spans two pieces.
test('the body is the concatenation of its chunks', () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 3_000 })), (chunks) => {
      const body = BodyBuffer.create();
      chunks.forEach((chunk) => body.push(chunk));
      expect(body.take().equals(Buffer.concat(chunks))).toEqual(true);
      expect([body.sizeBytes, body.allocatedBytes]).toEqual([0, 0]);
    }),
  );
});
