import { test } from 'node:test';
import { Continuation, DuplicateCheck } from '@ebonysill/core';
import { expect } from 'earl';
import {
  AnswerState,
  CallerAgent,
  createFleet,
  modelService,
  plainService,
  expectedAnswer,
  type Fleet,
} from '../src/index.js';

const CHUNK_COUNT = 5;

const startFleet = (seed: number, onTrace: (line: string) => void): Fleet =>
  createFleet({
    seed,
    onTrace,
    entryCount: 3,
    shape: {
      zones: ['kochi', 'thrissur', 'kozhikode'],
      targetsPerZone: 2,
      services: [
        modelService('listing-writer', Continuation.Resume),
        plainService('bookings', DuplicateCheck.None),
      ],
      organisations: ['kochi-tea'],
      concurrency: 8,
      coldConcurrency: 2,
    },
    targetOptions: () => ({
      holdMs: 5,
      chunkCount: CHUNK_COUNT,
      chunkIntervalMs: 10,
      executedKeys: undefined,
      coldMs: 0,
      coldConcurrency: 2,
      healthLagMs: 0,
    }),
  });

const sendAll = ({ emulation, entries }: Fleet): readonly CallerAgent[] =>
  Array.from({ length: 40 }, (_, index) =>
    CallerAgent.create(emulation, {
      service: index % 2 === 0 ? 'listing-writer' : 'bookings',
      body: `call-${index}`,
      organisationId: 'kochi-tea',
      isKeyed: index % 2 === 1,
      entryIds: [entries[index % entries.length]?.processId ?? ''],
      maxSends: 2,
      answerTimeoutMs: 10_000,
    }),
  );

const runTraced = (seed: number): string => {
  const lines: string[] = [];
  const fleet = startFleet(seed, (line) => lines.push(line));
  sendAll(fleet);
  fleet.emulation.runFor(5_000);
  return lines.join('\n');
};

test('every call gets its complete answer and runs once', () => {
  const fleet = startFleet(7, () => undefined);
  const agents = sendAll(fleet);
  fleet.emulation.runFor(5_000);
  agents.forEach(({ finalAnswer, sends }) => {
    const body = sends[0]?.body ?? '';
    expect(finalAnswer?.state).toEqual(AnswerState.Ended);
    expect(finalAnswer?.text).toEqual(expectedAnswer(body, CHUNK_COUNT));
    expect(fleet.emulation.runsOf(body).count).toEqual(1);
  });
});

test('same seed, same trace', () => {
  const first = runTraced(11);
  expect(first === runTraced(11)).toEqual(true);
  expect(first === runTraced(12)).toEqual(false);
});
