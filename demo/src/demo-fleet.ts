/** @module Starts and stops a fleet of real processes on loopback. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { ServiceKind } from '@ebonysill/core';
import { request } from 'undici';
import {
  buildConfiguration,
  planTargets,
  type FleetPlan,
  type PlacedTarget,
  type PlannedTarget,
} from './fleet-plan.js';
import { programPath, spawnProgram, type Program } from './program.js';

/** A target process with its sidecar process. */
export interface RunningTarget extends PlacedTarget {
  readonly target: Program;
  readonly targetUrl: string;
  readonly sidecar: Program;
  readonly adminUrl: string;
}

export interface RunningEntry {
  readonly entryId: string;
  readonly program: Program;
  readonly url: string;
  readonly adminUrl: string;
}

interface ListeningLine {
  readonly listening: { readonly servingPort: number; readonly adminPort: number };
}

const OK = 200;

const READY_POLL_MS = 50;

const LINK_SECRET = 'secret of the demo fleet';

const HOST = '127.0.0.1';

/** Port at the end of the line that a stand-in prints once it listens. */
const portOf = (program: Program): number => Number(program.listening.split(' ').at(-1));

/** Ports in the JSON line that an entry process or a sidecar prints once it listens. */
const listeningPortsOf = (program: Program): ListeningLine['listening'] =>
  (JSON.parse(program.listening) as ListeningLine).listening;

const urlOf = (port: number): string => `http://${HOST}:${port}`;

/** Polls `/readyz` without a time limit; rejects if the process cannot be reached. */
const waitUntilReady = async (url: string): Promise<void> => {
  const { statusCode, body } = await request(`${url}/readyz`);
  await body.dump();
  if (statusCode !== OK) {
    await delay(READY_POLL_MS);
    await waitUntilReady(url);
  }
};

/** The processes of a running fleet and their settings files. */
export class DemoFleet {
  private constructor(
    private readonly folder: string,
    readonly plan: FleetPlan,
    readonly targets: readonly RunningTarget[],
    readonly configurationService: Program,
    readonly entries: readonly RunningEntry[],
  ) {}

  /**
   * Starts targets and sidecars, the configuration service and one entry process for each zone;
   * resolves when all entry processes are ready.
   *
   * @example
   * const fleet = await DemoFleet.create(plan);
   * await fleet.stop();
   */
  static async create(plan: FleetPlan): Promise<DemoFleet> {
    const folder = await mkdtemp(join(tmpdir(), 'ebonysill-'));
    const targets = await Promise.all(
      planTargets(plan).map((target) => DemoFleet.#startTarget(folder, plan, target)),
    );
    const file = join(folder, 'configuration.jsonc');
    await writeFile(file, JSON.stringify(buildConfiguration(plan, targets, 1)));
    const configurationService = await spawnProgram(programPath('stand-ins', 'configuration'), [
      '--port',
      '0',
      '--file',
      file,
    ]);
    const entries = await Promise.all(
      plan.zones.map((zone) =>
        DemoFleet.#startEntry(folder, zone, urlOf(portOf(configurationService)), plan),
      ),
    );
    await Promise.all(entries.map(({ url }) => waitUntilReady(url)));
    return new DemoFleet(folder, plan, targets, configurationService, entries);
  }

  /** URL of the configuration service. */
  get configurationUrl(): string {
    return urlOf(portOf(this.configurationService));
  }

  /** Options `--admin URL` of the command line for all entry processes and sidecars. */
  get adminOptions(): readonly string[] {
    return [...this.entries, ...this.targets].flatMap(({ adminUrl }) => ['--admin', adminUrl]);
  }

  /** Kills every process of the fleet and removes the settings files. */
  async stop(): Promise<void> {
    const programs = [
      ...this.entries.map(({ program }) => program),
      this.configurationService,
      ...this.targets.flatMap(({ target, sidecar }) => [target, sidecar]),
    ];
    programs.forEach(({ child }) => child.kill('SIGKILL'));
    await Promise.all(programs.map(({ exited }) => exited));
    await rm(this.folder, { recursive: true });
  }

  /**
   * Starts a new process on the port of a target that has exited; `stop` does not kill the new
   * process.
   */
  restartTarget({ target, kind }: RunningTarget): Promise<Program> {
    return DemoFleet.#spawnTarget(this.plan, kind === ServiceKind.Model, portOf(target));
  }

  static #spawnTarget(plan: FleetPlan, isModel: boolean, port: number): Promise<Program> {
    const options = isModel
      ? ['--token-interval-ms', String(plan.tokenIntervalMs)]
      : ['--hold-ms', String(plan.holdMs ?? 0)];
    const program = programPath('stand-ins', isModel ? 'engine' : 'plain');
    return spawnProgram(program, ['--port', String(port), ...options]);
  }

  static async #startTarget(
    folder: string,
    plan: FleetPlan,
    planned: PlannedTarget,
  ): Promise<RunningTarget> {
    const isModel = planned.kind === ServiceKind.Model;
    const target = await DemoFleet.#spawnTarget(plan, isModel, 0);
    const targetUrl = urlOf(portOf(target));
    const file = join(folder, `${planned.targetId}.jsonc`);
    const settings = {
      targetId: planned.targetId,
      availabilityZone: planned.availabilityZone,
      host: HOST,
      linkPort: 0,
      adminPort: 0,
      targetUrl,
      linkSecret: LINK_SECRET,
      logLevel: 'info',
    };
    await writeFile(file, JSON.stringify(settings));
    const sidecar = await spawnProgram(programPath('binaries', 'sidecar'), [file]);
    const { servingPort, adminPort } = listeningPortsOf(sidecar);
    return {
      ...planned,
      target,
      targetUrl,
      sidecar,
      sidecarPort: servingPort,
      adminUrl: urlOf(adminPort),
    };
  }

  static async #startEntry(
    folder: string,
    availabilityZone: string,
    configurationUrl: string,
    { entryMemoryMb }: FleetPlan,
  ): Promise<RunningEntry> {
    const entryId = `entry-${availabilityZone}`;
    const file = join(folder, `${entryId}.jsonc`);
    const settings = {
      processId: entryId,
      availabilityZone,
      host: HOST,
      callerPort: 0,
      adminPort: 0,
      configurationUrl,
      linkSecret: LINK_SECRET,
      logLevel: 'info',
      memoryMb: entryMemoryMb,
    };
    await writeFile(file, JSON.stringify(settings));
    const program = await spawnProgram(programPath('binaries', 'entry'), [file]);
    const { servingPort, adminPort } = listeningPortsOf(program);
    return { entryId, program, url: urlOf(servingPort), adminUrl: urlOf(adminPort) };
  }
}
