/** @module Latest reports of a group's ranks, as its driver has received them. */
import {
  ageMsOf,
  type Moment,
  type RankCountDelta,
  type RankPlacement,
  type RankReport,
  type Runtime,
} from '@ebonysill/gateway';

/** State of a rank as its agent last reported it. */
export interface KnownRank {
  readonly agentAddress: string;
  readonly engineAddress: string;
  readonly report: RankReport;
  /** Moment as of which the report holds at least. */
  readonly asOf: Moment;
}

/** Age from which a report is ignored; agents send unchanged state three times as often. */
const STATE_EXPIRY_MS = 1_400;

/** Collects the reports and expert counts of the ranks of one group. */
export default class GroupView {
  readonly #ranks = new Map<number, KnownRank>();

  readonly #deltas = new Map<number, RankCountDelta>();

  private constructor(private readonly runtime: Runtime) {}

  /**
   * Creates a view without ranks.
   *
   * @example
   * const view = GroupView.create(runtime);
   */
  static create(runtime: Runtime): GroupView {
    return new GroupView(runtime);
  }

  recordReport(known: KnownRank): void {
    this.#ranks.set(known.report.rank, known);
  }

  /** Whether a report is recent enough to be acted on. */
  isFresh({ asOf }: KnownRank): boolean {
    return ageMsOf(this.runtime, asOf) < STATE_EXPIRY_MS;
  }

  /** Records the latest counts of a rank, which also list the experts that it holds. */
  recordDelta(rank: number, delta: RankCountDelta): void {
    this.#deltas.set(rank, delta);
  }

  /** All ranks in order; undefined unless all are open and have fresh reports of one epoch. */
  currentRanks(): readonly KnownRank[] | undefined {
    const fresh = [...this.#ranks.values()]
      .filter((rank) => this.isFresh(rank))
      .sort((left, right) => left.report.rank - right.report.rank);
    const first = fresh[0]?.report;
    const isComplete =
      first !== undefined &&
      fresh.length === first.rankCount &&
      fresh.every(({ report }) => report.epoch === first.epoch && report.isOpen);
    return isComplete ? fresh : undefined;
  }

  /** The ranks that have reported in an epoch, in order, however old their reports are. */
  knownRanks(epoch: number): readonly KnownRank[] {
    return [...this.#ranks.values()]
      .filter(({ report }) => report.epoch === epoch)
      .sort((left, right) => left.report.rank - right.report.rank);
  }

  /** The placement in use; undefined unless all ranks have reported theirs for `mapVersion`. */
  placement(mapVersion: number, rankCount: number): RankPlacement | undefined {
    const deltas = Array.from({ length: rankCount }, (_, rank) => this.#deltas.get(rank));
    const isKnown = deltas.every((delta) => delta?.mapVersion === mapVersion);
    const setCount = deltas[0]?.experts.length ?? 0;
    return isKnown && setCount > 0
      ? Array.from({ length: setCount }, (_, set) =>
          deltas.map((delta) => delta?.experts[set] ?? []),
        )
      : undefined;
  }
}
