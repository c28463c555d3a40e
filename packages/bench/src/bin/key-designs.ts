#!/usr/bin/env node
/** @module Weighs the ways to run a keyed call at most once. */
import { createRandom } from '@ebonysill/emulator';
import { DesignModel, KeyDesign, type Conditions } from '../designs/key-design.js';

const CALLS = 20_000;

const SEED = 1;

/** Processes of a plain service today. */
const FEW: Conditions = {
  processCount: 3,
  zoneCount: 3,
  zonesDown: 0,
  restartChance: 0,
  resendChance: 0.02,
  lossChance: 0.05,
};

const CONDITIONS: readonly (readonly [string, Conditions])[] = [
  ['healthy', FEW],
  ['one zone of three down', { ...FEW, zonesDown: 1 }],
  ['restarts', { ...FEW, restartChance: 0.01 }],
  ['zone down and restarts', { ...FEW, zonesDown: 1, restartChance: 0.01 }],
];

const share = (count: number, total: number): string => `${((100 * count) / total).toFixed(2)} %`;

CONDITIONS.forEach(([name, conditions]) => {
  process.stdout.write(`${name}\n`);
  Object.values(KeyDesign).forEach((design) => {
    const tally = DesignModel.create(design, conditions, createRandom(SEED)).tally(CALLS);
    process.stdout.write(
      `  ${design.padEnd(20)} served ${share(tally.servedCount, CALLS).padStart(8)}` +
        `  doubled ${String(tally.doubledCount).padStart(5)}` +
        `  unknown ${share(tally.unknownCount, CALLS).padStart(8)}` +
        `  messages/call ${(tally.messageCount / CALLS).toFixed(1)}\n`,
    );
  });
});
