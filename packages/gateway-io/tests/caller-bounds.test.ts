/** @module Bounds on what callers may make a gateway keep, and the lines about what is dropped. */
import { test } from 'node:test';
import { expect } from 'earl';
import { LogTopic, type LogEffect } from '@ebonysill/gateway';
import { deriveCallerBounds } from '@ebonysill/http';
import { DropReporter, REPORT_INTERVAL_MS } from '../src/index.js';

/** Received in pieces and copied into one buffer. */
const PUBLISHED_BODY_TWICE_BYTES = 2 * 4_194_304;

// Guards against bounds that leave no room for one body of the published size.
test('every host has room for a published body', () => {
  [0, 64, 202, 602].forEach((memoryMb) => {
    const { maxHeldBytes } = deriveCallerBounds({ memoryMb, fileDescriptors: 2_069 });
    expect(maxHeldBytes).toBeGreaterThan(PUBLISHED_BODY_TWICE_BYTES);
  });
});

const BYTES_PER_MB = 1_048_576;

/** Memory of a gateway that serves ordinary callers. */
const GATEWAY_MB = 76;

/** Socket and parser of a connection. */
const CONNECTION_BYTES = 12_288;

/** What the system holds of a connection that is not accepted. */
const BACKLOG_BYTES = 65_536;

// Guards against a process that exceeds the memory of its host when all bounds are reached together.
test('all bounds together fit in the memory of the host', () => {
  [112, 160, 202, 272, 602].forEach((memoryMb) => {
    const { maxHeldBytes, maxUnreadBytes, maxConnectionCount, maxBacklogCount } =
      deriveCallerBounds({ memoryMb, fileDescriptors: 65_536 });
    // Answers of targets get as much as bodies of callers.
    const sumBytes =
      2 * maxHeldBytes +
      maxUnreadBytes +
      maxConnectionCount * CONNECTION_BYTES +
      maxBacklogCount * BACKLOG_BYTES;
    expect(GATEWAY_MB + sumBytes / BYTES_PER_MB).toBeLessThan(memoryMb + 1);
  });
});

// Guards against callers that take the descriptors of files, targets and the store.
test('connections leave descriptors for the rest of the process', () => {
  const { maxConnectionCount } = deriveCallerBounds({ memoryMb: 202, fileDescriptors: 2_069 });
  expect(maxConnectionCount).toEqual(1_401);
});

// Guards against a line for each connection of a flood.
test('a flood writes one line for a cause in an interval', (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] });
  const lines: LogEffect[] = [];
  const counted: string[] = [];
  const drops = DropReporter.create({
    write: (line) => lines.push(line),
    count: (cause) => counted.push(cause),
  });
  Array.from({ length: 1_000 }, () => drops.record('no-room'));
  drops.record('body-stalled');
  expect(lines.map(({ fields }) => [fields.reason, fields.count])).toEqual([
    ['no-room', 1],
    ['body-stalled', 1],
  ]);
  context.mock.timers.tick(REPORT_INTERVAL_MS);
  expect(lines.slice(2).map(({ topic, fields }) => [topic, fields.reason, fields.count])).toEqual([
    [LogTopic.CallersDropped, 'no-room', 999],
  ]);
  expect([lines.length, counted.length]).toEqual([3, 1_001]);
});
