/* eslint-disable import-x/extensions, no-console, class-methods-use-this -- a script that runs as it is */
/** Settings and store items of a small deployment on loopback addresses. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import Program from './Program.mjs';

export const PEER_PORT = 7340;

export const CALLER_PORT = 8227;

export const READINESS_PORT = 8220;

const METRICS_PORT = 7355;

/** An address of 127.0.0.0/8 that depends on this process, so that runs do not collide. */
const hostOf = (index) =>
  `127.${1 + (Math.floor(process.pid / 250) % 250)}.${1 + (process.pid % 250)}.${index + 1}`;

export default class Deployment {
  programs = [];

  constructor({ storeAddress, gatewayCount, folder }) {
    this.folder = folder;
    this.storeAddress = storeAddress;
    this.gatewayCount = gatewayCount;
  }

  static async create(options) {
    return new Deployment({ ...options, folder: await mkdtemp(join(tmpdir(), 'review-')) });
  }

  startGateway(index, changes = {}) {
    return this.#start('gateway', {
      processName: `edge-${index + 1}`,
      ...this.#peerSettings(index),
      callerAddress: `${hostOf(index)}:${CALLER_PORT}`,
      readinessAddress: `${hostOf(index)}:${READINESS_PORT}`,
      storeAddress: this.storeAddress,
      graceSeconds: 8,
      drainTimeoutMs: 2000,
      heartbeatIntervalMs: '1200',
      features:
        'base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,experts',
      memoryMb: '272',
      fileDescriptors: '2069',
      retryBudget: { ratio: 0.2, windowSeconds: 10, extraCount: 184 },
      ...changes,
    });
  }

  startAgent(rank, engineAddress, serviceName) {
    return this.#start('rank-agent', {
      processName: `side-${rank + 1}`,
      ...this.#peerSettings(this.gatewayCount + rank),
      serviceName,
      engineAddress,
    });
  }

  gatewayHost(index) {
    return hostOf(index);
  }

  async close() {
    await Promise.all(this.programs.map((program) => program.close()));
    if (process.env.KEEP_LOGS === undefined) {
      await rm(this.folder, { recursive: true, force: true });
    } else {
      console.log(`logs in ${this.folder}`);
    }
  }

  async #start(role, settings) {
    const program = await Program.create({ role, settings, folder: this.folder });
    this.programs.push(program);
    return program;
  }

  #peerSettings(index) {
    return {
      availabilityZone: ['zone-a', 'zone-b', 'zone-c'][index % 3],
      host: hostOf(index),
      peerPort: PEER_PORT,
      metricsPort: METRICS_PORT,
      seedAddresses: Array.from(
        { length: Math.min(3, this.gatewayCount) },
        (_, seed) => `${hostOf(seed)}:8229`,
      ),
    };
  }
}
