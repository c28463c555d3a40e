/** @module Complete events from byte streams in chunks of any size. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { EventSplitter } from '../src/index.js';

test('splits at blank lines, whatever the chunk sizes', () => {
  fc.assert(
    fc.property(
      fc.array(fc.string({ unit: 'grapheme-ascii', maxLength: 12 }), { maxLength: 8 }),
      fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 60 }),
      (texts, sizes) => {
        const events = texts.map((text, index) => `id: ${index}\ndata: ${text.trim()}.\n\n`);
        const bytes = Buffer.from(events.join(''));
        const splitter = EventSplitter.create();
        const received: string[] = [];
        let offset = 0;
        let chunkIndex = 0;
        while (offset < bytes.length) {
          const size = sizes[chunkIndex % sizes.length] ?? 1;
          splitter
            .push(bytes.subarray(offset, offset + size))
            .forEach(({ data }) => received.push(Buffer.from(data).toString()));
          offset += size;
          chunkIndex += 1;
        }
        expect(received).toEqual(events);
        expect(splitter.pendingBytes).toEqual(0);
      },
    ),
  );
});

test('buffers an incomplete event', () => {
  const splitter = EventSplitter.create();
  expect(splitter.push(Buffer.from('id: 1\nda')).length).toEqual(0);
  expect(splitter.pendingBytes).toEqual(8);
});

test('accepts carriage returns', () => {
  const [event] = EventSplitter.create().push(Buffer.from('id: 7\r\ndata: a\r\n\r\n'));
  expect(event?.id).toEqual('7');
});
