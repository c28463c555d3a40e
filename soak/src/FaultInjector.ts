/** @module Injects planned faults into a running fleet. */
import { setTimeout as delay } from 'node:timers/promises';
import { zoneOutKeyOf, targetKeyOf } from '@ebonysill/platform/stand-ins';
import type { LimitPeriod, Revocation } from './check-promises.js';
import { SoakFaultKind, type SoakFault } from './fault-plan.js';
import LinkFault from './LinkFault.js';
import type LoopbackProxy from './LoopbackProxy.js';
import type ManagedProgram from './ManagedProgram.js';
import { GRACE_SECONDS, type SoakFleet, type SoakTarget } from './SoakFleet.js';

/** A leaving target is published as draining for this time, then has no entry for as long. */
const LEAVE_MS = 2_500;

/** A revocation that would leave fewer credentials is skipped, so that requests can be served. */
const MIN_CREDENTIAL_COUNT = 2;

/** Share of answers that are lost although the request or order is still carried out. */
const LOST_ANSWER_SHARE = 0.3;

/** Time after which operators and targets write again what a restored store has lost. */
const WRITE_AGAIN_MS = 400;

/** Longer than the time after which a limit binds all gateways, and the window that is checked. */
const LIMIT_MS = 9_000;

const MAX_REQUESTS_PER_SECOND = 2;

const MS_PER_SECOND = 1_000;

const BLOCK_BYTES = 60_000;

const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Chunks of one byte, one large chunk, and comments of a stream. */
const ENDLESS_BLOCKS: readonly Buffer[] = [
  Buffer.from(chunkOf('x').repeat(BLOCK_BYTES / chunkOf('x').length)),
  Buffer.from(chunkOf('x'.repeat(BLOCK_BYTES))),
  Buffer.from(chunkOf(': wait\n\n').repeat(1_000)),
];

const pickComponent = <T>(values: readonly T[], componentIndex: number): T =>
  values[componentIndex % values.length] as T;

export default class FaultInjector {
  /** Revocations so far, in order of time. */
  readonly revocations: Revocation[] = [];

  /** Times in which targets named a limit. */
  readonly limits: LimitPeriod[] = [];

  private constructor(private readonly fleet: SoakFleet) {}

  /**
   * Creates an injector for a fleet.
   *
   * @example
   * await FaultInjector.create(fleet).inject(fault);
   */
  static create(fleet: SoakFleet): FaultInjector {
    return new FaultInjector(fleet);
  }

  /**
   * Injects one fault; resolves once it has been cleared. A kill resolves at once, and the
   * `ManagedProgram` restarts the process.
   */
  async inject(fault: SoakFault): Promise<void> {
    const { fleet } = this;
    const { componentIndex, spanMs } = fault;
    switch (fault.kind) {
      case SoakFaultKind.KillProcess:
        pickComponent(fleet.programs, componentIndex).signal('SIGKILL');
        return;
      case SoakFaultKind.PauseProcess:
        await FaultInjector.#pause(pickComponent(fleet.programs, componentIndex), spanMs);
        return;
      case SoakFaultKind.TerminateProcess:
        await FaultInjector.#terminate(pickComponent(fleet.programs, componentIndex));
        return;
      case SoakFaultKind.ReloadProcess:
        await this.#reload(componentIndex);
        return;
      case SoakFaultKind.StoreLinkFault:
        await FaultInjector.#injectLinkFault(
          pickComponent(fleet.gateways, componentIndex).storeProxy,
          fault,
        );
        return;
      case SoakFaultKind.TargetLinkFault:
        await FaultInjector.#injectLinkFault(this.#targetProxyOf(componentIndex), fault);
        return;
      default:
        await this.#injectPlatformFault(fault);
    }
  }

  /** Injects faults of the store, the engine group and targets, and changes that operators make. */
  async #injectPlatformFault({ kind, componentIndex, spanMs }: SoakFault): Promise<void> {
    const { store, group, targets } = this.fleet;
    const { runner } = pickComponent(targets, componentIndex);
    switch (kind) {
      case SoakFaultKind.StoreDown:
        store.setDown(true);
        await delay(spanMs);
        store.setDown(false);
        return;
      case SoakFaultKind.StoreHistoryLost:
        store.loseHistory();
        return;
      case SoakFaultKind.StoreRestored:
        await this.#restoreStore(spanMs);
        return;
      case SoakFaultKind.TargetLimited:
        await this.#limitTarget(pickComponent(targets, componentIndex));
        return;
      case SoakFaultKind.LoseAnswers:
        runner.lostShare = LOST_ANSWER_SHARE;
        await delay(spanMs);
        runner.lostShare = 0;
        return;
      case SoakFaultKind.EndlessAnswers:
        runner.endlessBlock = pickComponent(ENDLESS_BLOCKS, componentIndex);
        await delay(spanMs);
        runner.endlessBlock = undefined;
        return;
      case SoakFaultKind.BrokenConfiguration:
        this.fleet.publishBrokenConfiguration();
        await delay(spanMs);
        this.fleet.publishConfiguration(this.fleet.credentials);
        return;
      case SoakFaultKind.LateOrders:
        group.lostShare = LOST_ANSWER_SHARE;
        await delay(spanMs);
        group.lostShare = 0;
        return;
      case SoakFaultKind.GroupRestarted:
        group.restart();
        return;
      case SoakFaultKind.TargetLeaves:
        await this.#leaveAndReturn(pickComponent(targets, componentIndex));
        return;
      case SoakFaultKind.ZoneOutOfService:
        await this.#takeZoneOutOfService(pickComponent(targets, componentIndex).zone, spanMs);
        return;
      case SoakFaultKind.RevokeCredential:
        this.#revokeCredential();
        return;
      default:
        this.fleet.publishConfiguration(this.fleet.credentials);
    }
  }

  static async #pause(program: ManagedProgram, spanMs: number): Promise<void> {
    program.signal('SIGSTOP');
    await delay(spanMs);
    program.signal('SIGCONT');
  }

  static async #terminate(program: ManagedProgram): Promise<void> {
    const { processId } = program;
    program.signal('SIGTERM');
    await delay(GRACE_SECONDS * MS_PER_SECOND);
    if (program.processId === processId) {
      program.signal('SIGKILL');
    }
  }

  async #reload(componentIndex: number): Promise<void> {
    const { program, settings } = pickComponent(
      [...this.fleet.gateways, ...this.fleet.agents],
      componentIndex,
    );
    await program.reload(settings);
  }

  #targetProxyOf(componentIndex: number): LoopbackProxy {
    const { targets, agents } = this.fleet;
    return pickComponent(
      [...targets.map(({ proxy }) => proxy), ...agents.map(({ engineProxy }) => engineProxy)],
      componentIndex,
    );
  }

  static async #injectLinkFault(
    proxy: LoopbackProxy,
    { linkFault, spanMs }: SoakFault,
  ): Promise<void> {
    proxy.setFault(linkFault);
    await delay(spanMs);
    proxy.setFault(LinkFault.None);
  }

  /**
   * Announces the target as leaving, removes its entry and publishes it again under the same
   * identifier.
   */
  async #leaveAndReturn(target: SoakTarget): Promise<void> {
    const { fleet } = this;
    fleet.publishTarget(target, true);
    await delay(LEAVE_MS);
    fleet.store.remove(targetKeyOf(target.instanceId));
    await delay(LEAVE_MS);
    fleet.publishTarget(target, false);
  }

  async #takeZoneOutOfService(zone: string, spanMs: number): Promise<void> {
    const { store } = this.fleet;
    store.put(zoneOutKeyOf(zone), {});
    await delay(spanMs);
    store.remove(zoneOutKeyOf(zone));
  }

  /** Restores the copy of `spanMs` ago, and soon afterwards writes again what was lost. */
  async #restoreStore(spanMs: number): Promise<void> {
    const { store } = this.fleet;
    const restore = store.copy();
    await delay(spanMs);
    const writeAgain = restore();
    await delay(WRITE_AGAIN_MS);
    writeAgain();
  }

  async #limitTarget(target: SoakTarget): Promise<void> {
    const { runner, instanceId } = target;
    if (runner.maxRequestsPerSecond !== undefined) {
      return;
    }
    runner.maxRequestsPerSecond = MAX_REQUESTS_PER_SECOND;
    const fromMs = performance.now();
    await delay(LIMIT_MS);
    runner.maxRequestsPerSecond = undefined;
    this.limits.push({
      instanceId,
      maxRequestsPerSecond: MAX_REQUESTS_PER_SECOND,
      fromMs,
      toMs: performance.now(),
    });
  }

  #revokeCredential(): void {
    const { fleet, revocations } = this;
    const [credential, ...remaining] = [...fleet.credentials].reverse();
    if (credential !== undefined && remaining.length >= MIN_CREDENTIAL_COUNT) {
      fleet.publishConfiguration(remaining.reverse());
      revocations.push({ credential, atMs: performance.now() });
    }
  }
}
