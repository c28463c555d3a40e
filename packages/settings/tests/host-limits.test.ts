/** @module Limits of the host in the settings of a gateway, which a template may leave as they are. */
import { test } from 'node:test';
import { expect } from 'earl';
import { SettingsVerdict, gatewaySettingsSchema, parseSettings } from '../src/index.js';

const SETTINGS = {
  processName: 'gateway-1',
  availabilityZone: 'zone-a',
  host: '127.0.0.1',
  peerPort: 1,
  seedAddresses: [],
  callerAddress: '127.0.0.1:2',
  readinessAddress: '127.0.0.1:3',
  metricsPort: 4,
  storeAddress: '127.0.0.1:5',
  graceSeconds: 5,
  retryBudget: { ratio: 0.2, windowSeconds: 10, extraCount: 100 },
};

const limitsOf = (fields: object): unknown => {
  const text = JSON.stringify({ ...SETTINGS, ...fields });
  const result = parseSettings(gatewaySettingsSchema, text, 'f');
  return result.kind === SettingsVerdict.Accepted
    ? [result.value.memoryMb, result.value.fileDescriptors, result.value.bodyTimeoutSeconds]
    : result.problems;
};

test('the limits of the host are read from text', () => {
  expect(limitsOf({ memoryMb: '602', fileDescriptors: '8192' })).toEqual([602, 8_192, 10]);
});

// Guards against a gateway that does not start where the platform names no limits.
test('text that is no number means the smallest host', () => {
  const smallest = [202, 2_069, 10];
  expect(limitsOf({})).toEqual(smallest);
  expect(
    limitsOf({ memoryMb: '{{limits.memory-mb}}', fileDescriptors: '{{limits.file-descriptors}}' }),
  ).toEqual(smallest);
  expect(limitsOf({ memoryMb: '-1', fileDescriptors: '0' })).toEqual(smallest);
});
