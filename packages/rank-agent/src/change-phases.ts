/**
 * @module State machine of a change of the expert map, which says which rank holds which experts.
 * Requests are repeated, as messages may be lost.
 */
import {
  LogLevel,
  LogTopic,
  OrderKind,
  PeerMessageKind,
  log,
  sendToPeer,
  type Effect,
  type MembersApi,
  type Order,
  type PeerMessage,
  type RankMonitorApi,
  type RankReport,
} from '@ebonysill/gateway';
import type EngineDirectory from './EngineDirectory.js';
import type GroupView from './GroupView.js';
import type { KnownRank } from './GroupView.js';
import { ChangePhase, type MapChange } from './map-change.js';
import sendToRanks from './sendToRanks.js';

/** Interval of evaluation and of repeated messages during a change; a repeated message is cheap. */
export const ACTIVE_INTERVAL_MS = 40;

/** Time after which an order bypasses an agent that has not acted; its host may be paused. */
const AGENT_TIMEOUT_MS = 200;

/** Number of passes from the current pass to the held pass; gives all ranks time to arm. */
const LEAD_PASSES = 2;

/** Time limit of preparation, which copies weights and takes seconds, and of the check after it. */
const PREPARE_TIMEOUT_MS = 15_000;

/** Interval of repeated prepare requests to a rank; copying its weights takes most of a second. */
const PREPARE_REPEAT_MS = 800;

/**
 * Expert ids in the prepare requests of one evaluation, rounded up to whole requests. At a byte per
 * id, the requests fit the queue of a slow link.
 */
const EXPERT_IDS_PER_EVALUATION = 16_000;

/** Time limit of a confirmation; a running, connected agent sends it within a few messages. */
const CONFIRM_TIMEOUT_MS = 500;

/** Time within which an unanswered order is carried out, if it ever is. */
const MAX_ORDER_DELAY_MS = 12_500;

/** Dependencies of the phases. */
export interface ChangePhasesOptions {
  readonly view: GroupView;
  readonly directory: EngineDirectory;
  readonly members: MembersApi;
  readonly monitor: RankMonitorApi;
  /** Called once when a change ends; `detail` is logged as the reason. */
  readonly onEnded: (change: MapChange, detail: string) => readonly Effect[];
}

/** Advances changes; their state is kept in `MapChange`. */
export class ChangePhases {
  private constructor(private readonly options: ChangePhasesOptions) {}

  /**
   * Creates the phases of a driver.
   *
   * @example
   * ChangePhases.create({ view, directory, members, monitor, onEnded }).advance(change, report);
   */
  static create(options: ChangePhasesOptions): ChangePhases {
    return new ChangePhases(options);
  }

  /** Returns the effects that are due; `report` is the latest of the driver's own rank. */
  advance(change: MapChange, report: RankReport): readonly Effect[] {
    const hasPassBegun =
      change.step > 0 && report.step >= change.step && change.phase !== ChangePhase.Holding;
    if (hasPassBegun) {
      return this.options.onEnded(change, 'the pass has begun');
    }
    switch (change.phase) {
      case ChangePhase.Preparing:
        return this.#advancePreparing(change);
      case ChangePhase.Checking:
        return this.#advanceChecking(change);
      case ChangePhase.Holding:
        return this.#advanceHolding(change, report);
      case ChangePhase.Arming:
        return this.#advanceArming(change);
      case ChangePhase.Releasing:
        return this.#advanceReleasing(change);
      case ChangePhase.Aborting:
        return this.#advanceAborting(change);
      default:
        return change.phase satisfies never;
    }
  }

  #advancePreparing(change: MapChange): readonly Effect[] {
    const { epoch, version, placement } = change;
    const ranks = this.options.view.currentRanks();
    if (change.sincePhaseStartMs() > PREPARE_TIMEOUT_MS) {
      return this.options.onEnded(change, 'not all ranks prepared in time');
    }
    if (ranks?.every(({ report }) => report.preparedVersion === version) === true) {
      change.enter(ChangePhase.Checking);
      return this.#advanceNow(change);
    }
    if (ranks === undefined || !change.isRequestDue(ACTIVE_INTERVAL_MS)) {
      return [];
    }
    const { groupName = '' } = this.options.members.self();
    const unprepared = ranks.filter(({ report }) => report.preparedVersion !== version);
    const maxRequestCount = Math.ceil(
      EXPERT_IDS_PER_EVALUATION / Math.max(1, placement.flat(2).length),
    );
    return change
      .takeRanksDue(unprepared, PREPARE_REPEAT_MS, maxRequestCount)
      .map(({ agentAddress }) =>
        sendToPeer(agentAddress, {
          kind: PeerMessageKind.PrepareMap,
          groupName,
          epoch,
          version,
          placement,
        }),
      );
  }

  #advanceChecking(change: MapChange): readonly Effect[] {
    const { view } = this.options;
    const ranks = view.knownRanks(change.epoch);
    const isAnswered = (rank: KnownRank): boolean =>
      rank.asOf.atMs > change.phaseStartedAtMs && view.isFresh(rank);
    if (ranks.every(isAnswered)) {
      change.enter(ChangePhase.Holding);
      return this.#advanceNow(change);
    }
    if (change.sincePhaseStartMs() > PREPARE_TIMEOUT_MS) {
      return this.options.onEnded(change, 'not all agents reported their state in time');
    }
    const { groupName = '' } = this.options.members.self();
    const message = { kind: PeerMessageKind.QueryState, groupName } as const;
    return change.isRequestDue(ACTIVE_INTERVAL_MS) ? sendToRanks(ranks, () => true, message) : [];
  }

  /**
   * Orders the holder's engine directly to hold a pass, then asks its agent to confirm the hold. If
   * the driver's host is paused in between, the agent gets no request and releases the hold, so a
   * paused host cannot keep the group held. Until the engine's published address is known, both
   * requests go to the agent.
   */
  #advanceHolding(change: MapChange, report: RankReport): readonly Effect[] {
    const holder = this.options.view.knownRanks(change.epoch)[change.holderRank];
    if (holder === undefined || !change.isRequestDue(ACTIVE_INTERVAL_MS)) {
      return [];
    }
    const { epoch } = change;
    const { groupName } = report;
    const step = change.chooseStep(report.step, LEAD_PASSES);
    const engineAddress = this.options.directory.addressOf(holder.report.rank);
    const confirm = { kind: PeerMessageKind.ConfirmHold, groupName, epoch, step } as const;
    if (engineAddress === undefined) {
      const hold = { kind: PeerMessageKind.HoldStep, groupName, epoch, step } as const;
      return [sendToPeer(holder.agentAddress, hold), sendToPeer(holder.agentAddress, confirm)];
    }
    const { rank } = holder.report;
    if (change.sincePhaseStartMs() > CONFIRM_TIMEOUT_MS) {
      // No rank is armed yet, so the pass may begin: its hold protects nothing.
      const release = { kind: OrderKind.Release, epoch, step } as const;
      return [
        ...this.#orderDirect(change, rank, release, engineAddress),
        ...this.options.onEnded(change, 'the hold was not confirmed'),
      ];
    }
    const order = { kind: OrderKind.Hold, epoch, step } as const;
    const confirmRequest = sendToPeer(holder.agentAddress, confirm);
    // The first request follows the answer to the order: if this host is paused in between, the
    // agent must not retain the hold. Requests between two orders do not wait for an answer.
    return change.isHoldOrderDue(step, AGENT_TIMEOUT_MS)
      ? this.#orderDirect(change, rank, order, engineAddress, [confirmRequest])
      : [confirmRequest];
  }

  /** Sends the request to a rank's agent, and if due, the same order directly to its engine. */
  #instruct(
    change: MapChange,
    { agentAddress, engineAddress, report }: KnownRank,
    order: Order,
    message: PeerMessage,
    isDirectOrderDue: boolean,
  ): readonly Effect[] {
    const request = sendToPeer(agentAddress, message);
    if (!isDirectOrderDue) {
      return [request];
    }
    const address = this.options.directory.addressOf(report.rank) ?? engineAddress;
    return [request, ...this.#orderDirect(change, report.rank, order, address)];
  }

  /** Gives an order to an engine, bypassing its agent; `answerEffects` follow the answer. */
  #orderDirect(
    change: MapChange,
    rank: number,
    order: Order,
    engineAddress: string,
    answerEffects: readonly Effect[] = [],
  ): readonly Effect[] {
    return this.options.monitor.order(
      order,
      (outcome) => {
        change.recordDirectOutcome(rank, order.kind, outcome);
        return [
          log(LogLevel.Info, LogTopic.OrderAnswered, {
            detail: `${order.kind} sent directly to the engine of rank ${rank}`,
            outcome,
            epoch: order.epoch,
          }),
          ...answerEffects,
        ];
      },
      engineAddress,
    );
  }

  #advanceArming(change: MapChange): readonly Effect[] {
    const { epoch, version, step } = change;
    const ranks = this.options.view.knownRanks(epoch);
    if (ranks.every(({ report }) => change.isArmed(report))) {
      change.enter(ChangePhase.Releasing);
      return this.#advanceNow(change);
    }
    const isReplaced = ranks.some(
      ({ report }) => report.preparedVersion !== version && !change.isArmed(report),
    );
    if (isReplaced) {
      change.enter(ChangePhase.Aborting);
      return [];
    }
    if (!change.isRequestDue(ACTIVE_INTERVAL_MS)) {
      return [];
    }
    const { groupName = '' } = this.options.members.self();
    const order = { kind: OrderKind.Arm, epoch, version, step } as const;
    const message = { kind: PeerMessageKind.ArmMap, groupName, epoch, version, step } as const;
    const isDirectOrderDue = change.isDirectOrderDue(AGENT_TIMEOUT_MS);
    return ranks
      .filter(({ report }) => !change.isArmed(report))
      .flatMap((rank) => this.#instruct(change, rank, order, message, isDirectOrderDue));
  }

  #advanceReleasing(change: MapChange): readonly Effect[] {
    const { epoch, step, holderRank } = change;
    const holder = this.options.view.knownRanks(epoch)[holderRank];
    const isReleased = change.isReleased || holder?.report.heldStep !== step;
    if (holder === undefined || isReleased) {
      return this.options.onEnded(change, 'the new map is in use');
    }
    if (!change.isRequestDue(ACTIVE_INTERVAL_MS)) {
      return [];
    }
    const { groupName = '' } = this.options.members.self();
    const order = { kind: OrderKind.Release, epoch, step } as const;
    const message = { kind: PeerMessageKind.ReleaseStep, groupName, epoch, step } as const;
    return this.#instruct(
      change,
      holder,
      order,
      message,
      change.isDirectOrderDue(AGENT_TIMEOUT_MS),
    );
  }

  /**
   * Asks armed ranks to disarm. Enters the next phase once no rank is armed and no unanswered arm
   * order can still be carried out.
   */
  #advanceAborting(change: MapChange): readonly Effect[] {
    const { epoch, version } = change;
    const ranks = this.options.view.currentRanks();
    const isClear = ranks?.every(({ report }) => report.armedVersion !== version) === true;
    if (isClear && change.sincePhaseStartMs() > MAX_ORDER_DELAY_MS) {
      change.enter(ChangePhase.Releasing);
      return this.#advanceNow(change);
    }
    const { groupName = '' } = this.options.members.self();
    const message = { kind: PeerMessageKind.DisarmMap, groupName, epoch, version } as const;
    return change.isRequestDue(ACTIVE_INTERVAL_MS)
      ? sendToRanks(ranks, ({ armedVersion }) => armedVersion === version, message)
      : [];
  }

  /** Runs the phase that was just entered. */
  #advanceNow(change: MapChange): readonly Effect[] {
    const report = this.options.monitor.report();
    return report === undefined ? [] : this.advance(change, report);
  }
}
