/**
 * @module Drives changes of a group's expert map.
 *
 * All ranks prepare the new map, by copying the experts that they lack. Then the driver orders the
 * engine of another rank to hold a forward pass a few passes ahead, and asks that rank's agent to
 * confirm that it will retain the hold. Only after the confirmation does it ask every rank to arm
 * the map for that pass, and it has the pass released when every rank is known to be armed. If an
 * agent does not act, the driver gives the order directly to the engine.
 *
 * Since no rank can begin a pass without the others, a hold on one rank keeps all of them from
 * beginning it with different maps, even if messages and orders are lost or delayed.
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
  ageMsOf,
  log,
  sendToPeer,
  setTimer,
  type Effect,
  type EngineLimitsMessage,
  type Event,
  type FindService,
  type MembersApi,
  type Moment,
  type PeerMessageEvent,
  type RankMonitorApi,
  type RankCountDelta,
  type RankPlacement,
  type RankReport,
  type RankReportedEvent,
  type RankStateMessage,
  type Registration,
  type Runtime,
} from '@ebonysill/gateway';
import { createInstance } from '@ebonysill/kernel';
import ArrivalBound from './ArrivalBound.js';
import { ACTIVE_INTERVAL_MS, ChangePhases } from './change-phases.js';
import EngineDirectory from './EngineDirectory.js';
import GroupView, { type KnownRank } from './GroupView.js';
import { ChangePhase, MapChange } from './map-change.js';
import { skewOf } from './placement.js';
import { planPlacement } from './plan-placement.js';
import PopularityMeter from './PopularityMeter.js';
import sendToRanks from './sendToRanks.js';

/** Interval of evaluation while no change is in progress. */
const IDLE_INTERVAL_MS = 100;

/** Minimum time between two plans, since planning takes processor time. */
const COOLDOWN_MS = 300;

/** Minimum share by which a change must lower the skew; copying weights slows passes down. */
const MIN_SKEW_GAIN = 0.1;

/** Number of activations below which the popularity estimate is too uncertain to act on. */
const MIN_ACTIVATIONS = 4_000;

/** Maximum number of experts of one layer set that a change adds to a rank; copying takes time. */
const MAX_NEW_PER_RANK = 1;

/** Time after which a held pass is recovered if this driver has no change in progress. */
const ABANDONED_HOLD_MS = 600;

/**
 * Age from which the confirmation of a hold is ignored. By then another driver may have released the
 * hold; an agent that still retains it confirms it again.
 */
const MAX_CONFIRMATION_AGE_MS = 500;

/** Maximum time that a rank copies weights for one change; short changes take effect sooner. */
const MAX_COPY_MS = 450;

/** Versions are multiples of this, a block, plus the driver's rank, so that no two drivers use the same. */
const VERSION_STRIDE = 1_024;

/**
 * Blocks of versions that a driver may skip before its first one. A version that its place gave out before
 * may be unknown: ranks show it only when they have copied its experts.
 */
const MAX_SKIPPED_BLOCKS = 2 ** 16;

/** Phases in which no pass is held, so that the driver may stop. */
const PHASES_WITHOUT_HOLD: readonly ChangePhase[] = [ChangePhase.Preparing, ChangePhase.Checking];

const TIMER_KEY = 0;

/** Options of the group driver. */
export interface GroupDriverOptions {
  readonly runtime: Runtime;
  /** IP address and port of the engine beside this process. */
  readonly engineAddress: string;
}

/** A pass whose hold this driver ordered. */
interface HeldStep {
  readonly epoch: number;
  readonly step: number;
}

/** Drives the map changes of this rank's group while this agent is the group's driver. */
class GroupDriverService {
  #change: MapChange | undefined;

  /** The last change that ended. As versions are never reused, a map of its version is its map. */
  #lastChange: MapChange | undefined;

  #lastHeld: HeldStep = { epoch: 0, step: 0 };

  #cooldownUntilMs = 0;

  #abandonedSinceMs: number | undefined;

  /** Highest version that this process has given out; 0 before the first. */
  #highestVersion = 0;

  #limits: EngineLimitsMessage | undefined;

  readonly #arrivals: ArrivalBound;

  readonly #view: GroupView;

  readonly #popularity: PopularityMeter;

  readonly #directory: EngineDirectory;

  readonly #phases: ChangePhases;

  readonly #members: MembersApi;

  readonly #monitor: RankMonitorApi;

  private constructor(
    private readonly options: GroupDriverOptions,
    find: FindService,
  ) {
    this.#arrivals = ArrivalBound.create(options.runtime);
    this.#view = GroupView.create(options.runtime);
    this.#popularity = PopularityMeter.create(options.runtime);
    this.#members = find(ServiceName.Members);
    this.#monitor = find(ServiceName.RankMonitor);
    const { nowMs } = options.runtime;
    this.#directory = EngineDirectory.create({ nowMs, members: this.#members });
    this.#phases = ChangePhases.create({
      view: this.#view,
      directory: this.#directory,
      members: this.#members,
      monitor: this.#monitor,
      onEnded: (change, detail) => this.#finish(change, detail),
    });
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
        return event.rankCounts === undefined ? [] : this.#onOwnCounts();
      default:
        return [];
    }
  }

  /** True unless a change may have a pass held. */
  isDrained(): boolean {
    return this.#change === undefined || PHASES_WITHOUT_HOLD.includes(this.#change.phase);
  }

  #onTimer(): readonly Effect[] {
    this.#arrivals.tick();
    const effects = this.#evaluate();
    const delayMs = this.#change === undefined ? IDLE_INTERVAL_MS : ACTIVE_INTERVAL_MS;
    return [...effects, setTimer(TimerKind.MapChange, TIMER_KEY, delayMs)];
  }

  #onReport(event: RankReportedEvent): readonly Effect[] {
    if (event.engineAddress === undefined) {
      return event.report === undefined ? [] : this.#onOwnReport(event.report);
    }
    this.#directory.recordReport(event);
    return [];
  }

  #onOwnReport(report: RankReport): readonly Effect[] {
    this.#view.recordReport({
      agentAddress: this.#members.self().address,
      engineAddress: this.options.engineAddress,
      report,
      asOf: this.#monitor.reportAskedAt(),
    });
    return this.#change === undefined ? [] : this.#evaluate();
  }

  #onOwnCounts(): readonly Effect[] {
    const report = this.#monitor.report();
    const delta = this.#monitor.countDelta();
    if (report !== undefined && delta !== undefined) {
      this.#recordDelta(report.rank, delta);
    }
    return [];
  }

  #recordDelta(rank: number, delta: RankCountDelta): void {
    this.#view.recordDelta(rank, delta);
    this.#popularity.record(delta);
  }

  #onMessage({ address, message }: PeerMessageEvent): readonly Effect[] {
    const groupName = this.#monitor.report()?.groupName;
    switch (message.kind) {
      case PeerMessageKind.EngineLimits:
        this.#limits = message;
        return [];
      case PeerMessageKind.TargetAddresses:
        return this.#directory.onAddresses(message.addresses);
      case PeerMessageKind.RankState:
        if (message.report.groupName !== groupName) {
          return [];
        }
        this.#recordState(address, message);
        return this.#change === undefined ? [] : this.#evaluate();
      case PeerMessageKind.HoldConfirmed:
        return this.#onHoldConfirmed(address, message);
      case PeerMessageKind.RankCountDelta:
        if (message.groupName === groupName) {
          this.#recordDelta(message.rank, message.increase);
        }
        return [];
      case PeerMessageKind.ReleaseStep:
        return message.groupName === groupName
          ? this.#onReleaseRequested(message.epoch, message.step)
          : [];
      default:
        return [];
    }
  }

  #onHoldConfirmed(address: string, message: RankStateMessage): readonly Effect[] {
    const { report } = message;
    const change = this.#change;
    const isExpected =
      change?.phase === ChangePhase.Holding &&
      report.epoch === change.epoch &&
      report.rank === change.holderRank &&
      report.heldStep === change.step &&
      ageMsOf(this.options.runtime, this.#askedAtOf(message)) < MAX_CONFIRMATION_AGE_MS;
    if (!isExpected) {
      return [];
    }
    this.#recordState(address, message);
    change.enter(ChangePhase.Arming);
    return this.#evaluate();
  }

  #recordState(agentAddress: string, message: RankStateMessage): void {
    const { engineAddress, report } = message;
    this.#view.recordReport({
      agentAddress,
      engineAddress,
      report,
      asOf: this.#askedAtOf(message),
    });
  }

  /** Earliest moment at which the agent can have asked its engine for the report. */
  #askedAtOf({ ageMs }: RankStateMessage): Moment {
    const { atMs, atSuspendAwareMs } = this.#arrivals.earliest();
    return { atMs: atMs - ageMs, atSuspendAwareMs: atSuspendAwareMs - ageMs };
  }

  /** Releases the hold of the engine beside this process, unless a change is in progress here. */
  #onReleaseRequested(epoch: number, step: number): readonly Effect[] {
    const report = this.#monitor.report();
    const isAbandoned =
      this.#change === undefined && report?.epoch === epoch && report.heldStep === step;
    return isAbandoned ? this.#release(epoch, step) : [];
  }

  /** Whether this agent has the lowest name among the known agents of its group. */
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

  #evaluate(): readonly Effect[] {
    const change = this.#change;
    if (change === undefined) {
      return this.#isDriver() ? this.#evaluateIdle() : [];
    }
    const report = this.#monitor.report();
    if (report !== undefined && report.epoch !== change.epoch) {
      return this.#finish(change, 'the epoch of the group changed');
    }
    return report === undefined ? [] : this.#phases.advance(change, report);
  }

  #evaluateIdle(): readonly Effect[] {
    const ranks = this.#view.currentRanks();
    if (ranks === undefined) {
      this.#abandonedSinceMs = undefined;
      return [];
    }
    const held = ranks.find(({ report }) => report.heldStep > 0);
    if (held !== undefined) {
      return this.#recoverAbandonedHold(ranks, held);
    }
    this.#abandonedSinceMs = undefined;
    const mapVersion = ranks[0]?.report.mapVersion ?? 0;
    const isStable = ranks.every(
      ({ report }) => report.armedVersion === 0 && report.mapVersion === mapVersion,
    );
    const requests = [
      ...this.#directory.requestAddresses(ranks[0]?.report.epoch ?? 0, ranks.length),
      ...this.#directory.announceGroupTargets(ranks.length),
    ];
    return isStable && this.options.runtime.nowMs() >= this.#cooldownUntilMs
      ? [...requests, ...this.#propose(ranks, mapVersion)]
      : requests;
  }

  /** The placement in use: that of the last change if the versions match, else as ranks report. */
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
      this.#popularity.total() < MIN_ACTIVATIONS ||
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
    const skewBefore = skewOf(current, popularity);
    const skewAfter = skewOf(placement, popularity);
    this.#cooldownUntilMs = this.options.runtime.nowMs() + COOLDOWN_MS;
    return skewAfter > skewBefore * (1 - MIN_SKEW_GAIN)
      ? []
      : this.#begin(ranks, placement, skewBefore, skewAfter);
  }

  #begin(
    ranks: readonly KnownRank[],
    placement: RankPlacement,
    skewBefore: number,
    skewAfter: number,
  ): readonly Effect[] {
    const ownReport = this.#monitor.report();
    if (ownReport === undefined) {
      return [];
    }
    const knownVersions = ranks.flatMap(({ report }) => [
      report.mapVersion,
      report.preparedVersion,
    ]);
    const { nowMs, random } = this.options.runtime;
    const highest = Math.max(this.#highestVersion, ...knownVersions);
    const skippedBlocks =
      this.#highestVersion === 0 ? Math.floor(random() * MAX_SKIPPED_BLOCKS) : 0;
    const block = Math.floor(highest / VERSION_STRIDE) + 1 + skippedBlocks;
    const version = block * VERSION_STRIDE + ownReport.rank;
    this.#highestVersion = version;
    this.#change = MapChange.create({
      epoch: ownReport.epoch,
      version,
      placement,
      holderRank: (ownReport.rank + 1) % ranks.length,
      lastHeldStep: this.#lastHeld.epoch === ownReport.epoch ? this.#lastHeld.step : 0,
      nowMs,
    });
    return [
      log(LogLevel.Info, LogTopic.MapChangeStarted, {
        epoch: ownReport.epoch,
        version,
        skew: skewBefore,
        detail: `planned skew ${skewAfter.toFixed(3)}`,
      }),
      ...this.#evaluate(),
    ];
  }

  #release(epoch: number, step: number): readonly Effect[] {
    return this.#monitor.order({ kind: OrderKind.Release, epoch, step }, (outcome) => [
      log(LogLevel.Info, LogTopic.OrderAnswered, { detail: OrderKind.Release, outcome, step }),
    ]);
  }

  /**
   * Recovers a pass that a stopped driver left held: if any rank is armed, first arms the others
   * for the same version, then has the pass released.
   */
  #recoverAbandonedHold(
    ranks: readonly KnownRank[],
    { agentAddress, report }: KnownRank,
  ): readonly Effect[] {
    const nowMs = this.options.runtime.nowMs();
    this.#abandonedSinceMs ??= nowMs;
    if (nowMs - this.#abandonedSinceMs < ABANDONED_HOLD_MS) {
      return [];
    }
    const { groupName, epoch, heldStep: step } = report;
    const version = Math.max(...ranks.map((rank) => rank.report.armedVersion));
    const isUniform = ranks.every((rank) => rank.report.armedVersion === version);
    if (isUniform) {
      return agentAddress === this.#members.self().address
        ? this.#release(epoch, step)
        : [sendToPeer(agentAddress, { kind: PeerMessageKind.ReleaseStep, groupName, epoch, step })];
    }
    const message = { kind: PeerMessageKind.ArmMap, groupName, epoch, version, step } as const;
    return sendToRanks(ranks, ({ armedVersion }) => armedVersion !== version, message);
  }

  #finish(change: MapChange, detail: string): readonly Effect[] {
    const { epoch, version, step, startedAtMs } = change;
    this.#change = undefined;
    this.#lastChange = change;
    if (step > 0) {
      this.#lastHeld = { epoch, step };
    }
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
 * Registers the service that drives the map changes of a group.
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
