/** @module Carries out the faults of a plan on a fleet. */
import { setTimeout as delay } from 'node:timers/promises';
import { zoneOutKeyOf, targetKeyOf } from '@ebonysill/platform/stand-ins';
import type { Revocation } from './check-promises.js';
import { SoakFaultKind, type SoakFault } from './fault-plan.js';
import LinkFault from './LinkFault.js';
import type LoopbackProxy from './LoopbackProxy.js';
import type ManagedProgram from './ManagedProgram.js';
import { GRACE_SECONDS, type SoakFleet, type SoakTarget } from './SoakFleet.js';

/** A leaving target serves on for this long before its entry goes. */
const LEAVE_MS = 2_500;

/** Credentials that stay whatever is drawn, so that requests go on. */
const KEPT_CREDENTIALS = 2;

const LOST_SHARE = 0.3;

const MS_PER_SECOND = 1_000;

const at = <T>(values: readonly T[], subject: number): T => values[subject % values.length] as T;

/** Strikes a fleet. */
export default class FaultInjector {
  readonly revocations: Revocation[] = [];

  private constructor(private readonly fleet: SoakFleet) {}

  /**
   * Creates an injector for a fleet.
   *
   * @example
   * await FaultInjector.create(fleet).strike(fault);
   */
  static create(fleet: SoakFleet): FaultInjector {
    return new FaultInjector(fleet);
  }

  /** Carries out one fault; resolves when it is over. */
  async strike(fault: SoakFault): Promise<void> {
    const { fleet } = this;
    const { subject, spanMs } = fault;
    switch (fault.kind) {
      case SoakFaultKind.KillProcess:
        at(fleet.programs, subject).signal('SIGKILL');
        return;
      case SoakFaultKind.PauseProcess:
        await FaultInjector.#pause(at(fleet.programs, subject), spanMs);
        return;
      case SoakFaultKind.TerminateProcess:
        await FaultInjector.#terminate(at(fleet.programs, subject));
        return;
      case SoakFaultKind.ReloadProcess:
        await this.#reload(subject);
        return;
      case SoakFaultKind.HarmStoreLink:
        await FaultInjector.#harm(at(fleet.gateways, subject).storeProxy, fault);
        return;
      case SoakFaultKind.HarmTargetLink:
        await FaultInjector.#harm(this.#targetLinkOf(subject), fault);
        return;
      default:
        await this.#strikePlatform(fault);
    }
  }

  /** Faults of the store, the operators and the runners. */
  async #strikePlatform({ kind, subject, spanMs }: SoakFault): Promise<void> {
    const { store, group, targets } = this.fleet;
    const { runner } = at(targets, subject);
    switch (kind) {
      case SoakFaultKind.StoreDown:
        store.setDown(true);
        await delay(spanMs);
        store.setDown(false);
        return;
      case SoakFaultKind.StoreForgets:
        store.loseHistory();
        return;
      case SoakFaultKind.LoseAnswers:
        runner.lostShare = LOST_SHARE;
        await delay(spanMs);
        runner.lostShare = 0;
        return;
      case SoakFaultKind.LateOrders:
        group.lostShare = LOST_SHARE;
        await delay(spanMs);
        group.lostShare = 0;
        return;
      case SoakFaultKind.GroupFormsAnew:
        group.restart();
        return;
      case SoakFaultKind.TargetLeaves:
        await this.#leave(at(targets, subject));
        return;
      case SoakFaultKind.ZoneOut:
        await this.#takeZoneOut(at(targets, subject).zone, spanMs);
        return;
      case SoakFaultKind.RevokeCredential:
        this.#revoke();
        return;
      default:
        this.fleet.publish(this.fleet.credentials);
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

  async #reload(subject: number): Promise<void> {
    const { program, settings } = at([...this.fleet.gateways, ...this.fleet.agents], subject);
    await program.reload(settings);
  }

  #targetLinkOf(subject: number): LoopbackProxy {
    const { targets, agents } = this.fleet;
    return at(
      [...targets.map(({ proxy }) => proxy), ...agents.map(({ engineProxy }) => engineProxy)],
      subject,
    );
  }

  static async #harm(proxy: LoopbackProxy, { linkFault, spanMs }: SoakFault): Promise<void> {
    proxy.setFault(linkFault);
    await delay(spanMs);
    proxy.setFault(LinkFault.None);
  }

  /** Tells that it leaves, goes, and comes back under its identifier. */
  async #leave(target: SoakTarget): Promise<void> {
    const { fleet } = this;
    fleet.publishTarget(target, true);
    await delay(LEAVE_MS);
    fleet.store.remove(targetKeyOf(target.instanceId));
    await delay(LEAVE_MS);
    fleet.publishTarget(target, false);
  }

  async #takeZoneOut(zone: string, spanMs: number): Promise<void> {
    const { store } = this.fleet;
    store.put(zoneOutKeyOf(zone), {});
    await delay(spanMs);
    store.remove(zoneOutKeyOf(zone));
  }

  #revoke(): void {
    const { fleet, revocations } = this;
    const [credential, ...left] = [...fleet.credentials].reverse();
    if (credential !== undefined && left.length >= KEPT_CREDENTIALS) {
      fleet.publish(left.reverse());
      revocations.push({ credential, atMs: performance.now() });
    }
  }
}
