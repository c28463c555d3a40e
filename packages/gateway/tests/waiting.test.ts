/** @module Requests that wait at a gateway for a place. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import {
  CallKind,
  EffectKind,
  EventKind,
  Feature,
  ItemKind,
  ItemScope,
  LogTopic,
  ServiceName,
  StoreReadKind,
  TimerKind,
  decisionsOf,
  type CallerRequest,
  type Effect,
  type LogFields,
  type SendAnswerEffect,
  type StartCallEffect,
  type StoreItem,
} from '../src/index.js';
import { Harness, configurationItem, headOf, routeOf, targetItem, targetOf } from './harness.js';

const URGENT = '/urgent/x';

const MAX_WAITING = 128;

const CONFIGURATION: StoreItem = configurationItem({
  version: 1,
  routes: [
    routeOf({ objectiveMs: 800, timeoutMs: 8_000 }),
    routeOf({
      name: 'r-0',
      pathPrefix: '/urgent/',
      priority: 0,
      objectiveMs: 800,
      timeoutMs: 8_000,
    }),
    routeOf({ name: 's', pathPrefix: '/s/', kind: CallKind.Streaming, maxPauseMs: 120 }),
  ],
  services: [{ name: 'plain', healthPath: '/health', coldPerSecond: 0 }],
  needsCredentials: true,
  organisations: [
    { name: 'org-1', credentials: ['key-1'] },
    { name: 'org-2', credentials: ['key-2'], priority: 0 },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
});

const gateway = (slots = 1, features = [Feature.Scheduling]): Harness =>
  Harness.create([CONFIGURATION, targetItem(targetOf('t-1', { slots }))], decisionsOf(features));

const ask = (harness: Harness, name: string, changes: Partial<CallerRequest> = {}): void => {
  const body = Buffer.from(name);
  harness.request({ attemptId: name, remainingMs: 8_000, body, ...changes });
};

const startsOf = (effects: readonly Effect[]): readonly StartCallEffect[] =>
  effects.flatMap((effect) => (effect.kind === EffectKind.StartCall ? [effect] : []));

const started = (harness: Harness): readonly string[] =>
  startsOf(harness.effects).map(({ call }) => Buffer.from(call.body).toString());

const answersOf = (effects: readonly Effect[]): readonly SendAnswerEffect[] =>
  effects.flatMap((effect) => (effect.kind === EffectKind.SendAnswer ? [effect] : []));

const endedOf = (harness: Harness, name: string): LogFields | undefined =>
  harness.effects
    .flatMap((effect) =>
      effect.kind === EffectKind.Log && effect.topic === LogTopic.RequestEnded
        ? [effect.fields]
        : [],
    )
    .find(({ requestId }) => requestId === name);

const endCall = (harness: Harness, callId: number): readonly Effect[] => {
  harness.post({ kind: EventKind.TargetHeadReceived, callId, head: headOf() });
  return harness.post({ kind: EventKind.TargetAnswerEnded, callId });
};

const leave = (harness: Harness, exchangeId: number): readonly Effect[] =>
  harness.post({ kind: EventKind.CallerDisconnected, exchangeId });

const drain = (harness: Harness): void => {
  harness.perform(harness.kernel.find(ServiceName.Lifecycle).drain());
};

// Guards against refusals although a place comes free well within the objective.
test('a request without a place starts when a call ends', () => {
  const harness = gateway();
  ask(harness, 'a');
  ask(harness, 'b');
  harness.advance(40);
  endCall(harness, 1);
  expect(started(harness)).toEqual(['a', 'b']);
  expect(endedOf(harness, 'b')).toEqual(undefined);
});

test('without the feature a request without a place is refused at once', () => {
  const harness = gateway(1, []);
  ask(harness, 'a');
  ask(harness, 'b');
  expect(harness.statuses()).toEqual([503]);
  expect(endedOf(harness, 'b')?.waitOutcome).toEqual(undefined);
});

// Guards against requests that are held until their deadline.
test('a request that gets no place is refused after an eighth of its objective', () => {
  const harness = gateway();
  ask(harness, 'a');
  ask(harness, 'b');
  harness.advance(80);
  expect(harness.statuses()).toEqual([]);
  const [answer] = answersOf(harness.advance(20));
  expect([answer?.status, answer?.retryAfterMs]).toEqual([503, 200]);
  expect(endedOf(harness, 'b')?.waitOutcome).toEqual('expired');
  expect(endedOf(harness, 'b')?.waitingCount).toEqual(1);
});

// Guards against a loop that wakes the process while nothing waits.
test('the timer runs only while a request waits', () => {
  const harness = gateway();
  const isTimer = (effect: Effect): boolean =>
    (effect.kind === EffectKind.SetTimer || effect.kind === EffectKind.ClearTimer) &&
    effect.timer === TimerKind.QueueCheck;
  harness.advance(500);
  ask(harness, 'a');
  expect(harness.effects.filter(isTimer)).toEqual([]);
  ask(harness, 'b');
  harness.advance(1_000);
  const count = harness.effects.filter(isTimer).length;
  expect([count > 5, count <= 12]).toEqual([true, true]);
  harness.advance(1_000);
  expect(harness.effects.filter(isTimer).length).toEqual(count);
});

test('a request that starts at once stops the timer of the one before', () => {
  const harness = gateway();
  ask(harness, 'a');
  ask(harness, 'b');
  const effects = endCall(harness, 1);
  expect(effects.some(({ kind }) => kind === EffectKind.ClearTimer)).toEqual(true);
});

// Guards against work for callers that have left.
test('a caller that leaves is removed at once', () => {
  const harness = gateway();
  ask(harness, 'a');
  ask(harness, 'b');
  leave(harness, 2);
  expect(endedOf(harness, 'b')?.reason).toEqual('caller-left');
  endCall(harness, 1);
  expect(started(harness)).toEqual(['a']);
});

test('a drain refuses what waits and lets it try elsewhere', () => {
  const harness = gateway();
  ask(harness, 'a');
  ask(harness, 'b');
  drain(harness);
  const [answer] = answersOf(harness.advance(15));
  expect([answer?.status, answer?.retryAfterMs]).toEqual([503, 20]);
  expect(endedOf(harness, 'b')?.waitOutcome).toEqual('draining');
});

test('while the gateway drains, requests start at once or not at all', () => {
  const harness = gateway();
  ask(harness, 'a');
  drain(harness);
  ask(harness, 'b');
  expect(harness.statuses()).toEqual([503]);
});

test('a service without targets refuses what waits', () => {
  const harness = gateway();
  ask(harness, 'a');
  ask(harness, 'b');
  harness.read(StoreReadKind.Watch, [
    { kind: ItemKind.Removed, scope: ItemScope.Target, id: 't-1' },
  ]);
  harness.advance(15);
  expect(endedOf(harness, 'b')?.waitOutcome).toEqual('pool-lost');
});

// Guards against the inversion of priorities.
test('a more urgent request starts before one that waits', () => {
  const harness = gateway();
  ask(harness, 'a');
  ask(harness, 'b');
  ask(harness, 'c', { path: URGENT });
  endCall(harness, 1);
  endCall(harness, 2);
  expect(started(harness)).toEqual(['a', 'c', 'b']);
});

test('the priority of the organisation goes before that of the route', () => {
  const harness = gateway();
  ask(harness, 'a');
  ask(harness, 'b');
  ask(harness, 'c', { credential: 'key-2' });
  endCall(harness, 1);
  expect(started(harness)).toEqual(['a', 'c']);
  expect(startsOf(harness.effects).map(({ call }) => call.priority)).toEqual([1, 0]);
});

// Guards against a new request that takes the place for which others wait.
test('a new request does not overtake one that waits', () => {
  const harness = gateway();
  ask(harness, 'a');
  ask(harness, 'b');
  harness.advance(20);
  ask(harness, 'c');
  endCall(harness, 1);
  expect(started(harness)).toEqual(['a', 'b']);
});

// Guards against second refusals.
test('a caller that returns as told starts before new ones', () => {
  const harness = gateway();
  ask(harness, 'a');
  ask(harness, 'b');
  harness.advance(300);
  ask(harness, 'c');
  ask(harness, 'b');
  endCall(harness, 1);
  expect(started(harness)).toEqual(['a', 'b']);
});

// Guards against callers that gain by repeating at once.
test('a caller that returns early counts as new', () => {
  const harness = gateway();
  ask(harness, 'a');
  ask(harness, 'b');
  harness.advance(110);
  ask(harness, 'c');
  ask(harness, 'b');
  endCall(harness, 1);
  expect(started(harness)).toEqual(['a', 'c']);
});

test('a refusal counts for one return', () => {
  const harness = gateway();
  ask(harness, 'a');
  ask(harness, 'b');
  harness.advance(300);
  ask(harness, 'b');
  ask(harness, 'c', { path: '/a/x?c' });
  ask(harness, 'b');
  endCall(harness, 1);
  endCall(harness, 2);
  expect(started(harness)).toEqual(['a', 'b', 'c']);
});

// Guards against memory that grows with a burst.
test('the queue is bounded', () => {
  const harness = gateway();
  ask(harness, 'a');
  Array.from({ length: 200 }).forEach((_, index) => ask(harness, `b-${index}`));
  expect(harness.statuses().length).toEqual(200 - MAX_WAITING);
});

test('a full queue refuses its last, not a more urgent one', () => {
  const harness = gateway();
  ask(harness, 'a');
  Array.from({ length: MAX_WAITING }).forEach((_, index) => ask(harness, `b-${index}`));
  ask(harness, 'c', { path: URGENT });
  expect(endedOf(harness, `b-${MAX_WAITING - 1}`)?.waitOutcome).toEqual('queue-full');
  expect(endedOf(harness, 'c')).toEqual(undefined);
});

// Guards against late starts after the process was suspended.
test('after a suspension requests that are too late are refused before others start', () => {
  const harness = gateway();
  ask(harness, 'a');
  ask(harness, 'b');
  harness.nowMs += 3_000;
  harness.read(StoreReadKind.Watch, []);
  endCall(harness, 1);
  ask(harness, 'c');
  expect(started(harness)).toEqual(['a', 'c']);
  expect(endedOf(harness, 'b')?.waitOutcome).toEqual('expired');
});

test('a request that waited says so in its line', () => {
  const harness = gateway();
  ask(harness, 'a');
  ask(harness, 'b');
  harness.advance(40);
  endCall(harness, 1);
  endCall(harness, 2);
  const { waitOutcome, waitedMs, aheadCount } = endedOf(harness, 'b') ?? {};
  expect([waitOutcome, waitedMs, aheadCount]).toEqual(['started', 40, 0]);
});

enum StepKind {
  Ask,
  End,
  Leave,
  Advance,
}

const anyStep = fc.oneof(
  fc.record({ kind: fc.constant(StepKind.Ask), value: fc.nat(2) }),
  fc.record({ kind: fc.constant(StepKind.Ask), value: fc.nat(2) }),
  fc.record({ kind: fc.constant(StepKind.End), value: fc.nat(5) }),
  fc.record({ kind: fc.constant(StepKind.Leave), value: fc.nat(20) }),
  fc.record({ kind: fc.constant(StepKind.Advance), value: fc.nat(40) }),
);

type Step = typeof anyStep extends fc.Arbitrary<infer TStep> ? TStep : never;

/** Plays steps against one gateway and checks what must hold after each of them. */
class Play {
  readonly #harness = gateway(3);

  readonly #open = new Map<number, number>();

  readonly #left = new Set<string>();

  readonly #isUrgent = new Map<string, boolean>();

  #askedCount = 0;

  private constructor() {}

  static create(): Play {
    return new Play();
  }

  step({ kind, value }: Step): void {
    const before = this.#harness.effects.length;
    this.#act(kind, value);
    this.#check(this.#harness.effects.slice(before));
  }

  #act(kind: StepKind, value: number): void {
    switch (kind) {
      case StepKind.Ask: {
        this.#askedCount += 1;
        const name = String(this.#askedCount);
        this.#isUrgent.set(name, value === 0);
        ask(this.#harness, name, value === 0 ? { path: URGENT } : {});
        break;
      }
      case StepKind.End: {
        const callId = [...this.#open.keys()][value];
        if (callId !== undefined) {
          this.#open.delete(callId);
          endCall(this.#harness, callId);
        }
        break;
      }
      case StepKind.Leave:
        if (value > this.#askedCount) {
          break;
        }
        this.#left.add(String(value));
        [...this.#open]
          .filter(([, exchangeId]) => exchangeId === value)
          .forEach(([callId]) => this.#open.delete(callId));
        leave(this.#harness, value);
        break;
      default:
        this.#harness.advance(value);
    }
  }

  #check(effects: readonly Effect[]): void {
    const starts = startsOf(effects).map(({ callId, call }) => {
      const name = Buffer.from(call.body).toString();
      this.#open.set(callId, Number(name));
      return name;
    });
    const refused = answersOf(effects)
      .filter(({ status }) => status === 503)
      .map(({ exchangeId }) => String(exchangeId));
    expect(starts.some((name) => this.#left.has(name))).toEqual(false);
    expect(this.#open.size <= 3).toEqual(true);
    const hasLessUrgentStart = starts.some((name) => this.#isUrgent.get(name) === false);
    const hasUrgentRefusal = refused.some((name) => this.#isUrgent.get(name) === true);
    expect(hasLessUrgentStart && hasUrgentRefusal).toEqual(false);
  }
}

// Guards against starts for callers that left, more starts than places, and an urgent request that
// is refused in the moment in which a less urgent one starts.
test('any series of requests, ends and leavings keeps the promises of the queue', () => {
  fc.assert(
    fc.property(fc.array(anyStep, { maxLength: 60 }), (steps) => {
      const play = Play.create();
      steps.forEach((step) => play.step(step));
    }),
    { numRuns: 150 },
  );
});
