import { test } from 'node:test';
import { LogLevel, LogTopic, EffectKind, Outcome, Reason, type LogFields } from '@ebonysill/core';
import { BurnMeter } from '@ebonysill/transport';
import { expect } from 'earl';
import { formatBurnPage, formatBurnTable, mergeBurn } from '../src/index.js';

const MINUTE_MS = 60_000;

let nowMs = 0;

const recordRequest = (meter: BurnMeter, fields: LogFields): void =>
  meter.record({
    kind: EffectKind.Log,
    level: LogLevel.Info,
    topic: LogTopic.RequestEnded,
    fields: { service: 'bookings', durationMs: 10, ...fields },
  });

const createMeter = (): BurnMeter => {
  nowMs = 600 * MINUTE_MS;
  const meter = BurnMeter.create(() => nowMs);
  Array.from({ length: 99 }, () => recordRequest(meter, { outcome: Outcome.Done }));
  recordRequest(meter, { outcome: Outcome.Unknown, reason: Reason.TargetLost });
  return meter;
};

test('burn rate covers the requests of all processes', () => {
  const [line] = mergeBurn([createMeter().report(), createMeter().report()], 0.99);
  expect([line?.totalCount, line?.badCount, line?.burnRate.toFixed(3)]).toEqual([200, 2, '1.000']);
  expect(line?.reasons).toEqual([{ reason: Reason.TargetLost, count: 2 }]);
});

test('errors of callers do not count as bad', () => {
  const meter = createMeter();
  recordRequest(meter, { outcome: Outcome.RefusedNotRun, reason: Reason.KeySpent });
  expect(mergeBurn([meter.report()], 0.99)[0]?.badCount).toEqual(1);
});

test('old requests drop out of short windows', () => {
  const meter = createMeter();
  nowMs += 30 * MINUTE_MS;
  const lines = mergeBurn([meter.report()], 0.99);
  expect(lines.map(({ totalCount }) => totalCount)).toEqual([0, 100, 100]);
});

test('table names reasons and page escapes HTML', () => {
  const lines = mergeBurn([createMeter().report()], 0.999);
  expect(formatBurnTable(lines).includes('target-lost 1')).toEqual(true);
  const page = formatBurnPage([{ ...lines[0]!, service: '<script>' }], 0.999);
  expect(page.includes('<script>')).toEqual(false);
});
