import { connect } from 'node:net';
import { test } from 'node:test';
import { EventKind, type Event } from '@ebonysill/core';
import { expect } from 'earl';
import { HandshakeStep, LinkEnd, LinkHandshake } from '../src/link-handshake.js';
import { LinkPort } from '../src/index.js';

const sendProofTo = (dialler: LinkHandshake, listener: LinkHandshake): HandshakeStep => {
  dialler.receive(listener.nonce);
  listener.receive(dialler.nonce);
  return listener.receive(dialler.createProof());
};

test('same secret', () => {
  const dialler = LinkHandshake.create('secret', LinkEnd.Dialler);
  expect(sendProofTo(dialler, LinkHandshake.create('secret', LinkEnd.Listener))).toEqual(
    HandshakeStep.Done,
  );
});

test('other secret', () => {
  const dialler = LinkHandshake.create('other', LinkEnd.Dialler);
  expect(sendProofTo(dialler, LinkHandshake.create('secret', LinkEnd.Listener))).toEqual(
    HandshakeStep.Reject,
  );
});

test('reflected proof', () => {
  const listener = LinkHandshake.create('secret', LinkEnd.Listener);
  listener.receive(LinkHandshake.create('secret', LinkEnd.Dialler).nonce);
  expect(listener.receive(listener.createProof())).toEqual(HandshakeStep.Reject);
});

test('reflected nonce', () => {
  const listener = LinkHandshake.create('secret', LinkEnd.Listener);
  expect(listener.receive(listener.nonce)).toEqual(HandshakeStep.Reject);
});

const openWithSecret = async (secret: string): Promise<readonly EventKind[]> => {
  const events: Event[] = [];
  const listener = LinkPort.create('secret of the listener', (event) => events.push(event));
  const port = await listener.listen('127.0.0.1', 0);
  const dialler = LinkPort.create(secret, () => undefined);
  dialler.open({ kind: 'open-link' as never, linkId: 'link', host: '127.0.0.1', port });
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  listener.shutdown();
  dialler.shutdown();
  return events.map(({ kind }) => kind);
};

test('fleet member gets in', async () => {
  expect((await openWithSecret('secret of the listener'))[0]).toEqual(EventKind.LinkOpened);
});

test('stranger stays out', async () => {
  expect((await openWithSecret('another secret')).includes(EventKind.LinkOpened)).toEqual(false);
});

test('garbage stays out', async () => {
  const events: Event[] = [];
  const listener = LinkPort.create('secret', (event) => events.push(event));
  const port = await listener.listen('127.0.0.1', 0);
  const socket = connect({ port, host: '127.0.0.1' });
  await new Promise((resolve) => {
    socket.once('close', resolve);
    socket.on('error', () => undefined);
    socket.resume();
    socket.write('GET / HTTP/1.1\r\n\r\n');
  });
  listener.shutdown();
  expect(events.some(({ kind }) => kind === EventKind.LinkOpened)).toEqual(false);
});
