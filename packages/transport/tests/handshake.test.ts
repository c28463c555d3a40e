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

test('accepts the proof of a peer with the same secret', () => {
  const dialler = LinkHandshake.create('secret', LinkEnd.Dialler);
  expect(sendProofTo(dialler, LinkHandshake.create('secret', LinkEnd.Listener))).toEqual(
    HandshakeStep.Done,
  );
});

test('rejects the proof of a peer with another secret', () => {
  const dialler = LinkHandshake.create('other', LinkEnd.Dialler);
  expect(sendProofTo(dialler, LinkHandshake.create('secret', LinkEnd.Listener))).toEqual(
    HandshakeStep.Reject,
  );
});

test('rejects its own proof reflected by the peer', () => {
  const listener = LinkHandshake.create('secret', LinkEnd.Listener);
  listener.receive(LinkHandshake.create('secret', LinkEnd.Dialler).nonce);
  expect(listener.receive(listener.createProof())).toEqual(HandshakeStep.Reject);
});

test('rejects its own nonce reflected by the peer', () => {
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

test('opens a link to a peer with the same secret', async () => {
  expect((await openWithSecret('secret of the listener'))[0]).toEqual(EventKind.LinkOpened);
});

test('opens no link to a peer with another secret', async () => {
  expect((await openWithSecret('another secret')).includes(EventKind.LinkOpened)).toEqual(false);
});

test('opens no link without a valid handshake', async () => {
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
