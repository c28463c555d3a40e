/**
 * @module Pauses that targets asked for when they turned a gateway away.
 *
 * A pause concerns only the gateway that was turned away. The others keep it for that gateway, which
 * asks for it if it starts again before the end of the pause.
 */
import type { ReportedPause } from './peer-message.js';
import RecentMap from './RecentMap.js';

/** Maximum number of targets, and of pauses of other gateways, that are remembered. */
const MAX_PAUSES = 1_024;

/** Longest pause that a target can ask for. */
const MAX_PAUSE_MS = 300_000;

/** Shorter rests of pauses are not told: they are over before a process has started again. */
const MIN_REPORTED_MS = 1_000;

/** Own pauses, and those of other gateways. */
export default class TargetPauses {
  /** By instance identifier: until when the target wants no request from this gateway. */
  readonly #untilMs = RecentMap.create<number>(MAX_PAUSES);

  /** By gateway and instance. */
  readonly #ofPeers = RecentMap.create<ReportedPause & { readonly untilMs: number }>(MAX_PAUSES);

  private constructor(
    private readonly nowMs: () => number,
    private readonly ownAddress: string,
  ) {}

  /**
   * Creates pauses of no target; `ownAddress` is the address of this process for its peers.
   *
   * @example
   * const pauses = TargetPauses.create(runtime.nowMs, members.self().address);
   */
  static create(nowMs: () => number, ownAddress: string): TargetPauses {
    return new TargetPauses(nowMs, ownAddress);
  }

  /** Records a pause, which shortens no earlier one; returns whether the target was not paused. */
  record(instanceId: string, askedMs: number): boolean {
    const untilMs = this.nowMs() + Math.min(askedMs, MAX_PAUSE_MS);
    const knownUntilMs = this.#untilMs.get(instanceId) ?? -Infinity;
    this.#untilMs.set(instanceId, Math.max(untilMs, knownUntilMs));
    return knownUntilMs <= this.nowMs();
  }

  /** Time until this gateway may send a request; 0 when it may now. */
  msLeft(instanceId: string): number {
    return Math.max(0, (this.#untilMs.get(instanceId) ?? -Infinity) - this.nowMs());
  }

  /** Keeps a pause of another gateway; takes over one of this gateway from before its start. */
  merge(pause: ReportedPause): void {
    const { gatewayAddress, instanceId, remainingMs } = pause;
    if (gatewayAddress === this.ownAddress) {
      this.record(instanceId, remainingMs);
    } else {
      const untilMs = this.nowMs() + Math.min(remainingMs, MAX_PAUSE_MS);
      this.#ofPeers.set(`${gatewayAddress}/${instanceId}`, { ...pause, untilMs });
    }
  }

  /** Pauses of this gateway, for others. */
  ownReports(): readonly ReportedPause[] {
    const gatewayAddress = this.ownAddress;
    return [...this.#untilMs.entries()].flatMap(([instanceId, untilMs]) =>
      this.#report({ gatewayAddress, instanceId, untilMs }, MIN_REPORTED_MS),
    );
  }

  /** Pauses of another gateway that has started again. */
  reportsFor(gatewayAddress: string): readonly ReportedPause[] {
    return [...this.#ofPeers.values()]
      .filter((pause) => pause.gatewayAddress === gatewayAddress)
      .flatMap((pause) => this.#report(pause, 1));
  }

  #report(
    {
      gatewayAddress,
      instanceId,
      untilMs,
    }: Omit<ReportedPause, 'remainingMs'> & { readonly untilMs: number },
    minMs: number,
  ): readonly ReportedPause[] {
    const remainingMs = Math.ceil(untilMs - this.nowMs());
    return remainingMs < minMs ? [] : [{ gatewayAddress, instanceId, remainingMs }];
  }
}
