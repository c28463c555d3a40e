/** @module The proxy harms connections as it says, and in no other way. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import LinkFault from '../src/LinkFault.js';
import LoopbackProxy from '../src/LoopbackProxy.js';

interface Scene {
  readonly proxy: LoopbackProxy;
  readonly client: Socket;
  readonly far: Socket;
  readonly close: () => void;
}

const sceneOf = async (): Promise<Scene> => {
  const server: Server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const proxy = await LoopbackProxy.create((server.address() as AddressInfo).port);
  const [host = '', port = ''] = proxy.address.split(':');
  const client = connect(Number(port), host);
  const [far] = (await once(server, 'connection')) as [Socket];
  const close = (): void => {
    client.destroy();
    far.destroy();
    proxy.close();
    server.close();
  };
  return { proxy, client, far, close };
};

/** Reads until as many bytes have come. */
const readText = async (socket: Socket, length: number): Promise<string> => {
  let text = '';
  socket.setEncoding('utf8');
  // eslint-disable-next-line no-restricted-syntax -- streams are read by iteration
  for await (const part of socket.iterator({ destroyOnReturn: false })) {
    text += String(part);
    if (text.length >= length) {
      break;
    }
  }
  return text;
};

test('passes bytes both ways', async () => {
  const { client, far, close } = await sceneOf();
  client.write('ask');
  expect(await readText(far, 3)).toEqual('ask');
  far.write('answer');
  expect(await readText(client, 6)).toEqual('answer');
  close();
});

test('bytes keep their order when a delay ends', async () => {
  const { proxy, client, far, close } = await sceneOf();
  proxy.setFault(LinkFault.Delayed);
  const delayed = new Promise<void>((resolve) => {
    client.write('first', () => setImmediate(resolve));
  });
  await delayed;
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
  proxy.setFault(LinkFault.None);
  client.write('second');
  expect(await readText(far, 11)).toEqual('firstsecond');
  close();
});

test('resets open connections', async () => {
  const { proxy, client, close } = await sceneOf();
  const failed = once(client, 'error') as Promise<[NodeJS.ErrnoException]>;
  proxy.setFault(LinkFault.Reset);
  const [error] = await failed;
  expect(error.code).toEqual('ECONNRESET');
  close();
});

test('lets requests pass one way', async () => {
  const { proxy, client, far, close } = await sceneOf();
  proxy.setFault(LinkFault.OneWay);
  client.write('ask');
  expect(await readText(far, 3)).toEqual('ask');
  let received = '';
  client.on('data', (bytes: Buffer) => {
    received += bytes.toString();
  });
  far.write('answer');
  far.end();
  await once(far, 'finish');
  expect(received).toEqual('');
  close();
});
