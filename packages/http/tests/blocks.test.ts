/** @module Blocks of bytes that are used again, and those that are collected. */
import { test } from 'node:test';
import { expect } from 'earl';
import { GarbageMeter } from '../src/index.js';
import PiecePool from '../src/PiecePool.js';

// Guards against 60 MB of blocks that V8 does not collect, since they take little of its heap.
test('blocks are collected after each megabyte', () => {
  let collectedCount = 0;
  const garbage = GarbageMeter.create(() => {
    collectedCount += 1;
  });
  Array.from({ length: 64 }, () => garbage.recordBlock(65_536));
  expect(collectedCount).toEqual(4);
});

// Guards against new memory for each body while pieces of dropped ones wait to be collected.
test('a piece that was given back is used again', () => {
  const pool = PiecePool.create();
  const piece = pool.take(40_000);
  expect(piece.length).toEqual(65_536);
  pool.give(piece);
  expect(pool.take(65_536) === piece).toEqual(true);
  expect(pool.take(65_536) === piece).toEqual(false);
});

// Guards against a pool that keeps what all bodies together once took.
test('a pool keeps a bounded number of pieces', () => {
  const pool = PiecePool.create();
  const pieces = Array.from({ length: 200 }, () => pool.take(65_536));
  pieces.forEach((piece) => pool.give(piece));
  const again = Array.from({ length: 200 }, () => pool.take(65_536));
  expect(again.filter((piece) => pieces.includes(piece)).length).toEqual(128);
});
