/** @module The age of what agents and drivers know, also after they were suspended. */
import { test } from 'node:test';
import {
  EffectKind,
  EventKind,
  PeerMessageKind,
  momentNow,
  type Effect,
  type PeerMessage,
  type RankReport,
  type Runtime,
} from '@ebonysill/gateway';
import { expect } from 'earl';
import ArrivalBound from '../src/ArrivalBound.js';
import GroupView from '../src/GroupView.js';
import PopularityMeter from '../src/PopularityMeter.js';
import { Agent, DRIVER, reportOf } from './agent.js';

const { ArmMap, ConfirmHold, HoldConfirmed, PrepareMap, RankState } = PeerMessageKind;

const PEER = '10.0.0.2:7000';

const messagesOf = (effects: readonly Effect[]): readonly PeerMessage[] =>
  effects.flatMap((effect) => (effect.kind === EffectKind.SendToPeer ? [effect.message] : []));

const isSent = (effects: readonly Effect[], kind: PeerMessageKind): boolean =>
  messagesOf(effects).some((message) => message.kind === kind);

/** How an agent stands still for ten seconds. */
const suspensions: readonly (readonly [string, (agent: Agent) => void])[] = [
  ['process', (agent) => agent.wait(10_000)],
  ['machine', (agent) => agent.suspendMachine(10_000)],
];

const CONFIRM = { kind: ConfirmHold, groupName: 'group-1', epoch: 1, step: 12 } as const;

suspensions.forEach(([name, suspend]) => {
  // Guards against a promise to retain a hold that has ended while the agent stood still.
  test(`a report from before a suspension confirms no hold: ${name}`, () => {
    const agent = Agent.create();
    agent.answer(reportOf());
    agent.ask();
    suspend(agent);
    const stale = [...agent.answer(reportOf({ heldStep: 12 })), ...agent.receive(CONFIRM)];
    expect(isSent(stale, HoldConfirmed)).toEqual(false);
    // The request to confirm has made the agent ask again.
    expect(isSent(agent.answer(reportOf({ heldStep: 12 })), HoldConfirmed)).toEqual(true);
  });

  // Guards against an order that follows from the state of the engine before a suspension.
  test(`a report from before a suspension leads to no order: ${name}`, () => {
    const agent = Agent.create();
    agent.answer(reportOf({ preparedVersion: 1_024 }));
    suspend(agent);
    const arm = { kind: ArmMap, groupName: 'group-1', epoch: 1, version: 1_024, step: 12 } as const;
    expect(agent.receive(arm).map(({ kind }) => kind)).toEqual([EffectKind.QueryRank]);
    agent.answer(reportOf({ preparedVersion: 1_024 }));
    expect(agent.receive(arm).map(({ kind }) => kind)).toEqual([EffectKind.SendOrder]);
  });
});

// Guards against a driver that takes a slow answer of an engine for a new one.
test('the state of a rank tells how old it is', () => {
  const agent = Agent.create();
  agent.meet('agent-0', DRIVER);
  agent.wait(300);
  const [state] = messagesOf(agent.answer(reportOf())).filter(({ kind }) => kind === RankState);
  expect(state?.kind === RankState && state.ageMs).toEqual(300);
});

const stateOf = (report: RankReport, ageMs = 0): PeerMessage => ({
  kind: RankState,
  report,
  ageMs,
  engineAddress: '10.0.0.2:80',
});

/** An engine reports counts of which the first expert has most. */
const countExperts = (agent: Agent, count: number): void => {
  agent.post({
    kind: EventKind.ExpertsCounted,
    rankCounts: {
      epoch: 1,
      mapVersion: 0,
      counts: [[count, count, count / 100, count / 100]],
      experts: [[0, 1]],
    },
  });
};

/** The driver of two ranks whose next evaluation begins a change. */
const driver = (): Agent => {
  const agent = Agent.create();
  agent.answer(reportOf());
  agent.meet('agent-2', PEER);
  agent.receive({
    kind: PeerMessageKind.EngineLimits,
    placesPerRank: 3,
    spareCapacity: 1,
    expertCopyMs: 100,
  });
  [0, 10_000].forEach((count) => countExperts(agent, count));
  agent.receive(
    {
      kind: PeerMessageKind.RankCountDelta,
      groupName: 'group-1',
      rank: 1,
      increase: { counts: [[0, 0, 1, 1]], unit: 1, mapVersion: 0, experts: [[2, 3]] },
    },
    PEER,
  );
  agent.receive(stateOf(reportOf({ rank: 1 })), PEER);
  return agent;
};

/** A step in which both ranks report a state and the driver evaluates; returns its effects. */
const step = (agent: Agent, state: Partial<RankReport>): readonly Effect[] => {
  const effects = agent.tick();
  agent.ask();
  return [
    ...effects,
    ...agent.answer(reportOf(state)),
    ...agent.receive(stateOf(reportOf({ ...state, rank: 1 })), PEER),
  ];
};

interface Holding {
  readonly agent: Agent;
  readonly preparedVersion: number;
  readonly confirmation: PeerMessage;
}

/** A driver that has asked for the confirmation of a hold, and the confirmation. */
const holding = (): Holding => {
  const agent = driver();
  const [prepare] = messagesOf(agent.tick()).filter(({ kind }) => kind === PrepareMap);
  const preparedVersion = prepare?.kind === PrepareMap ? prepare.version : 0;
  const effects = Array.from({ length: 10 }, () => step(agent, { preparedVersion })).flat();
  const [confirm] = messagesOf(effects).filter(({ kind }) => kind === ConfirmHold);
  const heldStep = confirm?.kind === ConfirmHold ? confirm.step : 0;
  const report = reportOf({ rank: 1, preparedVersion, heldStep });
  return {
    agent,
    preparedVersion,
    confirmation: { kind: HoldConfirmed, report, ageMs: 0, engineAddress: '10.0.0.2:80' },
  };
};

test('a confirmation lets a driver arm the ranks', () => {
  const { agent, confirmation } = holding();
  expect(isSent(agent.receive(confirmation, PEER), ArmMap)).toEqual(true);
});

suspensions.forEach(([name, suspend]) => {
  // Guards against ranks that are armed for a pass whose hold another driver has released.
  test(`a confirmation that waited during a suspension is ignored: ${name}`, () => {
    const { agent, preparedVersion, confirmation } = holding();
    suspend(agent);
    // The timer of the driver may run before the messages that waited.
    const ignored = [
      ...agent.receive(confirmation, PEER),
      ...agent.tick(),
      ...agent.receive(confirmation, PEER),
      ...step(agent, { preparedVersion }),
      ...agent.tick(),
    ];
    expect(isSent(ignored, ArmMap)).toEqual(false);
    // The driver has asked again.
    expect(isSent(ignored, ConfirmHold)).toEqual(true);
    expect(isSent(agent.receive(confirmation, PEER), ArmMap)).toEqual(true);
  });

  // Guards against a change that begins by what a driver knew before it stood still.
  test(`a driver begins no change with reports from before a suspension: ${name}`, () => {
    const agent = driver();
    suspend(agent);
    agent.ask();
    agent.answer(reportOf());
    countExperts(agent, 20_000);
    agent.receive(stateOf(reportOf({ rank: 1 })), PEER);
    expect(isSent(agent.tick(), PrepareMap)).toEqual(false);
  });
});

interface Clock extends Runtime {
  readonly suspend: (spanMs: number) => void;
}

const createClock = (): Clock => {
  let suspendedMs = 0;
  return {
    nowMs: () => 0,
    suspendAwareMs: () => suspendedMs,
    random: () => 0.5,
    suspend: (spanMs) => {
      suspendedMs += spanMs;
    },
  };
};

// Guards against a driver that acts on reports from before its machine was suspended.
test('suspended time counts in the age of reports', () => {
  const clock = createClock();
  const view = GroupView.create(clock);
  const report = reportOf({ rankCount: 1 });
  view.recordReport({
    agentAddress: PEER,
    engineAddress: '10.0.0.2:80',
    report,
    asOf: momentNow(clock),
  });
  expect(view.currentRanks()?.length).toEqual(1);
  clock.suspend(1_400);
  expect(view.currentRanks()).toEqual(undefined);
});

// Guards against messages that count as new after they waited in the socket.
test('a message counts from the timer before the last one', () => {
  const clock = createClock();
  const arrivals = ArrivalBound.create(clock);
  clock.suspend(40);
  arrivals.tick();
  clock.suspend(10_000);
  arrivals.tick();
  expect(arrivals.earliest().atSuspendAwareMs).toEqual(40);
  clock.suspend(40);
  arrivals.tick();
  expect(arrivals.earliest().atSuspendAwareMs).toEqual(10_040);
});

// Guards against plans by the popularity of before a suspension.
test('suspended time counts in the age of popularity', () => {
  const clock = createClock();
  const meter = PopularityMeter.create(clock);
  meter.record({ counts: [[10_000]], unit: 1, mapVersion: 0, experts: [[0]] });
  clock.suspend(10_000);
  meter.estimate();
  expect(meter.total() < 1).toEqual(true);
});
