/**
 * @module Compares tRPC with framed links as the channel for streamed answers, in alternating
 * rounds.
 */
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import { MessageKind, Outcome, type Message } from '@ebonysill/core';
import { decodeMessage, encodeMessage, FrameReader, frame } from '@ebonysill/transport';
import { createTRPCClient, httpBatchStreamLink } from '@trpc/client';
import { initTRPC } from '@trpc/server';
import { createHTTPServer } from '@trpc/server/adapters/standalone';
import { z } from 'zod';
import { LatencySample } from './latency-sample.js';
import { runBatch } from './run-batch.js';

const CHUNKS = 16;

const REQUESTS = 1_500;

const CONCURRENCY = 16;

const ROUNDS = 3;

const DATA = 'data: {"choices":[{"index":0,"delta":{"content":"tea "}}]}\n\n';

const trpc = initTRPC.create();

const router = trpc.router({
  run: trpc.procedure.input(z.object({ runId: z.string(), chunkCount: z.int() })).query(
    // eslint-disable-next-line func-names -- generators have no arrow form
    async function* ({ input }) {
      yield* Array.from({ length: input.chunkCount }, (_, sequence) => ({ sequence, data: DATA }));
    },
  ),
});

interface Channel {
  readonly name: string;
  readonly send: (index: number) => Promise<void>;
  readonly transferredBytes: () => number;
  readonly close: () => void;
}

const listenOn = (server: Server): Promise<number> =>
  new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port));
  });

const countBytes = (server: Server): (() => number) => {
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => sockets.add(socket));
  return () =>
    [...sockets].reduce((sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten, 0);
};

const drainIterator = async <TItem>(iterator: AsyncIterator<TItem>): Promise<void> => {
  const { done } = await iterator.next();
  if (done !== true) {
    await drainIterator(iterator);
  }
};

const createTrpcChannel = async (): Promise<Channel> => {
  const server = createHTTPServer({ router });
  const transferredBytes = countBytes(server);
  const port = await listenOn(server);
  const client = createTRPCClient<typeof router>({
    links: [httpBatchStreamLink({ url: `http://127.0.0.1:${port}`, maxItems: 1 })],
  });
  return {
    name: 'trpc stream',
    send: async (index) => {
      const answer = await client.run.query({ runId: String(index), chunkCount: CHUNKS });
      await drainIterator(answer[Symbol.asyncIterator]());
    },
    transferredBytes,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};

const messagesOfRun = (runId: string): readonly Message[] => [
  { kind: MessageKind.RunHead, runId, status: 200, contentType: 'text/event-stream' },
  ...Array.from({ length: CHUNKS }, (_, sequence) => ({
    kind: MessageKind.RunChunk as const,
    runId,
    sequence,
    data: DATA,
  })),
  { kind: MessageKind.RunEnd, runId, chunkCount: CHUNKS },
];

const onMessages = (socket: Socket, onMessage: (message: Message) => void): void => {
  const reader = FrameReader.create();
  socket.setNoDelay(true);
  socket.on('data', (bytes) => {
    (reader.push(bytes) ?? []).forEach((payload) => {
      const message = decodeMessage(payload);
      if (message !== undefined) {
        onMessage(message);
      }
    });
  });
};

const write = (socket: Socket, message: Message): void => {
  socket.write(frame(encodeMessage(message)));
};

/**
 * Each request is a `Cancel` message, which carries only a `runId`; the server answers it with all
 * messages of a run.
 */
const createFramedChannel = async (): Promise<Channel> => {
  const server = createServer((socket) => {
    onMessages(socket, (message) => {
      if (message.kind === MessageKind.Cancel) {
        messagesOfRun(message.runId).forEach((answer) => write(socket, answer));
      }
    });
  });
  const transferredBytes = countBytes(server);
  const port = await listenOn(server);
  const pendingRequests = new Map<string, () => void>();
  const client = connect({ port, host: '127.0.0.1' });
  onMessages(client, (message) => {
    if (message.kind === MessageKind.RunEnd) {
      pendingRequests.get(message.runId)?.();
      pendingRequests.delete(message.runId);
    }
  });
  return {
    name: 'framed link',
    send: (index) =>
      new Promise((resolve) => {
        pendingRequests.set(String(index), resolve);
        write(client, { kind: MessageKind.Cancel, runId: String(index) });
      }),
    transferredBytes,
    close: () => {
      client.destroy();
      server.close();
    },
  };
};

const measure = async (channel: Channel): Promise<void> => {
  const sample = LatencySample.create();
  const bytesBefore = channel.transferredBytes();
  const heapBefore = process.memoryUsage().heapUsed;
  await runBatch({ requestCount: REQUESTS, concurrency: CONCURRENCY, send: channel.send, sample });
  const { p50Ms, p99Ms, requestsPerSecond } = sample.summarise();
  const bytesPerRequest = (channel.transferredBytes() - bytesBefore) / REQUESTS;
  const heapMb = (process.memoryUsage().heapUsed - heapBefore) / 1e6;
  process.stdout.write(
    `${channel.name.padEnd(12)} ${requestsPerSecond.toFixed(0)} requests/s  ` +
      `p50 ${p50Ms.toFixed(2)} ms  p99 ${p99Ms.toFixed(2)} ms  ` +
      `${bytesPerRequest.toFixed(0)} bytes/request  heap growth ${heapMb.toFixed(1)} MB\n`,
  );
};

const channels = [await createTrpcChannel(), await createFramedChannel()];
await Array.from({ length: ROUNDS }, () => channels)
  .flat()
  .reduce<Promise<void>>(async (previous, channel) => {
    await previous;
    await measure(channel);
  }, Promise.resolve());
channels.forEach(({ close }) => close());
process.stdout.write(`every request streams ${CHUNKS} chunks; outcome ${Outcome.Done}\n`);
