/** @module What one gateway knows of the loads of ranks: its own, and reports after a delay. */
import {
  LoadSum,
  PeerTotals,
  TargetPhase,
  type PublishedTarget,
  type ReportedLoad,
  type TargetCandidate,
} from '@ebonysill/gateway';
import type { RequestWork } from '@ebonysill/scheduling';

/** Load of a gateway at a rank, as it is sent to the others. */
export interface RankReport extends ReportedLoad {
  readonly instanceId: string;
}

/** As in the gateway's services. */
const REPORT_EXPIRY_MS = 1_500;

/** As in the gateway's services. */
const FULL_MS = 100;

/**
 * Target that stands for a rank.
 *
 * @example
 * targetOfRank(3, 7).instanceId; // '3'
 */
export const targetOfRank = (rank: number, slots: number): PublishedTarget => ({
  instanceId: String(rank),
  service: 'model',
  address: `rank-${rank}`,
  availabilityZone: 'zone-a',
  slots,
  phase: TargetPhase.Available,
  coldRemainingMs: 0,
});

/** Own loads, those of other gateways, and ranks that rejected a request. */
export class GatewayView {
  readonly #own = new Map<string, LoadSum>();

  /** Ranks whose load has changed since the last report, other than by a start. */
  readonly #changedIds = new Set<string>();

  readonly #peers: PeerTotals;

  /** By rank. */
  readonly #fullUntilMs = new Map<string, number>();

  private constructor(private readonly nowMs: () => number) {
    this.#peers = PeerTotals.create(nowMs, REPORT_EXPIRY_MS);
  }

  /**
   * Creates the view of a gateway that knows nothing.
   *
   * @example
   * const view = GatewayView.create(() => clock.nowMs);
   */
  static create(nowMs: () => number): GatewayView {
    return new GatewayView(nowMs);
  }

  /** Records a start; returns the report that the others get at once. */
  recordStart(instanceId: string, work: RequestWork): RankReport {
    const load = this.#own.get(instanceId) ?? LoadSum.create();
    load.addRequest(work);
    this.#own.set(instanceId, load);
    return { instanceId, ...load.toReport() };
  }

  recordPromptRead(instanceId: string, work: RequestWork): void {
    this.#own.get(instanceId)?.removePrompt(work);
    this.#changedIds.add(instanceId);
  }

  recordEnd(instanceId: string, outstanding: RequestWork): void {
    const load = this.#own.get(instanceId);
    load?.removeRequest(outstanding);
    this.#changedIds.add(instanceId);
    if (load?.count === 0) {
      this.#own.delete(instanceId);
    }
  }

  /** Loads that have changed since the last report, other than by a start. */
  takeChanges(): readonly RankReport[] {
    const reports = [...this.#changedIds].map((instanceId) => ({
      instanceId,
      ...(this.#own.get(instanceId)?.toReport() ?? { count: 0, workTokens: 0 }),
    }));
    this.#changedIds.clear();
    return reports;
  }

  recordFull(instanceId: string): void {
    this.#fullUntilMs.set(instanceId, this.nowMs() + FULL_MS);
  }

  receiveChange(address: string, report: RankReport): void {
    this.#peers.change(address, report);
  }

  receiveAll(address: string, reports: readonly RankReport[]): void {
    this.#peers.replace(address, reports);
  }

  reportAll(): readonly RankReport[] {
    this.#changedIds.clear();
    return [...this.#own].map(([instanceId, load]) => ({ instanceId, ...load.toReport() }));
  }

  candidateOf(target: PublishedTarget, usualTokens: number): TargetCandidate {
    const { instanceId, slots } = target;
    const own = this.#own.get(instanceId);
    return {
      target,
      slots,
      runningCount: (own?.count ?? 0) + this.#peers.countAt(instanceId),
      workTokens:
        (own?.workTokens(usualTokens) ?? 0) + this.#peers.workTokensAt(instanceId, usualTokens),
      longCount: (own?.longCount ?? 0) + this.#peers.longCountAt(instanceId),
      weight: 1,
      isFull: (this.#fullUntilMs.get(instanceId) ?? 0) > this.nowMs(),
      isSameZone: true,
    };
  }
}
