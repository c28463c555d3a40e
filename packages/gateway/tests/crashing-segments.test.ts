/** @module Prompt segments that crash the targets that begin to answer them. */
import { test } from 'node:test';
import { expect } from 'earl';
import {
  CallKind,
  CallStage,
  EffectKind,
  EventKind,
  PeerMessageKind,
  PeerRole,
  TargetReachability,
  type CallerRequest,
  type Member,
  type PeerMessage,
} from '../src/index.js';
import {
  Harness,
  configurationItem,
  configurationOf,
  headOf,
  routeOf,
  targetItem,
  targetOf,
} from './harness.js';

const SOUND = ['common'];

const CRASHING = ['common', 'crashing'];

/** Longer than a target takes to restart. */
const RESTART_MS = 4_000;

const STREAM = routeOf({ kind: CallKind.Streaming, isResumable: true, maxAttempts: 1 });

const OTHER_SERVICE = routeOf({
  ...STREAM,
  name: 'r-2',
  pathPrefix: '/b/',
  services: [{ service: 'other', weight: 1 }],
});

const gateway = (maxAttempts = 1, instanceIds = ['t-1']): Harness =>
  Harness.create([
    configurationItem(configurationOf(1, [{ ...STREAM, maxAttempts }, OTHER_SERVICE])),
    ...instanceIds.map((instanceId) => targetItem(targetOf(instanceId))),
    targetItem(targetOf('other-1', { service: 'other' })),
  ]);

const callCount = ({ effects }: Harness): number =>
  effects.filter(({ kind }) => kind === EffectKind.StartCall).length;

let requestCount = 0;

/** Sends a request with a body of its own; returns whether it was sent to a target. */
const send = (
  harness: Harness,
  promptSegments: readonly string[],
  changes: Partial<CallerRequest> = {},
): boolean => {
  requestCount += 1;
  const before = callCount(harness);
  harness.request({ promptSegments, body: Buffer.from(`prompt ${requestCount}`), ...changes });
  return callCount(harness) > before;
};

const failCall = (harness: Harness, stage: CallStage): void => {
  harness.post({
    kind: EventKind.TargetCallFailed,
    callId: harness.lastCallId(),
    stage,
    detail: 'reset',
  });
};

const beginAnswer = (harness: Harness): void => {
  const callId = harness.lastCallId();
  harness.post({
    kind: EventKind.TargetHeadReceived,
    callId,
    head: headOf({ isEventStream: true }),
  });
  harness.post({
    kind: EventKind.TargetDataReceived,
    callId,
    data: Buffer.from('id: 1\ndata: a\n\n'),
  });
};

const serve = (harness: Harness, promptSegments = SOUND): boolean => {
  const isSent = send(harness, promptSegments);
  beginAnswer(harness);
  harness.post({ kind: EventKind.TargetAnswerEnded, callId: harness.lastCallId() });
  harness.advance(1);
  return isSent;
};

const reportCheck = (harness: Harness, reachability: TargetReachability): void => {
  const [instanceId] = harness.calledIds().slice(-1);
  harness.post({ kind: EventKind.TargetChecked, instanceId: instanceId ?? '', reachability });
};

/** The target cuts the call and refuses connections until it has restarted. */
const crash = (harness: Harness): void => {
  failCall(harness, CallStage.Sent);
  reportCheck(harness, TargetReachability.Refusing);
  harness.advance(RESTART_MS);
};

const { CrashReport, QueryStartState, Suspects } = PeerMessageKind;

const PEER: Member = {
  name: 'gateway-2',
  role: PeerRole.Gateway,
  address: '10.0.0.8:7000',
  availabilityZone: 'zone-b',
};

const receive = (harness: Harness, message: PeerMessage): void => {
  harness.post({ kind: EventKind.PeerMessageReceived, address: PEER.address, message });
};

const meetPeer = (harness: Harness): void =>
  receive(harness, { kind: PeerMessageKind.Hello, member: PEER });

const messagesOf = ({ effects }: Harness, before = 0): readonly PeerMessage[] =>
  effects
    .slice(before)
    .flatMap((effect) => (effect.kind === EffectKind.SendToPeer ? [effect.message] : []));

/** Messages about suspects that a gateway has sent to its peer since it had made `before` effects. */
const suspectMessages = (harness: Harness, before = 0): readonly PeerMessage[] =>
  messagesOf(harness, before).filter(({ kind }) => kind === CrashReport || kind === Suspects);

/** A gateway that knows a peer and that has seen a crash. */
const gatewayWithCrash = (): Harness => {
  const harness = gateway();
  meetPeer(harness);
  serve(harness);
  send(harness, CRASHING);
  crash(harness);
  return harness;
};

test('a crashing prompt segment stops reaching targets', () => {
  const harness = gateway();
  serve(harness);
  for (let count = 0; count < 5; count += 1) {
    if (send(harness, CRASHING)) {
      crash(harness);
    }
    expect(serve(harness)).toEqual(true);
  }
  const reached = Array.from({ length: 10 }, () => send(harness, CRASHING)).filter(Boolean);
  expect(reached.length <= 3).toEqual(true);
  expect(serve(harness)).toEqual(true);
});

test('one crash bars the only segment without an answer', () => {
  const harness = gatewayWithCrash();
  expect(send(harness, CRASHING)).toEqual(false);
  expect(harness.statuses().at(-1)).toEqual(503);
  expect(serve(harness)).toEqual(true);
});

test('segments that are new alike are barred together only', () => {
  const harness = gateway();
  send(harness, CRASHING);
  crash(harness);
  expect(send(harness, CRASHING)).toEqual(false);
  expect(serve(harness)).toEqual(true);
  expect(send(harness, ['other', 'crashing'])).toEqual(false);
});

test('suspects are tried again one at a time', () => {
  const harness = gatewayWithCrash();
  harness.advance(60_000);
  const isSent = (): boolean => send(harness, CRASHING);
  expect([isSent(), isSent(), serve(harness)]).toEqual([true, false, true]);
  harness.advance(1_000);
  expect([isSent(), isSent()]).toEqual([true, false]);
});

test('a crash bars new segments for seconds', () => {
  const harness = gateway();
  send(harness, SOUND);
  crash(harness);
  expect(send(harness, SOUND)).toEqual(false);
  harness.advance(6_000);
  expect(serve(harness)).toEqual(true);
});

test('an answered segment is barred after four crashes', () => {
  const harness = gateway();
  serve(harness, CRASHING);
  const sent = Array.from({ length: 5 }, () => {
    const isSent = send(harness, CRASHING);
    crash(harness);
    return isSent;
  });
  expect(sent).toEqual([true, true, true, true, false]);
});

test('a segment whose answer had begun is not blamed', () => {
  const harness = gateway();
  serve(harness);
  send(harness, CRASHING);
  beginAnswer(harness);
  crash(harness);
  expect(send(harness, CRASHING)).toEqual(true);
});

/** Sends a request whose target crashes after the first event of its answer. */
const crashInAnswer = (
  harness: Harness,
  segments: readonly string[],
  changes: Partial<CallerRequest> = {},
): boolean => {
  const isSent = send(harness, segments, changes);
  if (isSent) {
    beginAnswer(harness);
    crash(harness);
  }
  return isSent;
};

// Guards against a request that goes on crashing targets, since its answer had begun each time.
test('a request that crashes targets after its first event is refused after three crashes', () => {
  const harness = gateway();
  const sent = Array.from({ length: 5 }, () =>
    crashInAnswer(harness, [], { body: Buffer.from('crashing') }),
  );
  expect(sent).toEqual([true, true, true, false, false]);
});

// The same for different requests with a segment in common.
test('a segment that crashes targets after the first event is barred after four crashes', () => {
  const harness = gateway();
  serve(harness);
  const sent = Array.from({ length: 6 }, () => {
    const isSent = crashInAnswer(harness, CRASHING);
    serve(harness);
    return isSent;
  });
  expect(sent).toEqual([true, true, true, true, false, false]);
  expect(serve(harness)).toEqual(true);
});

// Guards against sound requests that are refused because they ran where targets crashed.
test('a request that is answered to its end between crashes is not refused', () => {
  const harness = gateway();
  const sound = { body: Buffer.from('sound') };
  const sent = Array.from({ length: 6 }, () => {
    const isSent = crashInAnswer(harness, SOUND, sound);
    send(harness, SOUND, sound);
    beginAnswer(harness);
    harness.post({ kind: EventKind.TargetAnswerEnded, callId: harness.lastCallId() });
    harness.advance(1);
    return isSent;
  });
  expect(sent).toEqual(Array<boolean>(6).fill(true));
});

// Guards against a stream with neither length nor chunks whose broken end counts as no crash.
test('a stream that ends with its connection within its first event is a crash', () => {
  const harness = gateway();
  const sent = Array.from({ length: 5 }, () => {
    const isSent = send(harness, [], { body: Buffer.from('crashing') });
    const callId = harness.lastCallId();
    const head = headOf({ isEventStream: true, endsWithConnection: true });
    harness.post({ kind: EventKind.TargetHeadReceived, callId, head });
    harness.post({ kind: EventKind.TargetDataReceived, callId, data: Buffer.from('id: 1\nda') });
    harness.post({ kind: EventKind.TargetAnswerEnded, callId });
    reportCheck(harness, TargetReachability.Refusing);
    harness.advance(RESTART_MS);
    return isSent;
  });
  expect(sent).toEqual([true, true, true, false, false]);
});

// Guards against a gateway that refuses a request which another one has seen answered to its end.
test('a peer learns that a request was answered to its end', () => {
  const harness = gateway();
  meetPeer(harness);
  const body = Buffer.from('sound');
  crashInAnswer(harness, [], { body });
  meetPeer(harness);
  const before = harness.effects.length;
  send(harness, [], { body });
  beginAnswer(harness);
  harness.post({ kind: EventKind.TargetAnswerEnded, callId: harness.lastCallId() });
  const answers = suspectMessages(harness, before).flatMap((message) =>
    message.kind === Suspects ? message.answers : [],
  );
  expect(answers.map(({ segment }) => segment.startsWith('whole/'))).toEqual([true]);
});

test('a cut call at a listening target is no crash', () => {
  const harness = gateway();
  serve(harness);
  send(harness, CRASHING);
  failCall(harness, CallStage.Sent);
  reportCheck(harness, TargetReachability.Listening);
  expect(send(harness, CRASHING)).toEqual(true);
});

test('an answer clears a segment', () => {
  const harness = gatewayWithCrash();
  harness.advance(60_000);
  expect(serve(harness, CRASHING)).toEqual(true);
  send(harness, CRASHING);
  crash(harness);
  expect(send(harness, CRASHING)).toEqual(true);
});

test('a second crash bars for longer', () => {
  const harness = gatewayWithCrash();
  harness.advance(60_000);
  expect(send(harness, CRASHING)).toEqual(true);
  crash(harness);
  harness.advance(480_000);
  expect(send(harness, CRASHING)).toEqual(false);
});

test('a segment is barred at its service only', () => {
  const harness = gatewayWithCrash();
  expect(send(harness, CRASHING, { path: '/b/x' })).toEqual(true);
});

test('a retry waits for the check of the target', () => {
  const harness = gateway(2, ['t-1', 't-2']);
  send(harness, SOUND);
  failCall(harness, CallStage.Sent);
  expect(callCount(harness)).toEqual(1);
  reportCheck(harness, TargetReachability.Listening);
  expect(callCount(harness)).toEqual(2);
});

test('a request that crashed its target is not retried', () => {
  const harness = gateway(2, ['t-1', 't-2']);
  serve(harness);
  send(harness, CRASHING);
  failCall(harness, CallStage.Sent);
  reportCheck(harness, TargetReachability.Refusing);
  expect(callCount(harness)).toEqual(2);
  expect(harness.statuses().at(-1)).toEqual(502);
});

test('a suspect that was not run is not sent again', () => {
  const harness = gateway(3, ['t-1', 't-2', 't-3']);
  serve(harness);
  send(harness, CRASHING);
  const callId = harness.lastCallId();
  suspectMessages(gatewayWithCrash()).forEach((message) => receive(harness, message));
  const head = headOf({ status: 503, isNotRun: true });
  harness.post({ kind: EventKind.TargetHeadReceived, callId, head });
  harness.post({ kind: EventKind.TargetAnswerEnded, callId });
  expect(callCount(harness)).toEqual(2);
});

test('a peer refuses what it was told of', () => {
  const peer = gateway();
  suspectMessages(gatewayWithCrash()).forEach((message) => receive(peer, message));
  expect(send(peer, CRASHING)).toEqual(false);
  expect(serve(peer)).toEqual(true);
});

test('a peer that missed the report is told of suspects', () => {
  const harness = gatewayWithCrash();
  meetPeer(harness);
  const before = harness.effects.length;
  harness.advance(1_000);
  const peer = gateway();
  suspectMessages(harness, before).forEach((message) => receive(peer, message));
  expect(send(peer, CRASHING)).toEqual(false);
});

test('a gateway that starts asks for suspects', () => {
  const harness = gatewayWithCrash();
  const starting = gateway();
  meetPeer(starting);
  const queries = messagesOf(starting).filter(({ kind }) => kind === QueryStartState);
  expect(queries.length).toEqual(1);
  const before = harness.effects.length;
  queries.forEach((message) => receive(harness, message));
  suspectMessages(harness, before).forEach((message) => receive(starting, message));
  expect(send(starting, CRASHING)).toEqual(false);
});

test('a peer that has answers corrects a report', () => {
  const harness = gateway();
  meetPeer(harness);
  send(harness, CRASHING);
  crash(harness);
  const peer = gateway();
  serve(peer);
  const before = peer.effects.length;
  suspectMessages(harness).forEach((message) => receive(peer, message));
  expect(send(peer, CRASHING)).toEqual(false);
  suspectMessages(peer, before).forEach((message) => receive(harness, message));
  harness.advance(10_000);
  expect(send(harness, CRASHING)).toEqual(false);
});

test('suspicion ends when a peer reports an answer', () => {
  const harness = gatewayWithCrash();
  const peer = gateway();
  suspectMessages(harness).forEach((message) => receive(peer, message));
  peer.advance(60_000);
  meetPeer(peer);
  const before = peer.effects.length;
  serve(peer, CRASHING);
  suspectMessages(peer, before).forEach((message) => receive(harness, message));
  expect(send(harness, CRASHING)).toEqual(true);
});

test('a crash with many segments is reported in part', () => {
  const harness = gateway();
  meetPeer(harness);
  send(
    harness,
    Array.from({ length: 1_000 }, (_, index) => `s-${index}`),
  );
  crash(harness);
  const [report] = messagesOf(harness).filter(({ kind }) => kind === CrashReport);
  expect(report?.kind === CrashReport && report.segments.length).toEqual(32);
});

test('crashes of many targets evict no suspect', () => {
  const harness = gatewayWithCrash();
  Array.from({ length: 200 }, (_, index) =>
    receive(harness, {
      kind: CrashReport,
      fingerprint: `other-${index}`,
      instanceId: `other-${index}`,
      segments: ['plain/other'],
      answers: [],
    }),
  );
  expect(send(harness, CRASHING)).toEqual(false);
});
