/** @module Counters that follow from log lines. */
import { test } from 'node:test';
import { EffectKind, LogLevel, LogTopic, type LogFields } from '@ebonysill/gateway';
import { expect } from 'earl';
import MetricsRecorder from '../src/MetricsRecorder.js';

const linesOf = (fields: LogFields): readonly string[] => {
  const metrics = MetricsRecorder.create();
  const topic = LogTopic.RequestEnded;
  metrics.recordDecision({ kind: EffectKind.Log, level: LogLevel.Info, topic, fields });
  return metrics.format().split('\n');
};

// Guards against refusals whose cause operators cannot tell from the counters.
test('refusals are counted by whom their cause concerns', () => {
  const lines = linesOf({ outcome: 'refused', reason: 'knowledge-too-old', scope: 'gateway' });
  const name = 'ebonysill_refusals_total{scope="gateway",reason="knowledge-too-old"} 1';
  expect(lines.includes(name)).toEqual(true);
});

test('requests that waited are counted by how they left the queue', () => {
  const lines = linesOf({ service: 'plain', outcome: 'served', waitOutcome: 'started' });
  expect(lines.includes('ebonysill_waits_total{service="plain",outcome="started"} 1')).toEqual(
    true,
  );
});

test('requests that neither waited nor were refused add no counter', () => {
  const lines = linesOf({ service: 'plain', outcome: 'served', reason: 'answered' });
  expect(lines.filter((line) => /waits|refusals/.test(line))).toEqual([]);
});
