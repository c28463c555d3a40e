import { test } from 'node:test';
import {
  EffectKind,
  EventKind,
  LogLevel,
  LogTopic,
  MessageKind,
  Outcome,
  ServiceName,
  type Effect,
} from '@ebonysill/core';
import {
  AnswerState,
  CallerAgent,
  FakeConfigurationMode,
  POISON_PREFIX,
  Step,
  expectedAnswer,
  type Fleet,
} from '@ebonysill/emulator';
import { expect } from 'earl';
import { MODEL, PLAIN, ZONES, sendStreams, startScenario } from './scenario.js';

/** Promised: a zone that was taken out gets no new work after this time. */
const ZONE_OUT_LIMIT_MS = 3_000;

/** Promised: a busy link that falls silent is replaced within this time. */
const SILENT_LINK_LIMIT_MS = 2_500;

/** Promised: calls to targets under a full outage, as a multiple of the offered load. */
const RETRY_LIMIT = 1.1;

/** Promised: the most targets that one request may crash. */
const CRASH_LIMIT = 2;

/** Chunks buffered for a caller that reads nothing. */
const BUFFERED_CHUNK_LIMIT = 512;

const NO_EFFECT: Effect = {
  kind: EffectKind.Log,
  level: LogLevel.Debug,
  topic: LogTopic.LinkLost,
  fields: {},
};

const expectAllEnded = (agents: readonly CallerAgent[], count: number): void => {
  expect(agents.length).toEqual(count);
  expect(agents.filter(({ finalAnswer }) => finalAnswer?.state !== AnswerState.Ended)).toEqual([]);
};

const revisionsOf = ({ entries, sidecars }: Fleet): readonly number[] =>
  [...entries, ...sidecars].map((process) => process.find(ServiceName.Configuration).revision());

interface ZoneOutResult {
  readonly lateCalls: number;
  readonly agents: readonly CallerAgent[];
  readonly callsAfterReturn: number;
}

/** Takes zone-a out under load and puts it back; `injectFaults` runs right after the take-out. */
const runZoneOut = (injectFaults: (fleet: Fleet) => void): ZoneOutResult => {
  const calls: { atMs: number; processId: string }[] = [];
  let nowMs = (): number => 0;
  const fleet = startScenario({
    onStep: ({ step, processId }) => {
      if (step === Step.TargetCalled) {
        calls.push({ atMs: nowMs(), processId });
      }
    },
  });
  nowMs = () => fleet.emulation.time.nowMs;
  const agents = sendStreams(fleet, 1_500, 10);
  fleet.emulation.runFor(2_000);
  const outMs = nowMs();
  fleet.publish(2, ['zone-a']);
  injectFaults(fleet);
  fleet.emulation.runFor(6_000);
  const returnMs = nowMs();
  fleet.emulation.configurationService.setMode(FakeConfigurationMode.Up);
  fleet.publish(3, []);
  fleet.emulation.runFor(30_000);
  const inZone = calls.filter(({ processId }) => processId.includes('zone-a'));
  return {
    lateCalls: inZone.filter(({ atMs }) => atMs > outMs + ZONE_OUT_LIMIT_MS && atMs < returnMs)
      .length,
    agents,
    callsAfterReturn: inZone.filter(({ atMs }) => atMs > returnMs).length,
  };
};

test('zone out gets no late calls, and calls on its return', () => {
  const { lateCalls, agents, callsAfterReturn } = runZoneOut(() => undefined);
  expect(lateCalls).toEqual(0);
  expect(callsAfterReturn > 0).toEqual(true);
  expectAllEnded(agents, 1_500);
});

test('zone out gets no late calls with configuration down', () => {
  const { lateCalls, agents } = runZoneOut((fleet) => {
    // By now the service has answered the watches of its readers with the new revision.
    fleet.emulation.runFor(4);
    fleet.emulation.configurationService.setMode(FakeConfigurationMode.Down);
  });
  expect(lateCalls).toEqual(0);
  expectAllEnded(agents, 1_500);
});

test('draining an entry process loses no stream', () => {
  const fleet = startScenario({});
  const agents = sendStreams(fleet, 60, 1);
  fleet.emulation.runFor(100);
  fleet.entries[0]?.drain();
  fleet.emulation.runFor(10_000);
  expect(fleet.entries[0]?.isDrained).toEqual(true);
  expectAllEnded(agents, 60);
});

test('draining sidecars get no new calls and lose no stream', () => {
  const late: string[] = [];
  let isDraining = false;
  const fleet = startScenario({
    onStep: ({ step, processId }) => {
      if (isDraining && step === Step.TargetCalled && processId.includes('zone-b')) {
        late.push(processId);
      }
    },
  });
  const agents = sendStreams(fleet, 300, 5);
  fleet.emulation.runFor(500);
  const leaving = fleet.sidecars.filter(({ availabilityZone }) => availabilityZone === 'zone-b');
  leaving.forEach((sidecar) => sidecar.drain());
  fleet.emulation.runFor(300);
  isDraining = true;
  fleet.emulation.runFor(10_000);
  expect(leaving.every(({ isDrained }) => isDrained)).toEqual(true);
  expect(late).toEqual([]);
  expectAllEnded(agents, 300);
});

test('a full outage causes no retry storm', () => {
  let callCount = 0;
  const fleet = startScenario({
    alterEffect: (effect) => {
      if (effect.kind !== EffectKind.CallTarget) {
        return effect;
      }
      callCount += 1;
      return NO_EFFECT;
    },
  });
  const agents = sendStreams(fleet, 1_000, 10);
  fleet.emulation.runFor(60_000);
  expect(agents.every(({ finalAnswer }) => finalAnswer?.problem !== undefined)).toEqual(true);
  expect(callCount <= RETRY_LIMIT * agents.length).toEqual(true);
  expect(callCount > 0).toEqual(true);
});

test('retries after target crashes stay within budget', () => {
  let callCount = 0;
  const fleet = startScenario({
    onStep: ({ step }) => {
      callCount += step === Step.TargetRan ? 1 : 0;
    },
    coldMs: 200,
  });
  const agents: CallerAgent[] = [];
  Array.from({ length: 1_000 }, (_, index) =>
    fleet.emulation.time.schedule(index * 10, () =>
      agents.push(
        CallerAgent.create(fleet.emulation, {
          service: MODEL,
          body: `${POISON_PREFIX}-${index}`,
          organisationId: 'large',
          isKeyed: false,
          entryIds: ['entry-1', 'entry-2', 'entry-3'],
          maxSends: 1,
          answerTimeoutMs: 30_000,
        }),
      ),
    ),
  );
  fleet.emulation.runFor(60_000);
  expect(agents.length).toEqual(1_000);
  expect(callCount <= RETRY_LIMIT * agents.length).toEqual(true);
});

test('a crashing request stops after two targets', () => {
  const fleet = startScenario({ coldMs: 300 });
  const bystanders = sendStreams(fleet, 200, 25);
  const poison = CallerAgent.create(fleet.emulation, {
    service: MODEL,
    body: POISON_PREFIX,
    organisationId: 'small',
    // With a key, every send has the same body, and a not-run refusal ends the retries.
    isKeyed: true,
    key: 'none',
    entryIds: ['entry-1', 'entry-2', 'entry-3'],
    maxSends: 10,
    answerTimeoutMs: 5_000,
  });
  fleet.emulation.runFor(60_000);
  const crashCount = fleet.targets.reduce((sum, target) => sum + target.crashCount, 0);
  expect(poison.finalAnswer?.problem?.outcome).toEqual(Outcome.RefusedNotRun);
  expect(crashCount > 0 && crashCount <= CRASH_LIMIT).toEqual(true);
  expectAllEnded(bystanders, 200);
});

test('hedging hides a slow target', () => {
  const fleet = startScenario({
    holdMsOf: (targetId) => (targetId === 'assistant-zone-a-1' ? 8_000 : 5),
  });
  const agents = sendStreams(fleet, 100, 100);
  fleet.emulation.runFor(30_000);
  expectAllEnded(agents, 100);
  // 420 ms is the objective for the first token.
  const slow = agents.filter(
    ({ finalAnswer }) => (finalAnswer?.firstChunkAtMs ?? 0) - (finalAnswer?.sentAtMs ?? 0) > 420,
  );
  expect(slow.length).toEqual(0);
});

test('call with the key of a draining sidecar is refused', () => {
  const fleet = startScenario({});
  const agent = CallerAgent.create(fleet.emulation, {
    service: PLAIN,
    body: 'seat',
    organisationId: 'small',
    isKeyed: true,
    entryIds: ['entry-1', 'entry-2'],
    maxSends: 4,
    answerTimeoutMs: 5_000,
  });
  const drainOwner = (): void => {
    const owner = agent.key?.split('.')[1];
    if (owner === undefined) {
      fleet.emulation.time.schedule(1, drainOwner);
    } else {
      fleet.emulation.process(owner).drain();
    }
  };
  drainOwner();
  fleet.emulation.runFor(20_000);
  expect(agent.finalAnswer?.problem?.outcome).toEqual(Outcome.RefusedNotRun);
  expect(fleet.emulation.runsOf('seat').count).toEqual(0);
});

// The entry process is paused before it sends the run; meanwhile, other calls fill the key ledger.
test('outcome is unknown if the key record was dropped', () => {
  let paused: string | undefined;
  const fleet = startScenario({
    targetsPerZone: 1,
    ledgerLimits: { maxKeyCount: 2, maxAnswerBytes: 1_000 },
    onStep: ({ step, processId }) => {
      if (step === Step.RunSent && paused === undefined) {
        paused = processId;
        fleet.emulation.process(processId).pause();
      }
    },
  });
  const call = (body: string, entryId: string): CallerAgent =>
    CallerAgent.create(fleet.emulation, {
      service: PLAIN,
      body,
      organisationId: 'small',
      isKeyed: true,
      entryIds: [entryId],
      maxSends: 2,
      answerTimeoutMs: 18_000,
    });
  const late = call('late', 'entry-1');
  fleet.emulation.runFor(500);
  Array.from({ length: 30 }, (_, index) => call(`other-${index}`, 'entry-2'));
  fleet.emulation.runFor(5_000);
  fleet.emulation.process(paused ?? '').resume();
  fleet.emulation.runFor(30_000);
  expect(paused).toEqual('entry-1');
  expect(late.finalAnswer?.problem?.outcome).toEqual(Outcome.Unknown);
  expect(fleet.emulation.runsOf('late').count).toEqual(0);
});

test('a silent link is replaced and its stream completed', () => {
  let silencedMs = 0;
  let replacedMs = 0;
  const fleet = startScenario({
    entryCount: 1,
    onStep: ({ step }) => {
      if (silencedMs > 0 && replacedMs === 0 && step === Step.RunSent) {
        replacedMs = fleet.emulation.time.nowMs;
      }
    },
    chunkCount: 500,
  });
  const agents = sendStreams(fleet, 1, 1);
  fleet.emulation.runFor(500);
  const [entry] = fleet.entries;
  fleet.sidecars.forEach((sidecar) => {
    if (entry !== undefined) {
      fleet.emulation.network.silence(sidecar, entry);
    }
  });
  silencedMs = fleet.emulation.time.nowMs;
  fleet.emulation.runFor(30_000);
  expect(replacedMs > 0 && replacedMs - silencedMs <= SILENT_LINK_LIMIT_MS).toEqual(true);
  expectAllEnded(agents, 1);
  const [agent] = agents;
  expect(agent?.finalAnswer?.text).toEqual(expectedAnswer(agent?.sends[0]?.body ?? '', 500));
});

test('cold targets get at most two calls at once', () => {
  const fleet = startScenario({ coldMs: 3_000 });
  const agents = sendStreams(fleet, 400, 2);
  fleet.emulation.runFor(40_000);
  expect(fleet.targets.map(({ crashCount }) => crashCount).filter((count) => count > 0)).toEqual(
    [],
  );
  expect(fleet.targets.every(({ maxColdCount }) => maxColdCount <= 2)).toEqual(true);
  expectAllEnded(agents, 400);
});

test('a zone that returns cold crashes no target', () => {
  const fleet = startScenario({ coldMs: 2_000 });
  fleet.emulation.runFor(3_000);
  const agents = sendStreams(fleet, 1_000, 8);
  fleet.emulation.runFor(1_000);
  fleet.publish(2, ['zone-c']);
  fleet.emulation.runFor(2_000);
  fleet.targets
    .filter(({ targetId }) => targetId.includes('zone-c'))
    .forEach((target) => target.turnCold());
  fleet.emulation.runFor(1_000);
  fleet.publish(3, []);
  fleet.emulation.runFor(40_000);
  expect(fleet.targets.every(({ crashCount }) => crashCount === 0)).toEqual(true);
  expectAllEnded(agents, 1_000);
});

test('targets turning cold under load do not crash', () => {
  const fleet = startScenario({ coldMs: 2_000 });
  fleet.emulation.runFor(3_000);
  const agents = sendStreams(fleet, 1_000, 6);
  fleet.emulation.runFor(2_100);
  fleet.targets.forEach((target) => target.turnCold());
  fleet.emulation.runFor(40_000);
  expect(fleet.targets.filter(({ crashCount }) => crashCount > 0).length).toEqual(0);
  expectAllEnded(agents, 1_000);
});

test('buffer for a stalled caller is bounded', () => {
  const fleet = startScenario({ entryCount: 1, chunkCount: 1_000, isStalled: () => true });
  const agents = sendStreams(fleet, 1, 1);
  fleet.emulation.runFor(15_000);
  const { text } = fleet.emulation.answer(agents[0]?.sends[0]?.exchangeId ?? '');
  expect(text.split(';').length - 1).toEqual(BUFFERED_CHUNK_LIMIT);
});

test('a large organisation does not starve a small one', () => {
  const fleet = startScenario({ entryCount: 1, maxInProgress: 10 });
  const large = sendStreams(fleet, 200, 1, 'large');
  fleet.emulation.runFor(150);
  const small = sendStreams(fleet, 5, 1, 'small');
  fleet.emulation.runFor(60_000);
  expectAllEnded(small, 5);
  const lastSmallMs = Math.max(
    ...small.map(({ finalAnswer }) => finalAnswer?.endedAtMs ?? Infinity),
  );
  const largeBefore = large.filter(
    ({ finalAnswer }) => (finalAnswer?.endedAtMs ?? 0) < lastSmallMs,
  );
  expect(largeBefore.length < 60).toEqual(true);
});

test('a queued call starts when a keyed call ends', () => {
  const fleet = startScenario({ entryCount: 1, maxInProgress: 1, holdMsOf: () => 400 });
  const keyed = CallerAgent.create(fleet.emulation, {
    service: PLAIN,
    body: 'keyed',
    organisationId: 'large',
    isKeyed: true,
    entryIds: [fleet.entries[0]?.processId ?? ''],
    maxSends: 1,
    answerTimeoutMs: 30_000,
  });
  fleet.emulation.runFor(100);
  const queued = sendStreams(fleet, 1, 1);
  fleet.emulation.runFor(20_000);
  expectAllEnded([keyed], 1);
  expectAllEnded(queued, 1);
});

test('a new revision reaches every process', () => {
  const fleet = startScenario({});
  fleet.publish(2, []);
  fleet.emulation.runFor(1_000);
  expect(new Set(revisionsOf(fleet))).toEqual(new Set([2]));
});

test('a restarted entry process keeps the newest revision', () => {
  const fleet = startScenario({});
  fleet.publish(2, []);
  fleet.emulation.runFor(1_000);
  fleet.publish(1, ['zone-a']);
  const [entry] = fleet.entries;
  entry?.kill();
  fleet.emulation.runFor(500);
  entry?.start();
  fleet.emulation.runFor(2_000);
  expect(new Set(revisionsOf(fleet))).toEqual(new Set([2]));
});

test('a lower revision is refused', () => {
  const fleet = startScenario({});
  const [entry, other] = fleet.entries;
  const first = entry?.find(ServiceName.Configuration).current();
  fleet.publish(2, []);
  fleet.emulation.runFor(1_000);
  if (first === undefined || entry === undefined || other === undefined) {
    throw new Error('the fleet has no configuration');
  }
  const [peer] = other.find(ServiceName.Links).peers();
  entry.post({ kind: EventKind.ConfigurationRead, configuration: first });
  other.post({
    kind: EventKind.LinkMessage,
    linkId: peer?.linkId ?? '',
    message: { kind: MessageKind.ConfigurationValue, configuration: first },
  });
  expect(new Set(revisionsOf(fleet))).toEqual(new Set([2]));
});

test('an entry process starts with configuration down', () => {
  const fleet = startScenario({});
  fleet.emulation.configurationService.setMode(FakeConfigurationMode.Down);
  const [entry] = fleet.entries;
  entry?.kill();
  fleet.emulation.runFor(500);
  entry?.start();
  fleet.emulation.runFor(2_000);
  const agents = sendStreams(fleet, 6, 1);
  fleet.emulation.runFor(5_000);
  expectAllEnded(agents, 6);
});

test('a one-way partition loses no stream', () => {
  let isCut = false;
  const fleet = startScenario({
    network: {
      isConnected: (from, to) =>
        !isCut || from.processId !== 'entry-1' || to.availabilityZone !== ZONES[0],
    },
  });
  const agents = sendStreams(fleet, 600, 10);
  fleet.emulation.runFor(1_000);
  isCut = true;
  fleet.emulation.runFor(30_000);
  expectAllEnded(agents, 600);
});

test('an error at the next target stays out of a broken stream', () => {
  const failingRunIds = new Set<string>();
  let hasCrashed = false;
  const fail = (effect: Effect): Effect => {
    if (effect.kind !== EffectKind.Send || !('runId' in effect.message)) {
      return effect;
    }
    const { message } = effect;
    if (message.kind === MessageKind.RunHead && hasCrashed) {
      failingRunIds.add(message.runId);
      return { ...effect, message: { ...message, status: 500 } };
    }
    return message.kind === MessageKind.RunChunk && failingRunIds.has(message.runId)
      ? { ...effect, message: { ...message, data: 'error' } }
      : effect;
  };
  const fleet = startScenario({ alterEffect: fail });
  const agents = sendStreams(fleet, 1, 10);
  fleet.emulation.time.schedule(100, () => {
    hasCrashed = true;
    fleet.targets.find(({ callCount }) => callCount > 0)?.crash();
  });
  fleet.emulation.runFor(60_000);
  const answer = agents[0]?.finalAnswer;
  expect(failingRunIds.size > 0).toEqual(true);
  expect(answer?.text.includes('error')).toEqual(false);
  expect(answer?.state === AnswerState.Ended).toEqual(false);
});
