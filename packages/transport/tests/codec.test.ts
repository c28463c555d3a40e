import { test } from 'node:test';
import { MessageKind, Outcome, Reason, type Message } from '@ebonysill/core';
import { expect } from 'earl';
import fc from 'fast-check';
import { createSplitter } from '../src/chunk-splitter.js';
import { FrameReader, frame } from '../src/frame-reader.js';
import { decodeMessage, encodeMessage } from '../src/message-codec.js';

const RUNS = { seed: 6, numRuns: 500 };

const PLAIN = { noNullPrototype: true };

const messages: fc.Arbitrary<Message> = fc.oneof(
  fc.record(
    {
      kind: fc.constant(MessageKind.RunChunk as const),
      runId: fc.string({ maxLength: 30 }),
      sequence: fc.nat(),
      data: fc.string(),
    },
    PLAIN,
  ),
  fc.record(
    {
      kind: fc.constant(MessageKind.Credit as const),
      runId: fc.string({ maxLength: 30 }),
      chunkCount: fc.nat(),
    },
    PLAIN,
  ),
  fc.record(
    {
      kind: fc.constant(MessageKind.RunFailed as const),
      runId: fc.string({ maxLength: 30 }),
      problem: fc.record(
        {
          outcome: fc.constantFrom(...Object.values(Outcome)),
          reason: fc.constantFrom(...Object.values(Reason)),
          detail: fc.string(),
        },
        PLAIN,
      ),
    },
    PLAIN,
  ),
);

test('messages survive encoding and decoding', () => {
  fc.assert(
    fc.property(messages, (message) => {
      expect(decodeMessage(encodeMessage(message))).toEqual(message);
    }),
    RUNS,
  );
});

test('random bytes decode to undefined', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      expect(decodeMessage(bytes)).toEqual(undefined);
    }),
    RUNS,
  );
});

test('decoding a corrupted message never throws', () => {
  fc.assert(
    fc.property(messages, fc.nat(), fc.nat(255), (message, position, value) => {
      const bytes = encodeMessage(message);
      bytes[position % bytes.length] = value;
      const decoded = decodeMessage(bytes);
      expect(decoded === undefined || typeof decoded.kind === 'string').toEqual(true);
    }),
    RUNS,
  );
});

test('frames are reassembled from pieces of any size', () => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({ maxLength: 50 })),
      fc.integer({ min: 1, max: 20 }),
      (payloads, pieceSize) => {
        const stream = Buffer.concat(payloads.map((payload) => frame(Buffer.from(payload))));
        const reader = FrameReader.create();
        const pieceCount = Math.ceil(stream.length / pieceSize);
        const frames = Array.from({ length: pieceCount }, (_, index) =>
          reader.push(stream.subarray(index * pieceSize, (index + 1) * pieceSize)),
        ).flatMap((complete) => complete ?? []);
        expect(frames.map((bytes) => [...bytes])).toEqual(payloads.map((bytes) => [...bytes]));
      },
    ),
    RUNS,
  );
});

test('rejects a frame above the size limit', () => {
  expect(FrameReader.create().push(Buffer.from([255, 255, 255, 255]))).toEqual(undefined);
});

test('chunks do not depend on how the text arrives', () => {
  const text = 'data: 1\n\ndata: 2\n\ndata: 3';
  fc.assert(
    fc.property(fc.array(fc.nat(text.length)), (cuts) => {
      const bounds = [0, ...[...cuts].sort((left, right) => left - right), text.length];
      const splitter = createSplitter('text/event-stream; charset=utf-8');
      const chunks = bounds.flatMap((bound, index) =>
        splitter.push(text.slice(bound, bounds[index + 1] ?? text.length)),
      );
      expect([...chunks, ...splitter.flush()]).toEqual(['data: 1\n\n', 'data: 2\n\n', 'data: 3']);
    }),
    RUNS,
  );
});
