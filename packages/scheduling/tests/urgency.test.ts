/** @module Priorities that are published for organisations and routes. */
import { test } from 'node:test';
import { expect } from 'earl';
import { priorityOf } from '../src/index.js';

test('the priority of the organisation goes before that of the route', () => {
  expect(priorityOf({ organisationPriority: 0, routePriority: 2 })).toEqual(0);
});

test('a route has its own priority for organisations without one', () => {
  expect(priorityOf({ routePriority: 2 })).toEqual(2);
});

test('priorities out of range count as the nearest that targets accept', () => {
  expect([-3, 40, NaN].map((routePriority) => priorityOf({ routePriority }))).toEqual([0, 9, 9]);
});
