/** @module Measures how memory, traffic and processor time grow with the size of a fleet. */
import { CallerIntent, Continuation, MessageKind, type Message } from '@ebonysill/core';
import {
  buildFleetConfiguration,
  createRandom,
  createRankFleet,
  modelService,
  type Fleet,
} from '@ebonysill/emulator';
import { decodeMessage, encodeMessage } from '@ebonysill/transport';
import ByteMeter from './ByteMeter.js';
import {
  BASE_SIZE,
  capacityServiceName,
  startCapacityFleet,
  type CapacitySize,
} from './capacity-fleet.js';
import { cpuMsOf, heapKbOf, measureSlope, type Slope } from './measure.js';
import {
  entryChunksMs,
  entryLinksKb,
  entryRequestsMs,
  entryStreamsKb,
  heartbeatsMs,
  sidecarChunksMs,
  sidecarKeysKb,
  sidecarLinksKb,
} from './process-costs.js';

const MINUTE_MS = 60_000;

/** Long enough to include several checks of every idle link. */
const MEASURED_MINUTES = 10;

/** Time for the configuration to reach every process before control traffic is counted. */
const SPREAD_MS = 10_000;

const SECONDS_PER_MINUTE = 60;

/** Schedules requests through one entry process at random times of the measured minutes. */
const scheduleRequests = ({ emulation }: Fleet, requestCount: number): void => {
  const random = createRandom(2);
  Array.from({ length: requestCount }, (_, index) =>
    emulation.time.schedule(random() * MEASURED_MINUTES * MINUTE_MS, () => {
      emulation.request('entry-1', {
        intent: CallerIntent.Run,
        service: capacityServiceName(0),
        method: 'POST',
        path: '/call',
        contentType: '',
        body: `request-${index}`,
        credential: 'org-0',
        priority: 5,
      });
    }),
  );
};

interface ControlMeasurement {
  readonly size: CapacitySize;
  readonly processId: string;
  readonly requestsPerSecond: number;
}

/** Mean control bytes per second that a process sends. */
const controlBytesPerSecond = ({
  size,
  processId,
  requestsPerSecond,
}: ControlMeasurement): number => {
  const meter = ByteMeter.create((senderId) => senderId === processId);
  const fleet = startCapacityFleet(size, { onSend: meter.onSend });
  fleet.emulation.runFor(SPREAD_MS);
  meter.start();
  scheduleRequests(fleet, requestsPerSecond * SECONDS_PER_MINUTE * MEASURED_MINUTES);
  fleet.emulation.runFor(MEASURED_MINUTES * MINUTE_MS);
  return meter.controlBytes / (MEASURED_MINUTES * SECONDS_PER_MINUTE);
};

const ENTRY_ID = 'entry-1';

const SIDECAR_ID = `${capacityServiceName(0)}-zone-a-1`;

const configurationMessage = (targetCount: number, organisationCount: number): Message => ({
  kind: MessageKind.ConfigurationValue,
  configuration: buildFleetConfiguration(
    {
      zones: ['zone-a'],
      targetsPerZone: targetCount,
      services: [modelService(capacityServiceName(0), Continuation.Resume)],
      organisations: Array.from({ length: organisationCount }, (_, index) => `org-${index}`),
      concurrency: 1,
      coldConcurrency: 1,
    },
    1,
    [],
  ),
});

const chunkMessage = (sequence: number): Message => ({
  kind: MessageKind.RunChunk,
  runId: '0123456789abcdef',
  sequence,
  data: 'data: {"choices":[{"index":0,"delta":{"content":"tea "}}]}\n\n',
});

const codecMs = (chunkCount: number): number =>
  cpuMsOf(() => () => {
    Array.from({ length: chunkCount }, (_, index) =>
      decodeMessage(encodeMessage(chunkMessage(index))),
    );
  });

const RANK_COUNT = 32;

const EXPERT_COUNT = 64;

/** Mean control bytes per map change that the driver beside the first rank sends. */
const bytesPerMapChange = (layerCount: number): number => {
  const meter = ByteMeter.create((senderId) => senderId === 'rank-0');
  const mapIds = new Set<number>();
  const { emulation } = createRankFleet({
    seed: 1,
    rankCount: RANK_COUNT,
    layerCount,
    expertCount: EXPERT_COUNT,
    loadMs: 500,
    propose: (rank) => (_counts, current) => (rank === 0 ? { ...current, mapId: 0 } : undefined),
    countsAt: () => [],
    stepMs: (_rank, map) => {
      mapIds.add(map.mapId);
      return 30;
    },
    onSend: meter.onSend,
  });
  meter.start();
  emulation.runFor(MINUTE_MS);
  return meter.controlBytes / mapIds.size;
};

const controlSlopes = (): readonly Slope[] => [
  measureSlope({
    name: 'entry: control sent on idle links',
    sizeUnit: 'links',
    valueUnit: 'bytes/s',
    sizes: [64, 128, 256, 512],
    read: (links) =>
      controlBytesPerSecond({
        size: { ...BASE_SIZE, serviceCount: links / 16, targetsPerService: 16, entryCount: 1 },
        processId: ENTRY_ID,
        requestsPerSecond: 0,
      }),
  }),
  measureSlope({
    name: 'entry: control sent for requests',
    sizeUnit: 'requests/s',
    valueUnit: 'bytes/s',
    sizes: [0.25, 0.5, 1, 2],
    read: (requestsPerSecond) =>
      controlBytesPerSecond({ size: BASE_SIZE, processId: ENTRY_ID, requestsPerSecond }),
  }),
  measureSlope({
    name: 'sidecar: control sent on idle links',
    sizeUnit: 'links',
    valueUnit: 'bytes/s',
    sizes: [4, 8, 16, 32],
    read: (links) =>
      controlBytesPerSecond({
        size: { ...BASE_SIZE, entryCount: links },
        processId: SIDECAR_ID,
        requestsPerSecond: 0,
      }),
  }),
];

const mapSlopes = (): readonly Slope[] => [
  measureSlope({
    name: 'driver: control sent for a change of map, 32 ranks',
    sizeUnit: 'layers',
    valueUnit: 'bytes',
    sizes: [2, 4, 8, 16],
    read: bytesPerMapChange,
  }),
];

const valueSlopes = (): readonly Slope[] => [
  measureSlope({
    name: 'configuration value by organisations',
    sizeUnit: 'organisations',
    valueUnit: 'bytes',
    sizes: [100, 400, 1_600, 6_400],
    read: (count) => encodeMessage(configurationMessage(0, count)).length,
  }),
  measureSlope({
    name: 'configuration value by targets',
    sizeUnit: 'targets',
    valueUnit: 'bytes',
    sizes: [50, 100, 200, 400],
    read: (count) => encodeMessage(configurationMessage(count, 0)).length,
  }),
];

const memorySlopes = (): readonly Slope[] => [
  measureSlope({
    name: 'organisations in memory',
    sizeUnit: 'organisations',
    valueUnit: 'KB',
    sizes: [2_000, 4_000, 8_000, 16_000],
    read: (count) => heapKbOf(() => decodeMessage(encodeMessage(configurationMessage(0, count)))),
  }),
  measureSlope({
    name: 'targets in memory',
    sizeUnit: 'targets',
    valueUnit: 'KB',
    sizes: [2_000, 4_000, 8_000, 16_000],
    read: (count) => heapKbOf(() => decodeMessage(encodeMessage(configurationMessage(count, 0)))),
  }),
  measureSlope({
    name: 'entry: links in memory',
    sizeUnit: 'links',
    valueUnit: 'KB',
    sizes: [640, 1_280, 2_560, 5_120],
    read: entryLinksKb,
  }),
  measureSlope({
    name: 'entry: streams in memory, 100 chunks each',
    sizeUnit: 'streams',
    valueUnit: 'KB',
    sizes: [50, 100, 200, 400],
    read: entryStreamsKb,
  }),
  measureSlope({
    name: 'sidecar: links in memory',
    sizeUnit: 'links',
    valueUnit: 'KB',
    sizes: [1_000, 2_000, 4_000, 8_000],
    read: sidecarLinksKb,
  }),
  measureSlope({
    name: 'sidecar: keys in memory',
    sizeUnit: 'keys',
    valueUnit: 'KB',
    sizes: [8_000, 16_000, 32_000, 64_000],
    read: sidecarKeysKb,
  }),
];

const processorSlopes = (): readonly Slope[] => [
  measureSlope({
    name: 'entry: decisions for requests',
    sizeUnit: 'requests',
    valueUnit: 'ms',
    sizes: [500, 1_000, 2_000, 4_000],
    read: entryRequestsMs,
  }),
  measureSlope({
    name: 'entry: decisions for chunks',
    sizeUnit: 'chunks',
    valueUnit: 'ms',
    sizes: [12_800, 25_600, 51_200, 102_400],
    read: entryChunksMs,
  }),
  measureSlope({
    name: 'sidecar: decisions for chunks',
    sizeUnit: 'chunks',
    valueUnit: 'ms',
    sizes: [12_800, 25_600, 51_200, 102_400],
    read: sidecarChunksMs,
  }),
  measureSlope({
    name: 'codec: one chunk written and read',
    sizeUnit: 'chunks',
    valueUnit: 'ms',
    sizes: [12_800, 25_600, 51_200, 102_400],
    read: codecMs,
  }),
  measureSlope({
    name: 'decisions for heartbeats',
    sizeUnit: 'heartbeats',
    valueUnit: 'ms',
    sizes: [20_000, 40_000, 80_000, 160_000],
    read: heartbeatsMs,
  }),
];

/**
 * Measures every slope; those of memory need node to run with `--expose-gc`.
 *
 * @example
 * measureSlopes().map(({ name }) => name);
 */
const measureSlopes = (): readonly Slope[] => [
  ...memorySlopes(),
  ...controlSlopes(),
  ...mapSlopes(),
  ...valueSlopes(),
  ...processorSlopes(),
];

export default measureSlopes;
