/**
 * @module Drives changes of a group's expert map.
 *
 * All ranks prepare the new map. Then the driver has another rank's engine hold a pass that is a few
 * passes away, and that rank's agent confirm that it will keep the hold. Only then it has every rank
 * arm the map for that pass, and the pass released after every rank has shown that it is armed. An
 * agent that does not answer is passed by: the driver gives the order to the engine itself. Since no
 * rank can begin a pass without the others, a hold on one rank keeps all of them from beginning it
 * with different maps, whatever is lost or late.
 */
import {
  EventKind,
  LogLevel,
  LogTopic,
  OrderKind,
  PeerMessageKind,
  PeerRole,
  ServiceName,
  TimerKind,
  log,
  sendToPeer,
  setTimer,
  type Effect,
  type EngineLimitsMessage,
  type Event,
  type FindService,
  type MembersApi,
  type Order,
  type PeerMessage,
  type PeerMessageEvent,
  type RankMonitorApi,
  type RankIncrease,
  type RankPlacement,
  type RankReport,
  type RankReportedEvent,
  type RankStateMessage,
  type Registration,
  type Runtime,
} from '@ebonysill/gateway';
import { createInstance } from '@ebonysill/kernel';
import EngineDirectory from './EngineDirectory.js';
import GroupView, { type KnownRank } from './GroupView.js';
import { ChangePhase, MapChange } from './map-change.js';
import { skewOf } from './placement.js';
import { planPlacement } from './plan-placement.js';
import PopularityMeter from './PopularityMeter.js';

/** Time between two looks while nothing is under way. */
const IDLE_INTERVAL_MS = 100;

/** Time after which an agent that has not done its part is passed by; its host may be paused. */
const AGENT_PATIENCE_MS = 200;

/** Time between two looks while a change is under way; a repeated message costs little. */
const ACTIVE_INTERVAL_MS = 40;

/** Passes between the present one and the one that is held: time for all ranks to arm. */
const LEAD_PASSES = 2;

/** Preparing copies weights, which takes seconds; longer than this, a rank is in trouble. */
const PREPARE_TIMEOUT_MS = 15_000;

/** How often a rank that has not prepared is asked again: its copy takes most of a second. */
const PREPARE_REPEAT_MS = 800;

/** Numbers of a map that are sent within one look; a byte each, they fit the queue of a slow link. */
const PREPARE_BURST_NUMBERS = 16_000;

/** Pause after a plan that was not worth a change: plans take processor time. */
const SETTLE_MS = 300;

/** A change must lower the skew by this part: it costs copies and slower passes meanwhile. */
const MIN_SKEW_GAIN = 0.1;

/** Choices below which popularity is not known well enough to act. */
const MIN_CHOICES = 4_000;

/** Experts of one layer set that are new to a rank in one change at most; copies take time. */
const MAX_NEW_PER_RANK = 1;

/** A pass that stays held without a driver for this long is settled. */
const ORPHAN_HOLD_MS = 600;

/** Orders without an answer are carried out within this time, if at all. */
const LATE_ORDER_MS = 12_500;

/** Longest time for which a rank copies weights for one change; a shorter change is sooner in force. */
const MAX_COPY_MS = 450;

/** Versions of one driver differ from those of others by the rank that they contain. */
const VERSION_STRIDE = 1_024;

/** Phases that leave nothing behind when the driver ends. */
const NOTHING_HELD: readonly ChangePhase[] = [ChangePhase.Preparing, ChangePhase.Checking];

const TIMER_KEY = 0;

/** What the service is created from. */
export interface GroupDriverOptions {
  readonly runtime: Runtime;
  /** IP address and port of the engine beside this process. */
  readonly engineAddress: string;
}

/** Drives one group when this process is the one to do so. */
class GroupDriverService {
  #change: MapChange | undefined;

  /** Versions are not used again, so a map that is in use under its version is this one. */
  #lastChange: MapChange | undefined;

  #settleUntilMs = 0;

  #orphanSinceMs: number | undefined;

  #highestVersion = 0;

  #limits: EngineLimitsMessage | undefined;

  readonly #view: GroupView;

  readonly #popularity: PopularityMeter;

  readonly #directory: EngineDirectory;

  readonly #members: MembersApi;

  readonly #monitor: RankMonitorApi;

  private constructor(
    private readonly options: GroupDriverOptions,
    find: FindService,
  ) {
    this.#view = GroupView.create(options.runtime.nowMs);
    this.#popularity = PopularityMeter.create(options.runtime.nowMs);
    this.#members = find(ServiceName.Members);
    this.#monitor = find(ServiceName.RankMonitor);
    const { nowMs } = options.runtime;
    this.#directory = EngineDirectory.create({ nowMs, members: this.#members });
  }

  static create(options: GroupDriverOptions, find: FindService): GroupDriverService {
    return new GroupDriverService(options, find);
  }

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.TimerFired:
        return event.timer === TimerKind.MapChange ? this.#onTimer() : [];
      case EventKind.PeerMessageReceived:
        return this.#onMessage(event);
      case EventKind.RankReported:
        return this.#onReport(event);
      case EventKind.ExpertsCounted:
        return event.tally === undefined ? [] : this.#onOwnIncrease();
      default:
        return [];
    }
  }

  /** A change that has not held a pass yet leaves nothing behind. */
  isDrained(): boolean {
    return this.#change === undefined || NOTHING_HELD.includes(this.#change.phase);
  }

  #onTimer(): readonly Effect[] {
    const effects = this.#look();
    const delayMs = this.#change === undefined ? IDLE_INTERVAL_MS : ACTIVE_INTERVAL_MS;
    return [...effects, setTimer(TimerKind.MapChange, TIMER_KEY, delayMs)];
  }

  #onReport(event: RankReportedEvent): readonly Effect[] {
    if (event.engineAddress === undefined) {
      return event.report === undefined ? [] : this.#onOwnReport(event.report);
    }
    this.#directory.noteReport(event);
    return [];
  }

  #onOwnReport(report: RankReport): readonly Effect[] {
    this.#view.noteReport(this.#members.self().address, this.options.engineAddress, report);
    return this.#change === undefined ? [] : this.#look();
  }

  #onOwnIncrease(): readonly Effect[] {
    const report = this.#monitor.report();
    const increase = this.#monitor.increase();
    if (report !== undefined && increase !== undefined) {
      this.#noteIncrease(report.rank, increase);
    }
    return [];
  }

  #noteIncrease(rank: number, increase: RankIncrease): void {
    this.#view.noteIncrease(rank, increase);
    this.#popularity.note(increase);
  }

  #onMessage({ address, message }: PeerMessageEvent): readonly Effect[] {
    const groupName = this.#monitor.report()?.groupName;
    switch (message.kind) {
      case PeerMessageKind.EngineLimits:
        this.#limits = message;
        return [];
      case PeerMessageKind.TargetAddresses:
        return this.#directory.noteAddresses(message.addresses);
      case PeerMessageKind.RankState:
        if (message.report.groupName !== groupName) {
          return [];
        }
        this.#view.noteReport(address, message.engineAddress, message.report);
        return this.#change === undefined ? [] : this.#look();
      case PeerMessageKind.HoldConfirmed:
        return this.#onHoldConfirmed(address, message);
      case PeerMessageKind.RankIncrease:
        if (message.groupName === groupName) {
          this.#noteIncrease(message.rank, message.increase);
        }
        return [];
      case PeerMessageKind.ReleaseStep:
        return this.#onReleaseAsked(message.epoch, message.step);
      default:
        return [];
    }
  }

  #onHoldConfirmed(
    address: string,
    { engineAddress, report }: RankStateMessage,
  ): readonly Effect[] {
    const change = this.#change;
    const isOurs =
      change?.phase === ChangePhase.Holding &&
      report.epoch === change.epoch &&
      report.rank === change.holderRank &&
      report.heldStep === change.step;
    if (!isOurs) {
      return [];
    }
    this.#view.noteReport(address, engineAddress, report);
    change.enter(ChangePhase.Arming);
    return this.#look();
  }

  /** Another driver settles a hold that an earlier life of this process left behind. */
  #onReleaseAsked(epoch: number, step: number): readonly Effect[] {
    const report = this.#monitor.report();
    const isOrphan =
      this.#change === undefined && report?.epoch === epoch && report.heldStep === step;
    return isOrphan ? this.#release(epoch, step) : [];
  }

  #isDriver(): boolean {
    const self = this.#members.self();
    return (
      self.groupName !== undefined &&
      this.#members
        .others(PeerRole.RankAgent)
        .filter(({ groupName }) => groupName === self.groupName)
        .every(({ name }) => self.name < name)
    );
  }

  #look(): readonly Effect[] {
    const change = this.#change;
    if (change === undefined) {
      return this.#isDriver() ? this.#lookIdle() : [];
    }
    const report = this.#monitor.report();
    if (report !== undefined && report.epoch !== change.epoch) {
      return this.#finish(change, 'the group formed anew');
    }
    return report === undefined ? [] : this.#advance(change, report);
  }

  #advance(change: MapChange, report: RankReport): readonly Effect[] {
    const isOvertaken =
      change.step > 0 && report.step >= change.step && change.phase !== ChangePhase.Holding;
    if (isOvertaken) {
      return this.#finish(change, 'the pass has begun');
    }
    switch (change.phase) {
      case ChangePhase.Preparing:
        return this.#lookPreparing(change);
      case ChangePhase.Checking:
        return this.#lookChecking(change);
      case ChangePhase.Holding:
        return this.#lookHolding(change, report);
      case ChangePhase.Arming:
        return this.#lookArming(change);
      case ChangePhase.Releasing:
        return this.#lookReleasing(change);
      case ChangePhase.Aborting:
        return this.#lookAborting(change);
      default:
        return change.phase satisfies never;
    }
  }

  #lookIdle(): readonly Effect[] {
    const ranks = this.#view.complete();
    if (ranks === undefined) {
      this.#orphanSinceMs = undefined;
      return [];
    }
    const held = ranks.find(({ report }) => report.heldStep > 0);
    if (held !== undefined) {
      return this.#settleOrphan(ranks, held);
    }
    this.#orphanSinceMs = undefined;
    const mapVersion = ranks[0]?.report.mapVersion ?? 0;
    const isCalm = ranks.every(
      ({ report }) => report.armedVersion === 0 && report.mapVersion === mapVersion,
    );
    const asked = [
      ...this.#directory.ask(ranks[0]?.report.epoch ?? 0, ranks.length),
      ...this.#directory.tell(ranks.length),
    ];
    return isCalm && this.options.runtime.nowMs() >= this.#settleUntilMs
      ? [...asked, ...this.#propose(ranks, mapVersion)]
      : asked;
  }

  /** The map in use: the one of the last change, until all ranks have told their experts. */
  #placementOf(mapVersion: number, rankCount: number): RankPlacement | undefined {
    const last = this.#lastChange;
    return last?.version === mapVersion
      ? last.placement
      : this.#view.placement(mapVersion, rankCount);
  }

  #propose(ranks: readonly KnownRank[], mapVersion: number): readonly Effect[] {
    const current = this.#placementOf(mapVersion, ranks.length);
    const popularity = this.#popularity.estimate();
    const limits = this.#limits;
    if (
      current === undefined ||
      limits === undefined ||
      this.#popularity.total() < MIN_CHOICES ||
      popularity.length !== current.length
    ) {
      return [];
    }
    const { placesPerRank, spareCapacity, expertCopyMs } = limits;
    const placement = planPlacement(current, popularity, {
      placesPerRank,
      maxNewPerRank: Math.min(spareCapacity, MAX_NEW_PER_RANK),
      maxCopiesPerRank: Math.max(1, Math.floor(MAX_COPY_MS / Math.max(1, expertCopyMs))),
    });
    const before = skewOf(current, popularity);
    const after = skewOf(placement, popularity);
    this.#settleUntilMs = this.options.runtime.nowMs() + SETTLE_MS;
    return after > before * (1 - MIN_SKEW_GAIN) ? [] : this.#begin(ranks, placement, before, after);
  }

  #begin(
    ranks: readonly KnownRank[],
    placement: RankPlacement,
    skewBefore: number,
    skewAfter: number,
  ): readonly Effect[] {
    const own = this.#monitor.report();
    if (own === undefined) {
      return [];
    }
    const seen = ranks.flatMap(({ report }) => [report.mapVersion, report.preparedVersion]);
    const highest = Math.max(this.#highestVersion, ...seen);
    const version = (Math.floor(highest / VERSION_STRIDE) + 1) * VERSION_STRIDE + own.rank;
    this.#highestVersion = version;
    const { nowMs } = this.options.runtime;
    this.#change = MapChange.create({
      epoch: own.epoch,
      version,
      placement,
      holderRank: (own.rank + 1) % ranks.length,
      nowMs,
    });
    return [
      log(LogLevel.Info, LogTopic.MapChangeStarted, {
        epoch: own.epoch,
        version,
        skew: skewBefore,
        detail: `planned skew ${skewAfter.toFixed(3)}`,
      }),
      ...this.#look(),
    ];
  }

  #lookPreparing(change: MapChange): readonly Effect[] {
    const { epoch, version, placement } = change;
    const ranks = this.#view.complete();
    if (change.sincePhaseMs() > PREPARE_TIMEOUT_MS) {
      return this.#finish(change, 'not all ranks prepared in time');
    }
    if (ranks?.every(({ report }) => report.preparedVersion === version) === true) {
      change.enter(ChangePhase.Checking);
      return this.#look();
    }
    if (ranks === undefined || !change.isDue(ACTIVE_INTERVAL_MS)) {
      return [];
    }
    const { groupName = '' } = this.#members.self();
    const unprepared = ranks.filter(({ report }) => report.preparedVersion !== version);
    const burst = Math.ceil(PREPARE_BURST_NUMBERS / Math.max(1, placement.flat(2).length));
    return change.chooseDue(unprepared, PREPARE_REPEAT_MS, burst).map(({ agentAddress }) =>
      sendToPeer(agentAddress, {
        kind: PeerMessageKind.PrepareMap,
        groupName,
        epoch,
        version,
        placement,
      }),
    );
  }

  /** Sends to the ranks that a condition holds for; this rank's own agent hears itself. */
  static #toRanks(
    ranks: readonly KnownRank[] | undefined,
    isDue: (report: RankReport) => boolean,
    message: PeerMessage,
  ): readonly Effect[] {
    return (ranks ?? [])
      .filter(({ report }) => isDue(report))
      .map(({ agentAddress }) => sendToPeer(agentAddress, message));
  }

  #lookChecking(change: MapChange): readonly Effect[] {
    const ranks = this.#view.known(change.epoch);
    if (ranks.every(({ heardAtMs }) => heardAtMs > change.phaseAtMs)) {
      change.enter(ChangePhase.Holding);
      return this.#look();
    }
    if (change.sincePhaseMs() > PREPARE_TIMEOUT_MS) {
      return this.#finish(change, 'an agent does not answer');
    }
    const { groupName = '' } = this.#members.self();
    const message = { kind: PeerMessageKind.TellState, groupName } as const;
    return change.isDue(ACTIVE_INTERVAL_MS)
      ? GroupDriverService.#toRanks(ranks, () => true, message)
      : [];
  }

  /**
   * Has the holder's engine hold a pass, past its agent, so that no paused host keeps the group
   * held: if this one is paused now, the holder's agent gives up the hold that nobody confirms.
   */
  #lookHolding(change: MapChange, report: RankReport): readonly Effect[] {
    const holder = this.#view.known(change.epoch)[change.holderRank];
    if (holder === undefined || !change.isDue(ACTIVE_INTERVAL_MS)) {
      return [];
    }
    const { epoch } = change;
    const { groupName } = report;
    const step = change.chooseStep(report.step, LEAD_PASSES);
    const engineAddress = this.#directory.addressOf(holder.report.rank);
    const confirm = { kind: PeerMessageKind.ConfirmHold, groupName, epoch, step } as const;
    if (engineAddress === undefined) {
      const hold = { kind: PeerMessageKind.HoldStep, groupName, epoch, step } as const;
      return [sendToPeer(holder.agentAddress, hold), sendToPeer(holder.agentAddress, confirm)];
    }
    const order = { kind: OrderKind.Hold, epoch, step } as const;
    const ordered = change.isOrderDue(step, AGENT_PATIENCE_MS)
      ? this.#orderPast(change, holder.report.rank, order, engineAddress)
      : [];
    return [...ordered, sendToPeer(holder.agentAddress, confirm)];
  }

  /** Asks a rank's agent; an agent that is slow to answer is passed by. */
  #instruct(
    change: MapChange,
    { agentAddress, engineAddress, report }: KnownRank,
    order: Order,
    message: PeerMessage,
    isDirectDue: boolean,
  ): readonly Effect[] {
    const asked = sendToPeer(agentAddress, message);
    if (!isDirectDue) {
      return [asked];
    }
    const address = this.#directory.addressOf(report.rank) ?? engineAddress;
    return [asked, ...this.#orderPast(change, report.rank, order, address)];
  }

  /** Gives an order to an engine past its agent. */
  #orderPast(
    change: MapChange,
    rank: number,
    order: Order,
    engineAddress: string,
  ): readonly Effect[] {
    return this.#monitor.order(
      order,
      (outcome) => {
        change.noteDirect(rank, order.kind, outcome);
        return [
          log(LogLevel.Info, LogTopic.OrderAnswered, {
            detail: `${order.kind} past the agent of rank ${rank}`,
            outcome,
            epoch: order.epoch,
          }),
        ];
      },
      engineAddress,
    );
  }

  #lookArming(change: MapChange): readonly Effect[] {
    const { epoch, version, step } = change;
    const ranks = this.#view.known(epoch);
    if (ranks.every(({ report }) => change.isArmed(report))) {
      change.enter(ChangePhase.Releasing);
      return this.#look();
    }
    const isReplaced = ranks.some(
      ({ report }) => report.preparedVersion !== version && !change.isArmed(report),
    );
    if (isReplaced) {
      change.enter(ChangePhase.Aborting);
      return [];
    }
    if (!change.isDue(ACTIVE_INTERVAL_MS)) {
      return [];
    }
    const { groupName = '' } = this.#members.self();
    const order = { kind: OrderKind.Arm, epoch, version, step } as const;
    const message = { kind: PeerMessageKind.ArmMap, groupName, epoch, version, step } as const;
    const isDirectDue = change.isDirectDue(AGENT_PATIENCE_MS);
    return ranks
      .filter(({ report }) => !change.isArmed(report))
      .flatMap((rank) => this.#instruct(change, rank, order, message, isDirectDue));
  }

  #lookReleasing(change: MapChange): readonly Effect[] {
    const { epoch, step, holderRank } = change;
    const holder = this.#view.known(epoch)[holderRank];
    const isReleased = change.isReleased || holder?.report.heldStep !== step;
    if (holder === undefined || isReleased) {
      return this.#finish(change, 'in force');
    }
    if (!change.isDue(ACTIVE_INTERVAL_MS)) {
      return [];
    }
    const { groupName = '' } = this.#members.self();
    const order = { kind: OrderKind.Release, epoch, step } as const;
    const message = { kind: PeerMessageKind.ReleaseStep, groupName, epoch, step } as const;
    return this.#instruct(change, holder, order, message, change.isDirectDue(AGENT_PATIENCE_MS));
  }

  #release(epoch: number, step: number): readonly Effect[] {
    return this.#monitor.order({ kind: OrderKind.Release, epoch, step }, (outcome) => [
      log(LogLevel.Info, LogTopic.OrderAnswered, { detail: OrderKind.Release, outcome, step }),
    ]);
  }

  /** Waits until no rank is armed and no order without an answer can arm one any more. */
  #lookAborting(change: MapChange): readonly Effect[] {
    const { epoch, version } = change;
    const ranks = this.#view.complete();
    const isClear = ranks?.every(({ report }) => report.armedVersion !== version) === true;
    if (isClear && change.sincePhaseMs() > LATE_ORDER_MS) {
      change.enter(ChangePhase.Releasing);
      return this.#look();
    }
    const { groupName = '' } = this.#members.self();
    const message = { kind: PeerMessageKind.DisarmMap, groupName, epoch, version } as const;
    return change.isDue(ACTIVE_INTERVAL_MS)
      ? GroupDriverService.#toRanks(ranks, ({ armedVersion }) => armedVersion === version, message)
      : [];
  }

  /** A driver that died left a pass held: its change is completed if any rank is armed for it. */
  #settleOrphan(
    ranks: readonly KnownRank[],
    { agentAddress, report }: KnownRank,
  ): readonly Effect[] {
    const nowMs = this.options.runtime.nowMs();
    this.#orphanSinceMs ??= nowMs;
    if (nowMs - this.#orphanSinceMs < ORPHAN_HOLD_MS) {
      return [];
    }
    const { groupName, epoch, heldStep: step } = report;
    const version = Math.max(...ranks.map((one) => one.report.armedVersion));
    const isSettled = ranks.every((one) => one.report.armedVersion === version);
    if (isSettled) {
      return agentAddress === this.#members.self().address
        ? this.#release(epoch, step)
        : [sendToPeer(agentAddress, { kind: PeerMessageKind.ReleaseStep, groupName, epoch, step })];
    }
    const message = { kind: PeerMessageKind.ArmMap, groupName, epoch, version, step } as const;
    return GroupDriverService.#toRanks(
      ranks,
      ({ armedVersion }) => armedVersion !== version,
      message,
    );
  }

  #finish(change: MapChange, detail: string): readonly Effect[] {
    const { epoch, version, step, startedAtMs } = change;
    this.#change = undefined;
    this.#lastChange = change;
    return [
      log(LogLevel.Info, LogTopic.MapChangeEnded, {
        epoch,
        version,
        step,
        detail,
        durationMs: Math.round(this.options.runtime.nowMs() - startedAtMs),
      }),
    ];
  }
}

/**
 * Registers the service that drives a group.
 *
 * @example
 * const services = [rankMonitorRegistration(options), groupDriverRegistration(options)];
 */
export const groupDriverRegistration = (
  options: GroupDriverOptions,
): Registration<ServiceName.GroupDriver> => ({
  name: ServiceName.GroupDriver,
  requires: [ServiceName.Members, ServiceName.RankMonitor],
  create: (find) => {
    const service = GroupDriverService.create(options, find);
    return createInstance(
      {},
      {
        start: () => [setTimer(TimerKind.MapChange, TIMER_KEY, IDLE_INTERVAL_MS)],
        handle: (event) => service.handle(event),
        isDrained: () => service.isDrained(),
      },
    );
  },
});
