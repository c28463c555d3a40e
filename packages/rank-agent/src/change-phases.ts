/** @module The phases of a change of map, one after the other, whatever is lost or late. */
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

/** Time between two looks while a change is under way; a repeated message costs little. */
export const ACTIVE_INTERVAL_MS = 40;

/** Time after which an agent that has not done its part is passed by; its host may be paused. */
const AGENT_TIMEOUT_MS = 200;

/** Passes between the present one and the one that is held: time for all ranks to arm. */
const LEAD_PASSES = 2;

/** Preparing copies weights, which takes seconds; longer than this, a rank is in trouble. */
const PREPARE_TIMEOUT_MS = 15_000;

/** How often a rank that has not prepared is asked again: its copy takes most of a second. */
const PREPARE_REPEAT_MS = 800;

/** Numbers of a map that are sent within one look; a byte each, they fit the queue of a slow link. */
const PREPARE_BURST_NUMBERS = 16_000;

/** An agent confirms a hold within a few messages; one that does not has ended or is cut off. */
const CONFIRM_TIMEOUT_MS = 500;

/** Orders without an answer are carried out within this time, if at all. */
const MAX_ORDER_DELAY_MS = 12_500;

/** What the phases work with. */
export interface ChangePhasesOptions {
  readonly view: GroupView;
  readonly directory: EngineDirectory;
  readonly members: MembersApi;
  readonly monitor: RankMonitorApi;
  /** Ends a change; `detail` says how it ended. */
  readonly onEnded: (change: MapChange, detail: string) => readonly Effect[];
}

/** Leads changes from phase to phase. */
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

  /** Does what is due in a change. */
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
    if (change.sincePhaseMs() > PREPARE_TIMEOUT_MS) {
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
    const burst = Math.ceil(PREPARE_BURST_NUMBERS / Math.max(1, placement.flat(2).length));
    return change.takeRanksDue(unprepared, PREPARE_REPEAT_MS, burst).map(({ agentAddress }) =>
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
    const ranks = this.options.view.knownRanks(change.epoch);
    if (ranks.every(({ lastReceivedAtMs }) => lastReceivedAtMs > change.phaseAtMs)) {
      change.enter(ChangePhase.Holding);
      return this.#advanceNow(change);
    }
    if (change.sincePhaseMs() > PREPARE_TIMEOUT_MS) {
      return this.options.onEnded(change, 'an agent does not answer');
    }
    const { groupName = '' } = this.options.members.self();
    const message = { kind: PeerMessageKind.TellState, groupName } as const;
    return change.isRequestDue(ACTIVE_INTERVAL_MS) ? sendToRanks(ranks, () => true, message) : [];
  }

  /**
   * Has the holder's engine hold a pass, past its agent, so that no paused host keeps the group
   * held: if this one is paused now, the holder's agent gives up the hold that nobody confirms.
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
    if (change.sincePhaseMs() > CONFIRM_TIMEOUT_MS) {
      // No rank is armed yet, so the pass may begin; its present hold protects nothing.
      const release = { kind: OrderKind.Release, epoch, step } as const;
      return [
        ...this.#orderDirect(change, rank, release, engineAddress),
        ...this.options.onEnded(change, 'the hold was not confirmed'),
      ];
    }
    const order = { kind: OrderKind.Hold, epoch, step } as const;
    const confirmRequest = sendToPeer(holder.agentAddress, confirm);
    // Asked only later: a host that is paused as it gives the order must not have its hold kept.
    return change.isHoldOrderDue(step, AGENT_TIMEOUT_MS)
      ? this.#orderDirect(change, rank, order, engineAddress, [confirmRequest])
      : [confirmRequest];
  }

  /** Asks a rank's agent; an agent that is slow to answer is passed by. */
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

  /** Gives an order to an engine past its agent; `next` follows its answer. */
  #orderDirect(
    change: MapChange,
    rank: number,
    order: Order,
    engineAddress: string,
    onAnswered: readonly Effect[] = [],
  ): readonly Effect[] {
    return this.options.monitor.order(
      order,
      (outcome) => {
        change.recordDirectOutcome(rank, order.kind, outcome);
        return [
          log(LogLevel.Info, LogTopic.OrderAnswered, {
            detail: `${order.kind} past the agent of rank ${rank}`,
            outcome,
            epoch: order.epoch,
          }),
          ...onAnswered,
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
      return this.options.onEnded(change, 'in force');
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

  /** Waits until no rank is armed and no order without an answer can arm one any more. */
  #advanceAborting(change: MapChange): readonly Effect[] {
    const { epoch, version } = change;
    const ranks = this.options.view.currentRanks();
    const isClear = ranks?.every(({ report }) => report.armedVersion !== version) === true;
    if (isClear && change.sincePhaseMs() > MAX_ORDER_DELAY_MS) {
      change.enter(ChangePhase.Releasing);
      return this.#advanceNow(change);
    }
    const { groupName = '' } = this.options.members.self();
    const message = { kind: PeerMessageKind.DisarmMap, groupName, epoch, version } as const;
    return change.isRequestDue(ACTIVE_INTERVAL_MS)
      ? sendToRanks(ranks, ({ armedVersion }) => armedVersion === version, message)
      : [];
  }

  /** Goes on at once in the phase that was entered. */
  #advanceNow(change: MapChange): readonly Effect[] {
    const report = this.options.monitor.report();
    return report === undefined ? [] : this.advance(change, report);
  }
}
