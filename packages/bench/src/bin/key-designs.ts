#!/usr/bin/env node
/** @module Compares designs that run a keyed call at most once. */
import { createRandom } from '@ebonysill/emulator';
import { DesignModel, KeyDesign, type Conditions } from '../designs/key-design.js';

const CALL_COUNT = 20_000;

const SEED = 1;

/** The usual size of a plain service, with no zone down and no restarts. */
const HEALTHY: Conditions = {
  processCount: 3,
  zoneCount: 3,
  zonesDown: 0,
  restartChance: 0,
  resendChance: 0.02,
  lossChance: 0.05,
};

const CONDITIONS: readonly (readonly [string, Conditions])[] = [
  ['healthy', HEALTHY],
  ['one zone of three down', { ...HEALTHY, zonesDown: 1 }],
  ['restarts', { ...HEALTHY, restartChance: 0.01 }],
  ['zone down and restarts', { ...HEALTHY, zonesDown: 1, restartChance: 0.01 }],
];

const formatPercent = (count: number, total: number): string =>
  `${((100 * count) / total).toFixed(2)} %`;

CONDITIONS.forEach(([name, conditions]) => {
  process.stdout.write(`${name}\n`);
  Object.values(KeyDesign).forEach((design) => {
    const counts = DesignModel.create(design, conditions, createRandom(SEED)).runCalls(CALL_COUNT);
    process.stdout.write(
      `  ${design.padEnd(20)} served ${formatPercent(counts.servedCount, CALL_COUNT).padStart(8)}` +
        `  doubled ${String(counts.duplicatedCallCount).padStart(5)}` +
        `  unknown ${formatPercent(counts.unknownCount, CALL_COUNT).padStart(8)}` +
        `  messages/call ${(counts.messageCount / CALL_COUNT).toFixed(1)}\n`,
    );
  });
});
