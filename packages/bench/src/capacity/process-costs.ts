/** @module Memory and processor time of a single process under a given load. */
import {
  CallerIntent,
  Continuation,
  EventKind,
  MessageKind,
  ServiceName,
  type Configuration,
  type Message,
} from '@ebonysill/core';
import { buildFleetConfiguration, modelService } from '@ebonysill/emulator';
import { createEntryServices } from '@ebonysill/entry';
import { createSidecarServices } from '@ebonysill/sidecar';
import { cpuMsOf, heapKbOf } from './measure.js';
import { SoloProcess } from './solo-process.js';

const MODEL = 'model-0';

const CHUNK = 'data: {"choices":[{"index":0,"delta":{"content":"tea "}}]}\n\n';

/** Limit of concurrent requests, or time in ms, that no measurement reaches. */
const UNREACHED_LIMIT = 1_000_000;

/** Chunks received of each stream before memory is measured. */
const CHUNKS_PER_STREAM = 100;

const configurationOf = (serviceCount: number, targetsPerZone: number): Configuration =>
  buildFleetConfiguration(
    {
      zones: ['zone-a'],
      targetsPerZone,
      services: Array.from({ length: serviceCount }, (_, index) =>
        modelService(`model-${index}`, Continuation.Resume),
      ),
      organisations: ['org-0'],
      concurrency: UNREACHED_LIMIT,
      coldConcurrency: 1,
    },
    1,
    [],
  );

const startEntry = (serviceCount: number, targetsPerService: number): SoloProcess =>
  SoloProcess.create({
    configuration: configurationOf(serviceCount, targetsPerService),
    createServices: (runtime) =>
      createEntryServices({
        runtime,
        processId: 'entry-1',
        availabilityZone: 'zone-a',
        isReader: true,
        maxInProgress: UNREACHED_LIMIT,
        seeds: [],
      }),
  });

const startSidecar = (linkCount: number): SoloProcess => {
  const targetId = `${MODEL}-zone-a-1`;
  const sidecar = SoloProcess.create({
    configuration: configurationOf(1, 1),
    createServices: (runtime) =>
      createSidecarServices({ runtime, targetId, availabilityZone: 'zone-a' }),
  });
  Array.from({ length: linkCount }, (_, index) =>
    sidecar.acceptLink(`inbound#${index}`, `entry-${index}`),
  );
  return sidecar;
};

const postRequests = ({ kernel }: SoloProcess, count: number): void => {
  Array.from({ length: count }, (_, index) =>
    kernel.post({
      kind: EventKind.CallerRequest,
      exchangeId: `exchange-${index}`,
      intent: CallerIntent.Run,
      service: MODEL,
      method: 'POST',
      path: '/v1/chat/completions',
      contentType: 'application/json',
      body: `{"model":"${MODEL}","index":${index}}`,
      credential: 'org-0',
      priority: 5,
    }),
  );
};

const beginAnswers = (entry: SoloProcess): void => {
  entry.sentRuns.forEach(({ linkId, runId }) =>
    entry.receive(linkId, {
      kind: MessageKind.RunHead,
      runId,
      status: 200,
      contentType: 'text/event-stream',
    }),
  );
};

const receiveChunks = (entry: SoloProcess, from: number, count: number): void => {
  entry.sentRuns.forEach(({ linkId, runId }) =>
    Array.from({ length: count }, (_, index) =>
      entry.receive(linkId, {
        kind: MessageKind.RunChunk,
        runId,
        sequence: from + index,
        data: CHUNK,
      }),
    ),
  );
};

const runMessage = (index: number): Message => ({
  kind: MessageKind.Run,
  runId: `run-${index}`,
  requestId: `request-${index}`,
  organisationId: 'org-0',
  request: { service: MODEL, method: 'POST', path: '/', contentType: '', body: `body-${index}` },
  timeLeftMs: UNREACHED_LIMIT,
  priority: 5,
  fingerprint: `fingerprint-${index}`,
  crashCount: 0,
  deliveredCount: 0,
  continuation: Continuation.Resume,
});

/** Heap of an entry process with links to `linkCount` sidecars, in KB. */
export const entryLinksKb = (linkCount: number): number =>
  heapKbOf(() => startEntry(linkCount / 16, 16));

/** Heap that `streamCount` streams in progress add to an entry process, in KB. */
export const entryStreamsKb = (streamCount: number): number => {
  const entry = startEntry(1, 16);
  return heapKbOf(() => {
    postRequests(entry, streamCount);
    beginAnswers(entry);
    receiveChunks(entry, 0, CHUNKS_PER_STREAM);
    return entry;
  });
};

/** Heap of a sidecar with `linkCount` inbound links, in KB. */
export const sidecarLinksKb = (linkCount: number): number =>
  heapKbOf(() => startSidecar(linkCount));

/** Heap that `keyCount` minted and claimed keys add to a sidecar, in KB. */
export const sidecarKeysKb = (keyCount: number): number => {
  const ledger = startSidecar(1).kernel.find(ServiceName.KeyLedger);
  return heapKbOf(() => {
    Array.from({ length: keyCount }, () => {
      const minted = ledger.mint('org-0');
      return 'key' in minted ? ledger.claim(minted.key, 'org-0', 'fingerprint').kind : minted.kind;
    });
    return ledger;
  });
};

/** Processor time of an entry process for `chunkCount` chunks over 64 streams, in ms. */
export const entryChunksMs = (chunkCount: number): number =>
  cpuMsOf(() => {
    const entry = startEntry(1, 16);
    postRequests(entry, 64);
    beginAnswers(entry);
    return () => receiveChunks(entry, 0, chunkCount / 64);
  });

/** Processor time of an entry process for `requestCount` requests, in ms. */
export const entryRequestsMs = (requestCount: number): number =>
  cpuMsOf(() => {
    const entry = startEntry(1, 16);
    return () => postRequests(entry, requestCount);
  });

/** Processor time of a sidecar for `heartbeatCount` heartbeats over 16 links, in ms. */
export const heartbeatsMs = (heartbeatCount: number): number =>
  cpuMsOf(() => {
    const sidecar = startSidecar(16);
    return () => {
      Array.from({ length: heartbeatCount }, (_, index) =>
        sidecar.receive(`inbound#${index % 16}`, { kind: MessageKind.Heartbeat, revision: 1 }),
      );
    };
  });

/** Processor time of a sidecar for `chunkCount` chunks over 16 streams, in ms. */
export const sidecarChunksMs = (chunkCount: number): number =>
  cpuMsOf(() => {
    const sidecar = startSidecar(1);
    Array.from({ length: 16 }, (_, index) => sidecar.receive('inbound#0', runMessage(index)));
    sidecar.callIds.forEach((callId) =>
      sidecar.kernel.post({ kind: EventKind.TargetHead, callId, status: 200, contentType: '' }),
    );
    return () => {
      Array.from({ length: chunkCount / 16 }, (_, round) =>
        sidecar.callIds.forEach((callId, index) => {
          sidecar.kernel.post({ kind: EventKind.TargetChunk, callId, data: CHUNK });
          // Replenishes the credit of the stream, which stops once it is used up.
          if (round % 256 === 0) {
            sidecar.receive('inbound#0', {
              kind: MessageKind.Credit,
              runId: `run-${index}`,
              chunkCount: 256,
            });
          }
        }),
      );
    };
  });
