/**
 * @module Clients outside the limits at every listener of an entry process and of a sidecar: the process lives,
 * stays within the memory of its host, bytes that it has not read included, and the fleet answers.
 */
import { randomBytes } from 'node:crypto';
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { MemoryWatch, startCrowd, type CrowdCaller } from '@ebonysill/stand-ins';
import { completionBody, postCompletion } from '../src/caller.js';
import { DemoFleet, type RunningEntry, type RunningTarget } from '../src/demo-fleet.js';
import { credentialOf } from '../src/fleet-plan.js';

/** Memory of the hosts of entry process and sidecar. */
const MEMORY_MB = 160;

const DESCRIPTOR_COUNT = 2_048;

const HOST = '127.0.0.1';

const CALLER_COUNT = 400;

const LARGE_CHUNK_BYTES = 60_000;

/** Within the 1 MiB of a body. */
const LARGE_CHUNK_COUNT = 17;

/** Over the limit of a body. */
const OVER_LIMIT_CHUNK_COUNT = 70;

const SMALL_CHUNK_COUNT = 60_000;

const ORGANISATION = 'kochi-tea';

const CREDENTIAL = credentialOf(ORGANISATION);

let fleet: DemoFleet;

const head = (path: string, fields: string): Buffer =>
  Buffer.from(
    `POST ${path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${CREDENTIAL}\r\n${fields}\r\n`,
  );

const chunk = (sizeBytes: number): string =>
  `${sizeBytes.toString(16)}\r\n${'x'.repeat(sizeBytes)}\r\n`;

const CHUNKED = 'Transfer-Encoding: chunked\r\n';

const inLargeChunks = (path: string, chunkCount: number): CrowdCaller => ({
  parts: [
    head(path, CHUNKED),
    ...Array<Buffer>(chunkCount).fill(Buffer.from(chunk(LARGE_CHUNK_BYTES))),
  ],
});

const inSmallChunks = (path: string): CrowdCaller => ({
  parts: [head(path, CHUNKED), Buffer.from(chunk(1).repeat(SMALL_CHUNK_COUNT))],
});

const announced = (path: string, sizeBytes: number): CrowdCaller => ({
  parts: [
    head(path, `Content-Length: ${sizeBytes}\r\n`),
    ...Array<Buffer>(OVER_LIMIT_CHUNK_COUNT).fill(Buffer.alloc(LARGE_CHUNK_BYTES, 'x')),
  ],
});

const first = <T>(items: readonly T[]): T => {
  const [item] = items;
  if (item === undefined) {
    throw new Error('the fleet has no such process');
  }
  return item;
};

const entry = (): RunningEntry => first(fleet.entries);

const target = (): RunningTarget => first(fleet.targets);

const portOf = (url: string): number => Number(new URL(url).port);

interface Attack {
  readonly processId: number | undefined;
  readonly port: number;
  readonly caller: CrowdCaller;
}

/** Plays a crowd, and checks the process and the fleet while the crowd is still connected. */
const expectServed = async ({ processId = 0, port, caller }: Attack): Promise<void> => {
  const watch = MemoryWatch.create({ processId, ports: [port] });
  await startCrowd({ host: HOST, port, callerCount: CALLER_COUNT, caller });
  const { status } = await postCompletion(entry().url, CREDENTIAL, completionBody('ordinary', 3));
  const { residentMb, hostMb, descriptorCount } = await watch.stop();
  // eslint-disable-next-line no-console -- the measured values belong to the report of a test
  console.log(
    `${Math.round(residentMb)} MB, ${Math.round(hostMb)} MB with unread bytes, ${descriptorCount} descriptors`,
  );
  expect(status).toEqual(200);
  expect(residentMb).toBeLessThan(MEMORY_MB);
  expect(hostMb).toBeLessThan(MEMORY_MB);
  expect(descriptorCount).toBeLessThan(DESCRIPTOR_COUNT);
};

const expectCallersServed = (caller: CrowdCaller): Promise<void> => {
  const { program, url } = entry();
  return expectServed({ processId: program.child.pid, port: portOf(url), caller });
};

const expectEntryAdminServed = (caller: CrowdCaller): Promise<void> => {
  const { program, adminUrl } = entry();
  return expectServed({ processId: program.child.pid, port: portOf(adminUrl), caller });
};

const expectSidecarAdminServed = (caller: CrowdCaller): Promise<void> => {
  const { sidecar, adminUrl } = target();
  return expectServed({ processId: sidecar.child.pid, port: portOf(adminUrl), caller });
};

beforeEach(async () => {
  fleet = await DemoFleet.create({
    zones: ['kochi'],
    modelTargetsPerZone: 1,
    plainTargetsPerZone: 1,
    organisations: [ORGANISATION],
    tokenIntervalMs: 1,
    entryMemoryMb: MEMORY_MB,
  });
});

afterEach(() => fleet.stop());

const COMPLETIONS = '/v1/chat/completions';

const STATUS = '/status';

// Blocks that are no longer used, and pieces of bodies that were dropped, took more than the bodies.
test('entry, callers with bodies in large chunks', () =>
  expectCallersServed(inLargeChunks(COMPLETIONS, LARGE_CHUNK_COUNT)));

test('entry, callers with bodies over the limit, just sent', () =>
  expectCallersServed(inLargeChunks(COMPLETIONS, OVER_LIMIT_CHUNK_COUNT)));

test('entry, callers with bodies over the limit, announced', () =>
  expectCallersServed(announced(COMPLETIONS, 1_000_000_000)));

// An ordinary request waited for seconds behind the blocks of all others.
test('entry, callers with small chunks', () => expectCallersServed(inSmallChunks(COMPLETIONS)));

// Each small chunk was kept as an object until the body ended.
test('entry, operators with small chunks', () => expectEntryAdminServed(inSmallChunks(STATUS)));

test('entry, operators with bodies in large chunks', () =>
  expectEntryAdminServed(inLargeChunks(STATUS, OVER_LIMIT_CHUNK_COUNT)));

test('entry, operators with bodies over the limit, announced', () =>
  expectEntryAdminServed(announced(STATUS, 1_000_000_000)));

test('entry, small chunks for the metrics', () =>
  expectEntryAdminServed(inSmallChunks('/metrics')));

test('sidecar, operators with small chunks', () => expectSidecarAdminServed(inSmallChunks(STATUS)));

test('sidecar, operators with bodies in large chunks', () =>
  expectSidecarAdminServed(inLargeChunks(STATUS, OVER_LIMIT_CHUNK_COUNT)));

test('sidecar, operators with bodies over the limit, announced', () =>
  expectSidecarAdminServed(announced(STATUS, 1_000_000_000)));

const linkPort = (): number => target().sidecarPort;

// Strangers reach the port for links too.
test('sidecar, links with bytes that are no handshake', () =>
  expectServed({
    processId: target().sidecar.child.pid,
    port: linkPort(),
    caller: { parts: Array<Buffer>(OVER_LIMIT_CHUNK_COUNT).fill(randomBytes(LARGE_CHUNK_BYTES)) },
  }));

test('sidecar, links with a frame that does not end', () => {
  const frameHead = Buffer.alloc(5);
  frameHead.writeUInt32BE(64);
  return expectServed({
    processId: target().sidecar.child.pid,
    port: linkPort(),
    caller: { parts: [frameHead] },
  });
});
