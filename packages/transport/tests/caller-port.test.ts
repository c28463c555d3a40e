/** @module How an answer that breaks off reaches its caller. */
import { request, type IncomingMessage } from 'node:http';
import { test } from 'node:test';
import { EffectKind, EventKind, Reason, notRun, type Event } from '@ebonysill/core';
import { expect } from 'earl';
import { CallerPort } from '../src/index.js';

const HOST = '127.0.0.1';

interface BrokenAnswer {
  readonly text: string;
  readonly isComplete: boolean;
}

/** Sends a request whose answer breaks off after its first chunk. */
const receiveBroken = async (contentType: string): Promise<BrokenAnswer> => {
  const callers: CallerPort = CallerPort.create({
    readPage: () => undefined,
    post: (event: Event) => {
      if (event.kind !== EventKind.CallerRequest) {
        return;
      }
      const { exchangeId } = event;
      const requestId = 'r-1';
      callers.perform({
        kind: EffectKind.AnswerHead,
        exchangeId,
        requestId,
        status: 200,
        contentType,
      });
      callers.perform({ kind: EffectKind.AnswerChunk, exchangeId, data: 'data: a\n\n' });
      callers.perform({
        kind: EffectKind.AnswerProblem,
        exchangeId,
        requestId,
        problem: notRun(Reason.Overloaded, 'gone'),
      });
    },
  });
  const port = await callers.listen(HOST, 0);
  const path = '/services/enrolment/x';
  const answer = await new Promise<BrokenAnswer>((resolve, reject) => {
    const onAnswer = (incoming: IncomingMessage): void => {
      let text = '';
      incoming.on('data', (data: Buffer) => {
        text += data.toString();
      });
      incoming.on('error', () => undefined);
      incoming.on('close', () => resolve({ text, isComplete: incoming.complete }));
    };
    request(
      { host: HOST, port, path, agent: false, headers: { authorization: 'Bearer k' } },
      onAnswer,
    )
      .on('error', reject)
      .end();
  });
  callers.stopAccepting();
  callers.shutdown();
  return answer;
};

test('a broken event stream gets an error event and no end', async () => {
  const { text, isComplete } = await receiveBroken('text/event-stream');
  expect(text).toInclude('event: error\ndata: {');
  expect(isComplete).toEqual(false);
});

test('any other broken answer gets no end', async () => {
  const { text, isComplete } = await receiveBroken('application/json');
  expect(text.includes('event: error')).toEqual(false);
  expect(isComplete).toEqual(false);
});

/** Larger than what the system takes over at once for a caller that does not read. */
const LARGE_ANSWER = 'x'.repeat(16_000_000);

// Guards against a stop that cuts off answers which slow callers still receive.
test('a stop waits for an answer that is not taken yet', async () => {
  const callers: CallerPort = CallerPort.create({
    readPage: () => ({ status: 200, contentType: 'text/plain', body: LARGE_ANSWER }),
    post: () => undefined,
  });
  const port = await callers.listen(HOST, 0);
  const incoming = await new Promise<IncomingMessage>((resolve, reject) => {
    request({ host: HOST, port, path: '/page', agent: false }, resolve).on('error', reject).end();
  });
  callers.stopAccepting();
  let sizeBytes = 0;
  incoming.on('data', (data: Buffer) => {
    sizeBytes += data.length;
  });
  await callers.flush();
  callers.shutdown();
  await new Promise((resolve) => {
    incoming.on('close', resolve);
  });
  expect(incoming.complete).toEqual(true);
  expect(sizeBytes).toEqual(LARGE_ANSWER.length);
});
