/** @module A gateway that starts asks its peers for what only they know. */
import { test } from 'node:test';
import { expect } from 'earl';
import {
  CallStage,
  EffectKind,
  EventKind,
  LogTopic,
  NO_NOTICE,
  PeerMessageKind,
  PeerRole,
  ServiceName,
  StoreReadKind,
  type Effect,
  type PeerMessage,
  type StoreItem,
  type TargetNotice,
} from '../src/index.js';
import { Fleet, type IsLost } from './fleet.js';
import {
  Harness,
  configurationItem,
  configurationOf,
  headOf,
  routeOf,
  targetItem,
  targetOf,
} from './harness.js';

const { QueryStartState, StartState } = PeerMessageKind;

const TARGETS = [targetItem(targetOf('t-1')), targetItem(targetOf('t-2'))];

const itemsOf = (version: number, credentials: readonly string[]): readonly StoreItem[] => [
  configurationItem(configurationOf(version, [routeOf()], credentials)),
  ...TARGETS,
];

/** The copy from which the store was restored. */
const OLD = itemsOf(7, ['key-1', 'key-old']);

/** The configuration in force, without a credential that was taken away. */
const IN_FORCE = itemsOf(9, ['key-1']);

const PEER = '10.0.0.2:7000';

const OTHER_PEER = '10.0.0.3:7000';

const START = { seeds: [PEER, OTHER_PEER] };

/** Status with which a request is answered at once; undefined when it is sent to a target. */
const statusOf = (harness: Harness, credential = 'key-1'): number | undefined => {
  const effects = harness.request({ credential });
  harness.disconnectCallers();
  return effects.flatMap((effect) =>
    effect.kind === EffectKind.SendAnswer ? [effect.status] : [],
  )[0];
};

const topicsOf = ({ effects }: Harness): readonly LogTopic[] =>
  effects.flatMap((effect) => (effect.kind === EffectKind.Log ? [effect.topic] : []));

const messagesOf = (effects: readonly Effect[]): readonly PeerMessage[] =>
  effects.flatMap((effect) => (effect.kind === EffectKind.SendToPeer ? [effect.message] : []));

const queryCountOf = (effects: readonly Effect[]): number =>
  messagesOf(effects).filter(({ kind }) => kind === QueryStartState).length;

/** Advances the clock without an answer of the store. */
const pass = (harness: Harness, spanMs: number): readonly Effect[] =>
  harness.advance(spanMs, false);

// Guards against serving credentials that were taken away: the store returns the older
// configuration of its copy, and only the peers know the one in force.
test('a gateway that starts accepts no credential that a restored store brings back', () => {
  const fleet = Fleet.create(3, IN_FORCE);
  const harness = fleet.restart(0, OLD);
  const statuses: (number | undefined)[] = [];
  fleet.run(3_000, () => statuses.push(statusOf(harness, 'key-old')));
  expect([...new Set(statuses)]).toEqual([503]);
  expect(harness.isReady()).toEqual(false);
  harness.read(StoreReadKind.Watch, IN_FORCE);
  expect(harness.isReady()).toEqual(true);
  expect(statusOf(harness, 'key-old')).toEqual(401);
  expect(statusOf(harness)).toEqual(undefined);
});

// Guards against a start that takes longer than the exchange of a few messages.
test('a gateway that starts beside others serves after a few messages', () => {
  const fleet = Fleet.create(3, IN_FORCE);
  const harness = fleet.restart(0, IN_FORCE);
  expect(harness.isReady()).toEqual(false);
  fleet.run(60);
  expect(harness.isReady()).toEqual(true);
  expect(statusOf(harness)).toEqual(undefined);
});

// Guards against callers that wait although another gateway would serve them at once.
test('a refusal below the floor tells callers to return soon', () => {
  const fleet = Fleet.create(3, IN_FORCE);
  const harness = fleet.restart(0, OLD);
  const delaysMs = [100, 2_000].map((spanMs) => {
    fleet.run(spanMs);
    const [answer] = harness.request({ path: `/a/${spanMs}`, remainingMs: 8_000 });
    return answer?.kind === EffectKind.SendAnswer && answer.retryAfterMs;
  });
  expect(delaysMs).toEqual([40, 40]);
});

// Guards against callers that are sent back and forth between gateways that all are starting.
test('a gateway below the floor does not count as one that serves', () => {
  const harness = Harness.start(START);
  harness.read(StoreReadKind.Page, OLD);
  harness.answerStart({ version: 9 }, PEER);
  pass(harness, 200);
  expect(harness.isReady()).toEqual(false);
  const copies = harness.kernel.find(ServiceName.Copies);
  expect(copies.ownAgeMs()).toEqual(Number.MAX_SAFE_INTEGER);
  harness.read(StoreReadKind.Watch, IN_FORCE);
  expect(copies.ownAgeMs() < 1_000).toEqual(true);
});

const losses: readonly (readonly [string, PeerMessageKind])[] = [
  ['questions', QueryStartState],
  ['answers', StartState],
];

losses.forEach(([name, lostKind]) => {
  // Guards against a question that is asked once only: datagrams are lost.
  test(`lost ${name} are repeated before a gateway serves`, () => {
    const address = '10.0.0.1:7000';
    let lossesLeft = 0;
    const isLost: IsLost = (from, to, { kind }) => {
      const isHit = kind === lostKind && (from === address || to === address) && lossesLeft > 0;
      lossesLeft -= isHit ? 1 : 0;
      return isHit;
    };
    const fleet = Fleet.create(2, IN_FORCE, isLost);
    lossesLeft = 4;
    const harness = fleet.restart(0, OLD);
    const statuses: (number | undefined)[] = [];
    fleet.run(3_000, () => statuses.push(statusOf(harness, 'key-old')));
    expect([...new Set(statuses)]).toEqual([503]);
    expect(lossesLeft).toEqual(0);
    expect(topicsOf(harness).includes(LogTopic.ConfigurationBehind)).toEqual(true);
  });
});

// Guards against peers that are down and keep a gateway from serving.
test('without an answer a gateway serves a second after the first read', () => {
  const harness = Harness.start(START);
  // Asked at the start and every 200 ms.
  expect(queryCountOf(harness.effects) + queryCountOf(pass(harness, 500))).toEqual(2 * 3);
  harness.read(StoreReadKind.Page, OLD);
  harness.advance(999);
  expect(harness.isReady()).toEqual(false);
  expect(statusOf(harness)).toEqual(503);
  harness.advance(1);
  expect(harness.isReady()).toEqual(true);
  expect(statusOf(harness)).toEqual(undefined);
});

// Guards against questions that are repeated for ever.
test('a gateway that serves asks nothing after a while', () => {
  const harness = Harness.start(START);
  harness.read(StoreReadKind.Page, OLD);
  pass(harness, 5_200);
  expect(queryCountOf(pass(harness, 10_000))).toEqual(0);
});

// Guards against a fleet whose gateways wait for one another.
test('gateways that start at once go by the store', () => {
  const fleet = Fleet.create(3, IN_FORCE);
  const harnesses = [0, 1, 2].map((index) => fleet.restart(index, OLD));
  fleet.run(1_100);
  expect(harnesses.map((harness) => harness.isReady())).toEqual([true, true, true]);
  expect(harnesses.map((harness) => statusOf(harness, 'key-old'))).toEqual([
    undefined,
    undefined,
    undefined,
  ]);
});

// Guards against a loss of power after which all gateways wait for one that knows more.
test('gateways that all start wait less than for one that is silent', () => {
  const fleet = Fleet.create(3, IN_FORCE);
  const harnesses = [0, 1, 2].map((index) => fleet.restart(index, OLD));
  fleet.run(500);
  expect(harnesses.map((harness) => harness.isReady())).toEqual([false, false, false]);
  fleet.run(200);
  expect(harnesses.map((harness) => harness.isReady())).toEqual([true, true, true]);
});

// Guards against a loss of power after which all gateways wait although there is nothing to learn.
test('a store that was never restored is served from at once', () => {
  const harness = Harness.start(START);
  const page = { kind: EventKind.StoreRead as const, read: StoreReadKind.Page, items: OLD };
  harness.post({ ...page, revision: 50, era: 1 });
  expect(harness.isReady()).toEqual(true);
});

test('a store that was restored is not served from before peers have answered', () => {
  const harness = Harness.start(START);
  const page = { kind: EventKind.StoreRead as const, read: StoreReadKind.Page, items: OLD };
  harness.post({ ...page, revision: 50, era: 2 });
  expect(harness.isReady()).toEqual(false);
});

// Guards against a gateway that trusts another one that has just started too.
test('the answer of a gateway that starts too is no answer', () => {
  const harness = Harness.start(START);
  harness.read(StoreReadKind.Page, OLD);
  harness.answerStart({ isStarting: true, version: 7 }, PEER);
  pass(harness, 500);
  expect(harness.isReady()).toEqual(false);
  harness.answerStart({ version: 9 }, OTHER_PEER);
  pass(harness, 1_000);
  expect(statusOf(harness, 'key-old')).toEqual(503);
});

// Guards against a peer that lies, or is itself behind, and answers before the others.
test('a peer that names a lower version changes nothing', () => {
  const harness = Harness.start(START);
  harness.read(StoreReadKind.Page, OLD);
  harness.answerStart({ version: 3 }, PEER);
  expect(harness.isReady()).toEqual(false);
  pass(harness, 20);
  harness.answerStart({ version: 9 }, OTHER_PEER);
  pass(harness, 200);
  expect(statusOf(harness, 'key-old')).toEqual(503);
  harness.answerStart({ version: 3 }, PEER);
  expect(statusOf(harness, 'key-old')).toEqual(503);
  harness.read(StoreReadKind.Watch, IN_FORCE);
  expect(harness.isReady()).toEqual(true);
});

// Guards against a gateway that never serves because a peer once named an absurd version.
test('an absurd version counts for as long as its peer answers', () => {
  const harness = Harness.start(START);
  harness.read(StoreReadKind.Page, OLD);
  Array.from({ length: 50 }, () => {
    harness.answerStart({ version: Number.MAX_SAFE_INTEGER }, PEER);
    expect(harness.isReady()).toEqual(false);
    return harness.advance(200);
  });
  expect(
    topicsOf(harness).filter((topic) => topic === LogTopic.ConfigurationBehind).length,
  ).toEqual(1);
  harness.advance(2_200);
  expect(harness.isReady()).toEqual(false);
  harness.advance(400);
  expect(harness.isReady()).toEqual(true);
  expect(topicsOf(harness).includes(LogTopic.ConfigurationLevel)).toEqual(true);
});

// Guards against a process that forgets the floor because it was suspended for long.
test('a suspended gateway does not take its peers for gone', () => {
  const harness = Harness.start(START);
  harness.read(StoreReadKind.Page, OLD);
  harness.answerStart({ version: 9 }, PEER);
  harness.nowMs += 60_000;
  harness.suspendedMs += 60_000;
  // By then the store has confirmed its copy, and the peer has left eight questions unanswered.
  harness.advance(1_600);
  expect(harness.kernel.find(ServiceName.Store).ageMs() < 2_000).toEqual(true);
  expect(statusOf(harness, 'key-old')).toEqual(503);
  harness.advance(1_600);
  expect(statusOf(harness, 'key-old')).toEqual(undefined);
});

// Guards against a message that nobody asked for and that stops a gateway.
test('an answer without a question does not stop a gateway', () => {
  const harness = Harness.create(OLD);
  harness.advance(6_000);
  harness.answerStart({ version: 9 }, PEER);
  expect(harness.isReady()).toEqual(true);
});

// Guards against a gateway that was cut off and misses a configuration that the store has lost.
test('a gateway asks again after the store was restored', () => {
  const harness = Harness.create(OLD, START);
  const readEra = (era: number, read = StoreReadKind.Watch): readonly Effect[] =>
    harness.post({ kind: EventKind.StoreRead, read, items: OLD, revision: 50, era });
  readEra(1);
  harness.advance(6_000, false);
  expect(queryCountOf(readEra(2))).toEqual(2);
  readEra(2, StoreReadKind.Page);
  expect(harness.isReady()).toEqual(true);
  harness.answerStart({ version: 9 }, PEER);
  expect(harness.isReady()).toEqual(false);
});

// Guards against a copy that was read before a restore of which the peers know.
test('a copy of an earlier era is not served', () => {
  const harness = Harness.start(START);
  const readEra = (era: number, read: StoreReadKind): readonly Effect[] =>
    harness.post({ kind: EventKind.StoreRead, read, items: OLD, revision: 50, era });
  readEra(1, StoreReadKind.Page);
  harness.answerStart({ version: 7, era: 2 }, PEER);
  harness.answerStart({ version: 7, era: 2 }, OTHER_PEER);
  expect(harness.isReady()).toEqual(false);
  readEra(2, StoreReadKind.Watch);
  readEra(2, StoreReadKind.Page);
  expect(harness.isReady()).toEqual(true);
});

const interrupt = (harness: Harness): void => {
  harness.request();
  harness.post({
    kind: EventKind.TargetCallFailed,
    callId: harness.lastCallId(),
    stage: CallStage.Sent,
    detail: 'reset',
  });
  harness.disconnectCallers();
};

/** Retries of requests that targets interrupt. */
const retryCountOf = (harness: Harness, requestCount: number): number => {
  const before = harness.calledIds().length;
  Array.from({ length: requestCount }, () => interrupt(harness));
  return harness.calledIds().length - before - requestCount;
};

// Guards against restarts that give each process a new share of the retries.
test('retries that peers spent count after a start', () => {
  const fleet = Fleet.create(2, IN_FORCE);
  const [, other] = fleet.harnesses;
  expect(other === undefined ? 0 : retryCountOf(other, 10)).toEqual(9);
  const harness = fleet.restart(0, IN_FORCE);
  fleet.run(200);
  // Two retries are earned by ten requests.
  expect(retryCountOf(harness, 10)).toEqual(1);
  fleet.run(12_000);
  expect(retryCountOf(harness, 10)).toEqual(9);
});

// Guards against a peer that takes the retries of a gateway away for good.
test('an absurd count of retries is bounded', () => {
  const harness = Harness.start(START);
  harness.read(StoreReadKind.Page, IN_FORCE);
  const spentRetries = [{ serviceName: 'plain', count: 1e12 }];
  [PEER, OTHER_PEER].forEach((address) =>
    harness.answerStart({ version: 9, spentRetries }, address),
  );
  expect(retryCountOf(harness, 10)).toEqual(0);
  expect(retryCountOf(harness, 90) > 0).toEqual(true);
});

const coldItems = (): readonly StoreItem[] => {
  const configuration = configurationOf(9, [routeOf()]);
  const services = configuration.services.map((service) => ({ ...service, coldPerSecond: 36 }));
  return [
    configurationItem({ ...configuration, services }),
    targetItem(targetOf('t-1', { coldRemainingMs: 20_000 })),
  ];
};

const requestMany = (harness: Harness): number => {
  const before = harness.calledIds().length;
  Array.from({ length: 20 }, () => harness.request());
  harness.disconnectCallers();
  return harness.calledIds().length - before;
};

// Guards against restarts that send a cold target a new share of its requests.
test('starts at cold targets count after a start', () => {
  const fleet = Fleet.create(3, coldItems());
  const [first] = fleet.harnesses;
  expect(first === undefined ? 0 : requestMany(first)).toEqual(3);
  fleet.run(50);
  const harness = fleet.restart(0, coldItems());
  fleet.run(100);
  expect(harness.isReady()).toEqual(true);
  expect(requestMany(harness)).toEqual(0);
  fleet.run(1_300);
  expect(requestMany(harness)).toEqual(3);
});

// Guards against cold starts of a gateway that does not know those of its predecessor.
test('a gateway without an answer starts nothing at cold targets for a second', () => {
  const harness = Harness.start(START);
  harness.read(StoreReadKind.Page, coldItems());
  const coldStarts = harness.kernel.find(ServiceName.ColdStarts);
  const target = targetOf('t-1');
  expect(coldStarts.mayStart(target)).toEqual(false);
  harness.answerStart({ isStarting: true }, PEER);
  expect(coldStarts.mayStart(target)).toEqual(false);
  pass(harness, 1_000);
  expect(coldStarts.mayStart(target)).toEqual(true);
});

// Guards against answers that are too large for a datagram.
test('an answer with many entries takes several messages', () => {
  const targets = Array.from({ length: 40 }, (_, index) =>
    targetItem(targetOf(`t-${index}`, { coldRemainingMs: 20_000 })),
  );
  const harness = Harness.create([...coldItems(), ...targets]);
  const coldStarts = harness.kernel.find(ServiceName.ColdStarts);
  Array.from({ length: 40 }, (_, index) => coldStarts.recordStart(targetOf(`t-${index}`)));
  const answers = messagesOf(
    harness.post({
      kind: EventKind.PeerMessageReceived,
      address: PEER,
      message: { kind: QueryStartState },
    }),
  ).flatMap((message) => (message.kind === StartState ? [message.coldStarts] : []));
  expect(answers.map(({ length }) => length)).toEqual([16, 16, 8]);
  expect(new Set(answers.flat().map(({ instanceId }) => instanceId)).size).toEqual(40);
});

/** Lets a target answer the only call of a gateway with a notice. */
const answerWith = (harness: Harness, notice: Partial<TargetNotice>, status = 200): void => {
  harness.request();
  const callId = harness.lastCallId();
  const head = headOf({ status, isNotRun: status !== 200, notice: { ...NO_NOTICE, ...notice } });
  harness.post({ kind: EventKind.TargetHeadReceived, callId, head });
  harness.post({ kind: EventKind.TargetAnswerEnded, callId });
};

const ONE_TARGET = itemsOf(9, ['key-1']).slice(0, 2);

// Guards against requests to a target in the pause that it asked the process before for.
test('a pause goes on after a restart', () => {
  const fleet = Fleet.create(3, ONE_TARGET);
  const [first] = fleet.harnesses;
  if (first !== undefined) {
    answerWith(first, { pauseMs: 5_000 }, 503);
  }
  fleet.run(1_000);
  const harness = fleet.restart(0, ONE_TARGET);
  fleet.run(300);
  expect(harness.isReady()).toEqual(true);
  expect(requestMany(harness)).toEqual(0);
  expect(fleet.harnesses.slice(1).map(requestMany)).toEqual([20, 20]);
  fleet.run(5_000);
  expect(requestMany(harness)).toEqual(20);
});

// Guards against requests to a target that has said to others that it leaves.
test('a leaving target is known after a restart', () => {
  const fleet = Fleet.create(2, ONE_TARGET);
  const [, other] = fleet.harnesses;
  if (other !== undefined) {
    answerWith(other, { isLeaving: true });
  }
  // By then the notice that the other gateway sent at once has arrived at the process before.
  fleet.run(50);
  const harness = fleet.restart(0, ONE_TARGET);
  fleet.run(60);
  expect(harness.isReady()).toEqual(true);
  expect(requestMany(harness)).toEqual(0);
});

// Guards against requests beyond a limit that a target named before the start.
test('more limits than a datagram holds are known after a start', () => {
  const limits = Array.from({ length: 40 }, (_, index) => ({
    instanceId: `t-${index}`,
    ageMs: 0,
    maxRequestsPerSecond: 1,
  }));
  const fleet = Fleet.create(2, ONE_TARGET);
  const [, other] = fleet.harnesses;
  other?.post({
    kind: EventKind.PeerMessageReceived,
    address: OTHER_PEER,
    message: { kind: PeerMessageKind.TargetNotices, limits, leaving: [], pauses: [] },
  });
  const harness = fleet.restart(0, ONE_TARGET);
  fleet.run(60);
  const lines = topicsOf(harness).filter((topic) => topic === LogTopic.TargetLimited);
  expect(lines.length).toEqual(40);
});

// Guards against questions to processes that are no gateways.
test('rank agents are not asked', () => {
  const harness = Harness.start();
  const effects = harness.post({
    kind: EventKind.PeerMessageReceived,
    address: PEER,
    message: {
      kind: PeerMessageKind.Hello,
      member: { name: 'a', role: PeerRole.RankAgent, address: PEER, availabilityZone: 'zone-a' },
    },
  });
  expect(queryCountOf(effects)).toEqual(0);
});
