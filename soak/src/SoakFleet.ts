/**
 * @module Gateways and rank agents as processes, with proxies between them and the stand-ins of the
 * store, the engine group and the targets.
 */
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Random } from '@ebonysill/emulator';
import {
  CONFIGURATION_KEY,
  EngineGroupStandIn,
  TargetStandIn,
  StoreStandIn,
  brokenConfigurationOf,
  configurationOf,
  targetEntryOf,
  targetKeyOf,
} from '@ebonysill/platform/stand-ins';
import LoopbackProxy from './LoopbackProxy.js';
import ManagedProgram from './ManagedProgram.js';

export interface SoakFleetOptions {
  readonly random: Random;
  /** Called when a process exits with a non-zero code, but not when a signal kills it. */
  readonly onUnexpectedExit: (detail: string) => void;
}

/** A target: the contents of its entry in the store, its stand-in and the proxy in front of it. */
export interface SoakTarget {
  readonly instanceId: string;
  readonly service: string;
  readonly zone: string;
  /** Stand-in of the target; "runner" is an older word for "target". */
  readonly runner: TargetStandIn;
  readonly proxy: LoopbackProxy;
}

/** A gateway process and the proxy between it and the store. */
export interface SoakGateway {
  readonly program: ManagedProgram;
  readonly settings: object;
  /** IP address on loopback. */
  readonly host: string;
  readonly storeProxy: LoopbackProxy;
}

/** A rank agent process and the proxy between it and its engine rank. */
export interface SoakAgent {
  readonly program: ManagedProgram;
  readonly settings: object;
  readonly engineProxy: LoopbackProxy;
}

/** Time from SIGTERM to SIGKILL, and the grace period in the settings of gateways. */
export const GRACE_SECONDS = 5;

const GATEWAY_COUNT = 3;

const RANK_COUNT = 4;

const PLAIN_TARGET_COUNT = 3;

const ZONES: readonly string[] = ['zone-a', 'zone-b', 'zone-c'];

const INITIAL_CREDENTIALS: readonly string[] = ['key-1', 'key-2', 'key-3', 'key-4', 'key-5'];

const PEER_PORT = 7_340;

const METRICS_PORT = 7_355;

/** Port on which every gateway accepts callers. */
export const CALLER_PORT = 8_227;

/** Port of every gateway's readiness endpoint. */
export const READINESS_PORT = 8_220;

const OCTET_VALUES = 256;

/**
 * Loopback address of one process. It contains the process id of the run, so that concurrent runs
 * do not collide.
 */
const hostOf = (index: number): string =>
  `127.${1 + (Math.floor(process.pid / OCTET_VALUES) % (OCTET_VALUES - 2))}.${process.pid % OCTET_VALUES}.${index + 1}`;

const programFile = (name: string): string =>
  fileURLToPath(import.meta.resolve(`@ebonysill/platform/bin/${name}`));

const zoneAt = (index: number): string => ZONES[index % ZONES.length] ?? '';

/** Starts the stand-ins, proxies and processes of one run and stops them. */
export class SoakFleet {
  readonly gateways: SoakGateway[] = [];

  readonly agents: SoakAgent[] = [];

  readonly targets: SoakTarget[] = [];

  /** Credentials in the configuration published last. */
  credentials = INITIAL_CREDENTIALS;

  #version = 1;

  private constructor(
    private readonly options: SoakFleetOptions,
    readonly folder: string,
    readonly store: StoreStandIn,
    readonly group: EngineGroupStandIn,
  ) {}

  /**
   * Starts the stand-ins, the proxies and the programs.
   *
   * @example
   * const fleet = await SoakFleet.create({ random, onUnexpectedExit });
   */
  static async create(options: SoakFleetOptions): Promise<SoakFleet> {
    const folder = await mkdtemp(join(tmpdir(), 'soak-'));
    const store = await StoreStandIn.create();
    const { random } = options;
    const group = await EngineGroupStandIn.create({ rankCount: RANK_COUNT, random });
    const fleet = new SoakFleet(options, folder, store, group);
    fleet.publishConfiguration(INITIAL_CREDENTIALS);
    await fleet.#startTargets();
    await fleet.#startPrograms();
    return fleet;
  }

  /** Writes a configuration with these credentials and a higher version to the store. */
  publishConfiguration(credentials: readonly string[]): void {
    this.#version += 2;
    this.credentials = credentials;
    this.store.put(CONFIGURATION_KEY, configurationOf(this.#version, credentials));
  }

  /** Writes a configuration of which some items cannot be read, with a higher version. */
  publishBrokenConfiguration(): void {
    this.#version += 2;
    this.store.put(CONFIGURATION_KEY, brokenConfigurationOf(this.#version, this.credentials));
  }

  /** Writes a target's entry to the store, as draining if `isLeaving`, otherwise as available. */
  publishTarget({ instanceId, service, proxy, zone }: SoakTarget, isLeaving: boolean): void {
    this.store.put(targetKeyOf(instanceId), targetEntryOf(service, proxy.address, zone, isLeaving));
  }

  /** Gateways, then rank agents, each in the order of their numbers. */
  get programs(): readonly ManagedProgram[] {
    return [...this.gateways, ...this.agents].map(({ program }) => program);
  }

  /** Kills the processes and closes proxies and stand-ins. */
  async close(): Promise<void> {
    await Promise.all(this.programs.map((program) => program.close()));
    this.gateways.forEach(({ storeProxy }) => storeProxy.close());
    this.agents.forEach(({ engineProxy }) => engineProxy.close());
    this.targets.forEach(({ runner, proxy }) => {
      proxy.close();
      runner.close();
    });
    this.group.close();
    this.store.close();
  }

  async #startTargets(): Promise<void> {
    const services = [
      ...Array.from({ length: PLAIN_TARGET_COUNT }, () => 'plain'),
      ...Array.from({ length: RANK_COUNT }, () => 'model'),
    ];
    const { random } = this.options;
    const started = services.map(async (service, index) => {
      const instanceId = `i-${index + 1}`;
      const rank = index - PLAIN_TARGET_COUNT;
      const runner = await TargetStandIn.create({
        instanceId,
        random,
        ...(rank < 0
          ? {}
          : { handleControl: (request, response) => this.group.handle(rank, request, response) }),
      });
      const proxy = await LoopbackProxy.create(runner.port);
      return { instanceId, service, zone: zoneAt(index), runner, proxy };
    });
    this.targets.push(...(await Promise.all(started)));
    this.targets.forEach((target) => this.publishTarget(target, false));
  }

  async #startPrograms(): Promise<void> {
    const gateways = Array.from({ length: GATEWAY_COUNT }, (_, index) => this.#startGateway(index));
    this.gateways.push(...(await Promise.all(gateways)));
    const agents = Array.from({ length: RANK_COUNT }, (_, rank) => this.#startAgent(rank));
    this.agents.push(...(await Promise.all(agents)));
  }

  async #startGateway(index: number): Promise<SoakGateway> {
    const host = hostOf(index);
    const storeProxy = await LoopbackProxy.create(Number(this.store.address.split(':')[1]));
    const settings = {
      processName: `gateway-${index + 1}`,
      availabilityZone: zoneAt(index),
      ...SoakFleet.#peerSettings(host),
      callerAddress: `${host}:${CALLER_PORT}`,
      readinessAddress: `${host}:${READINESS_PORT}`,
      storeAddress: storeProxy.address,
      graceSeconds: GRACE_SECONDS,
      retryBudget: { ratio: 0.2, windowSeconds: 10, extraCount: 200 },
    };
    const program = await this.#startProgram(settings.processName, 'gateway', settings);
    return { program, settings, host, storeProxy };
  }

  async #startAgent(rank: number): Promise<SoakAgent> {
    const engineProxy = await LoopbackProxy.create(this.group.portOf(rank));
    const settings = {
      processName: `agent-${rank + 1}`,
      availabilityZone: zoneAt(rank),
      ...SoakFleet.#peerSettings(hostOf(GATEWAY_COUNT + rank)),
      serviceName: 'model',
      engineAddress: engineProxy.address,
    };
    const program = await this.#startProgram(settings.processName, 'rank-agent', settings);
    return { program, settings, engineProxy };
  }

  static #peerSettings(host: string): object {
    return {
      host,
      peerPort: PEER_PORT,
      metricsPort: METRICS_PORT,
      seedAddresses: Array.from(
        { length: GATEWAY_COUNT },
        (_, index) => `${hostOf(index)}:${PEER_PORT}`,
      ),
    };
  }

  #startProgram(name: string, file: string, settings: object): Promise<ManagedProgram> {
    const { onUnexpectedExit } = this.options;
    return ManagedProgram.create({
      name,
      file: programFile(file),
      settings,
      folder: this.folder,
      onUnexpectedExit,
    });
  }
}
