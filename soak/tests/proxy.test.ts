/** @module The proxy forwards bytes in order and injects the faults that are set. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import LinkFault from '../src/LinkFault.js';
import LoopbackProxy from '../src/LoopbackProxy.js';

interface ProxiedConnection {
  readonly proxy: LoopbackProxy;
  readonly client: Socket;
  readonly upstream: Socket;
  readonly close: () => void;
}

const openConnection = async (): Promise<ProxiedConnection> => {
  const server: Server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const proxy = await LoopbackProxy.create((server.address() as AddressInfo).port);
  const [host = '', port = ''] = proxy.address.split(':');
  const client = connect(Number(port), host);
  const [upstream] = (await once(server, 'connection')) as [Socket];
  const close = (): void => {
    client.destroy();
    upstream.destroy();
    proxy.close();
    server.close();
  };
  return { proxy, client, upstream, close };
};

/** Reads until at least `length` characters have arrived. */
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

test('forwards bytes in both directions', async () => {
  const { client, upstream, close } = await openConnection();
  client.write('ask');
  expect(await readText(upstream, 3)).toEqual('ask');
  upstream.write('answer');
  expect(await readText(client, 6)).toEqual('answer');
  close();
});

test('bytes keep their order when a delay ends', async () => {
  const { proxy, client, upstream, close } = await openConnection();
  proxy.setFault(LinkFault.Delayed);
  const written = new Promise<void>((resolve) => {
    client.write('first', () => setImmediate(resolve));
  });
  await written;
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
  proxy.setFault(LinkFault.None);
  client.write('second');
  expect(await readText(upstream, 11)).toEqual('firstsecond');
  close();
});

test('reset fault resets open connections', async () => {
  const { proxy, client, close } = await openConnection();
  const failed = once(client, 'error') as Promise<[NodeJS.ErrnoException]>;
  proxy.setFault(LinkFault.Reset);
  const [error] = await failed;
  expect(error.code).toEqual('ECONNRESET');
  close();
});

test('one-way fault forwards requests and drops answers', async () => {
  const { proxy, client, upstream, close } = await openConnection();
  proxy.setFault(LinkFault.OneWay);
  client.write('ask');
  expect(await readText(upstream, 3)).toEqual('ask');
  let received = '';
  client.on('data', (bytes: Buffer) => {
    received += bytes.toString();
  });
  upstream.write('answer');
  upstream.end();
  await once(upstream, 'finish');
  expect(received).toEqual('');
  close();
});
