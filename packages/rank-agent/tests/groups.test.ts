/** @module Messages of the drivers of other groups. */
import { test } from 'node:test';
import { EffectKind, PeerMessageKind, type Effect, type PeerMessage } from '@ebonysill/gateway';
import { expect } from 'earl';
import { Agent, reportOf } from './agent.js';

const ordersOf = (effects: readonly Effect[]): readonly string[] =>
  effects.flatMap((effect) => (effect.kind === EffectKind.SendOrder ? [effect.order.kind] : []));

interface Case {
  readonly message: Extract<PeerMessage, { readonly epoch: number }>;
  /** State of the engine in which it gets an order by the message. */
  readonly heldStep?: number;
  readonly preparedVersion?: number;
  readonly armedVersion?: number;
}

const TARGET = { groupName: 'group-1', epoch: 1 };

const cases: readonly Case[] = [
  { message: { kind: PeerMessageKind.ReleaseStep, ...TARGET, step: 12 }, heldStep: 12 },
  { message: { kind: PeerMessageKind.HoldStep, ...TARGET, step: 12 } },
  {
    message: { kind: PeerMessageKind.ArmMap, ...TARGET, step: 12, version: 1_024 },
    preparedVersion: 1_024,
  },
  {
    message: { kind: PeerMessageKind.DisarmMap, ...TARGET, version: 1_024 },
    armedVersion: 1_024,
  },
  { message: { kind: PeerMessageKind.PrepareMap, ...TARGET, version: 1_024, placement: [] } },
];

cases.forEach(({ message, ...state }) => {
  // Guards against orders for another group: epochs of different groups are often the same.
  test(`a message of another group is not carried out: ${message.kind}`, () => {
    const agent = Agent.create();
    agent.answer(reportOf(state));
    expect(ordersOf(agent.receive({ ...message, groupName: 'group-2' }))).toEqual([]);
    expect(ordersOf(agent.receive(message)).length).toEqual(1);
  });
});
