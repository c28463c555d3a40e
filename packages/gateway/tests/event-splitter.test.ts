/** @module Whole events from bytes that come in any pieces. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { EventSplitter } from '../src/index.js';

test('cuts at blank lines, however the bytes come', () => {
  fc.assert(
    fc.property(
      fc.array(fc.string({ unit: 'grapheme-ascii', maxLength: 12 }), { maxLength: 8 }),
      fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 60 }),
      (texts, sizes) => {
        const events = texts.map((text, index) => `id: ${index}\ndata: ${text.trim()}.\n\n`);
        const bytes = Buffer.from(events.join(''));
        const splitter = EventSplitter.create();
        const out: string[] = [];
        let at = 0;
        let turn = 0;
        while (at < bytes.length) {
          const size = sizes[turn % sizes.length] ?? 1;
          splitter
            .push(bytes.subarray(at, at + size))
            .forEach(({ data }) => out.push(Buffer.from(data).toString()));
          at += size;
          turn += 1;
        }
        expect(out).toEqual(events);
        expect(splitter.pendingBytes).toEqual(0);
      },
    ),
  );
});

test('holds back a torn event', () => {
  const splitter = EventSplitter.create();
  expect(splitter.push(Buffer.from('id: 1\nda')).length).toEqual(0);
  expect(splitter.pendingBytes).toEqual(8);
});

test('takes carriage returns', () => {
  const [event] = EventSplitter.create().push(Buffer.from('id: 7\r\ndata: a\r\n\r\n'));
  expect(event?.id).toEqual('7');
});
