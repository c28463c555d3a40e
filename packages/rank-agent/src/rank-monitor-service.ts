/**
 * @module Polls the engine beside this process and gives it orders.
 *
 * A driver's requests are carried out by the agent beside the engine. An order that gets no answer
 * may still be carried out seconds later, so the engine's report alone shows whether it was.
 */
import {
  EffectKind,
  EventKind,
  LogLevel,
  LogTopic,
  OrderKind,
  OrderOutcome,
  PeerMessageKind,
  PeerRole,
  ServiceName,
  NEVER,
  TimerKind,
  ageMsOf,
  log,
  momentNow,
  sendToPeer,
  setTimer,
  type Effect,
  type Event,
  type FindService,
  type MembersApi,
  type Moment,
  type OnOrderOutcome,
  type Order,
  type OrderAnsweredEvent,
  type PeerMessageEvent,
  type RankCountDelta,
  type RankReport,
  type RankCounts,
  type Registration,
  type Runtime,
} from '@ebonysill/gateway';
import { createInstance } from '@ebonysill/kernel';
import HoldTracker from './HoldTracker.js';
import ExpertCountDelta from './ExpertCountDelta.js';

/** Interval of polling the engine; as long as a few passes. */
const POLL_INTERVAL_MS = 250;

/** Interval of polling the engine while a change is in progress. */
const FAST_POLL_INTERVAL_MS = 30;

/** Time for which polling stays fast after an order or a message of a driver. */
const FAST_POLL_DURATION_MS = 500;

/** Interval at which unchanged state is sent to the driver. */
const STATE_INTERVAL_MS = 450;

/** Interval of reading the expert counts; popularity shifts within seconds. */
const COUNT_INTERVAL_MS = 250;

/**
 * Age from which a report is not acted on. An answer takes up to 400 ms, and the next one is there
 * at the latest 650 ms after it was asked for, so that only a suspension makes a report this old.
 */
const MAX_REPORT_AGE_MS = 1_000;

const TIMER_KEY = 0;

/** Key of the fields whose changes are sent to the driver without delay. */
const stateKeyOf = (report: RankReport): string =>
  [
    report.epoch,
    report.isOpen,
    report.mapVersion,
    report.preparedVersion,
    report.armedVersion,
    report.heldStep,
  ].join('/');

/** Options of the rank monitor. */
export interface RankMonitorOptions {
  readonly runtime: Runtime;
  /** IP address and port of the engine beside this process. */
  readonly engineAddress: string;
}

/** A driver's request to confirm a hold. */
interface HoldRequest {
  /** IP address and port of the driver. */
  readonly address: string;
  readonly epoch: number;
  readonly step: number;
}

/** Polls one engine and reports its state to the driver of the group. */
class RankMonitorService {
  #report: RankReport | undefined;

  #reportAskedAt: Moment = NEVER;

  /** When the questions were asked that have no answer yet. */
  readonly #askedAt: Moment[] = [];

  /** Latest unanswered request; it is answered once the engine reports the hold. */
  #holdRequest: HoldRequest | undefined;

  #counts: RankCounts | undefined;

  #lastDelta: RankCountDelta | undefined;

  readonly #countDelta = ExpertCountDelta.create();

  readonly #holds: HoldTracker;

  #sentStateKey = '';

  #stateSentAtMs = Number.NEGATIVE_INFINITY;

  #driverActiveAtMs = Number.NEGATIVE_INFINITY;

  #nextOrderId = 1;

  readonly #pendingOrders = new Map<number, OnOrderOutcome>();

  readonly #members: MembersApi;

  private constructor(
    private readonly options: RankMonitorOptions,
    find: FindService,
  ) {
    this.#members = find(ServiceName.Members);
    this.#holds = HoldTracker.create(options.runtime);
  }

  static create(options: RankMonitorOptions, find: FindService): RankMonitorService {
    return new RankMonitorService(options, find);
  }

  readonly report = (): RankReport | undefined =>
    this.#reportAgeMs() < MAX_REPORT_AGE_MS ? this.#report : undefined;

  readonly reportAskedAt = (): Moment => this.#reportAskedAt;

  readonly countDelta = (): RankCountDelta | undefined => this.#lastDelta;

  readonly order = (
    order: Order,
    onOutcome: OnOrderOutcome,
    engineAddress?: string,
  ): readonly Effect[] => {
    const orderId = this.#nextOrderId;
    this.#nextOrderId += 1;
    this.#pendingOrders.set(orderId, onOutcome);
    if (order.kind === OrderKind.Release && engineAddress === undefined) {
      this.#holds.recordRelease(order.step);
    }
    this.#driverActiveAtMs = this.options.runtime.nowMs();
    return [
      {
        kind: EffectKind.SendOrder,
        orderId,
        order,
        ...(engineAddress === undefined ? {} : { engineAddress }),
      },
    ];
  };

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.TimerFired:
        return this.#onTimer(event.timer);
      case EventKind.RankReported:
        return event.engineAddress === undefined ? this.#onReport(event.report) : [];
      case EventKind.ExpertsCounted:
        return event.rankCounts === undefined ? [] : this.#onCounts(event.rankCounts);
      case EventKind.OrderAnswered:
        return this.#onOrderAnswered(event);
      case EventKind.PeerMessageReceived:
        return this.#onMessage(event);
      default:
        return [];
    }
  }

  #onTimer(timer: TimerKind): readonly Effect[] {
    switch (timer) {
      case TimerKind.RankReport:
        return [
          this.#askEngine(),
          setTimer(TimerKind.RankReport, TIMER_KEY, this.#pollIntervalMs()),
        ];
      case TimerKind.ExpertCount:
        return [
          this.#countExperts(),
          setTimer(TimerKind.ExpertCount, TIMER_KEY, COUNT_INTERVAL_MS),
        ];
      default:
        return [];
    }
  }

  /** Asks for counts; experts are listed only if the map has changed since the last answer. */
  #countExperts(): Effect {
    const counts = this.#counts;
    const isCurrent =
      counts !== undefined &&
      counts.epoch === this.#report?.epoch &&
      counts.mapVersion === this.#report.mapVersion;
    return isCurrent
      ? {
          kind: EffectKind.CountExperts,
          known: { mapVersion: counts.mapVersion, experts: counts.experts },
        }
      : { kind: EffectKind.CountExperts };
  }

  #pollIntervalMs(): number {
    const isFast = this.options.runtime.nowMs() - this.#driverActiveAtMs < FAST_POLL_DURATION_MS;
    return isFast ? FAST_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
  }

  start(): readonly Effect[] {
    return [
      this.#askEngine(),
      setTimer(TimerKind.RankReport, TIMER_KEY, POLL_INTERVAL_MS),
      setTimer(TimerKind.ExpertCount, TIMER_KEY, COUNT_INTERVAL_MS),
    ];
  }

  #askEngine(): Effect {
    this.#askedAt.push(momentNow(this.options.runtime));
    return { kind: EffectKind.QueryRank };
  }

  #reportAgeMs(): number {
    return ageMsOf(this.options.runtime, this.#reportAskedAt);
  }

  /** Each question has one answer; if answers overtake each other, they count as older. */
  #onReport(report: RankReport | undefined): readonly Effect[] {
    this.#report = report;
    this.#reportAskedAt = this.#askedAt.shift() ?? NEVER;
    if (report === undefined) {
      return [];
    }
    this.#members.joinGroup(report.groupName);
    this.#holds.recordReport(report);
    return [
      ...this.#confirmRequestedHold(),
      ...this.#reportState(report),
      ...this.#releaseAbandonedHold(report.epoch),
    ];
  }

  /** Releases a hold that no driver asked to confirm in time, as it stops the group needlessly. */
  #releaseAbandonedHold(epoch: number): readonly Effect[] {
    const step = this.#holds.abandonedStep();
    return step === undefined
      ? []
      : this.#giveLoggedOrder({ kind: OrderKind.Release, epoch, step });
  }

  #reportState(report: RankReport): readonly Effect[] {
    const stateKey = stateKeyOf(report);
    const nowMs = this.options.runtime.nowMs();
    if (stateKey === this.#sentStateKey && nowMs - this.#stateSentAtMs < STATE_INTERVAL_MS) {
      return [];
    }
    this.#sentStateKey = stateKey;
    this.#stateSentAtMs = nowMs;
    return this.#sendToDriver((address) =>
      sendToPeer(address, {
        kind: PeerMessageKind.RankState,
        report,
        ageMs: Math.round(this.#reportAgeMs()),
        engineAddress: this.options.engineAddress,
      }),
    );
  }

  #onCounts(counts: RankCounts): readonly Effect[] {
    const report = this.#report;
    this.#counts = counts;
    const delta = this.#countDelta.record(counts);
    this.#lastDelta = delta;
    if (report === undefined || delta === undefined) {
      return [];
    }
    const { groupName, rank } = report;
    return this.#sendToDriver((address) =>
      sendToPeer(address, {
        kind: PeerMessageKind.RankCountDelta,
        groupName,
        rank,
        increase: delta,
      }),
    );
  }

  /** Sends to the group's driver, the agent with the lowest name, unless it is this process. */
  #sendToDriver(build: (address: string) => Effect): readonly Effect[] {
    const groupName = this.#report?.groupName;
    const self = this.#members.self();
    const driver = this.#members
      .others(PeerRole.RankAgent)
      .filter((member) => member.groupName === groupName)
      .reduce((best, member) => (member.name < best.name ? member : best), self);
    return driver.name === self.name ? [] : [build(driver.address)];
  }

  #onMessage({ address, message }: PeerMessageEvent): readonly Effect[] {
    const isForeign =
      'groupName' in message &&
      this.#report !== undefined &&
      message.groupName !== this.#report.groupName;
    if (isForeign) {
      return [];
    }
    switch (message.kind) {
      case PeerMessageKind.QueryState:
        return this.#pollSoon();
      case PeerMessageKind.PrepareMap:
        return this.#prepare(message.epoch, message.version, {
          kind: OrderKind.Prepare,
          epoch: message.epoch,
          version: message.version,
          placement: message.placement,
        });
      case PeerMessageKind.HoldStep:
        return this.#hold(message.epoch, message.step);
      case PeerMessageKind.ConfirmHold:
        return this.#confirmHold(address, message.epoch, message.step);
      case PeerMessageKind.ArmMap:
        return this.#arm(message.epoch, message.version, message.step);
      case PeerMessageKind.DisarmMap:
        return this.#disarm(message.epoch, message.version);
      default:
        return [];
    }
  }

  #prepare(epoch: number, version: number, order: Order): readonly Effect[] {
    const report = this.report();
    const isDue =
      report?.epoch === epoch && report.armedVersion === 0 && report.preparedVersion < version;
    return isDue ? this.#giveLoggedOrder(order) : this.#pollSoon();
  }

  #hold(epoch: number, step: number): readonly Effect[] {
    const report = this.report();
    const isDue = report?.epoch === epoch && report.step < step && report.heldStep === 0;
    return isDue ? this.#giveLoggedOrder({ kind: OrderKind.Hold, epoch, step }) : this.#pollSoon();
  }

  #confirmHold(address: string, epoch: number, step: number): readonly Effect[] {
    this.#holdRequest = { address, epoch, step };
    const confirmed = this.#confirmRequestedHold();
    return confirmed.length > 0 ? confirmed : this.#pollSoon();
  }

  /** Confirms the requested hold if the engine reports it. */
  #confirmRequestedHold(): readonly Effect[] {
    const report = this.report();
    const holdRequest = this.#holdRequest;
    if (report === undefined || holdRequest === undefined) {
      return [];
    }
    if (!this.#holds.confirm(holdRequest.epoch, holdRequest.step)) {
      return [];
    }
    this.#holdRequest = undefined;
    const { engineAddress } = this.options;
    const kind = PeerMessageKind.HoldConfirmed;
    const ageMs = Math.round(this.#reportAgeMs());
    return [sendToPeer(holdRequest.address, { kind, report, ageMs, engineAddress })];
  }

  #arm(epoch: number, version: number, step: number): readonly Effect[] {
    const report = this.report();
    const isDue =
      report?.epoch === epoch && report.preparedVersion === version && report.armedVersion === 0;
    return isDue
      ? this.#giveLoggedOrder({ kind: OrderKind.Arm, epoch, version, step })
      : this.#pollSoon();
  }

  #disarm(epoch: number, version: number): readonly Effect[] {
    const report = this.report();
    const isDue = report?.epoch === epoch && report.armedVersion === version;
    return isDue
      ? this.#giveLoggedOrder({ kind: OrderKind.Disarm, epoch, version })
      : this.#pollSoon();
  }

  /** Polls the engine now and sends its state to the driver even if unchanged. */
  #pollSoon(): readonly Effect[] {
    this.#driverActiveAtMs = this.options.runtime.nowMs();
    this.#sentStateKey = '';
    return [this.#askEngine()];
  }

  #giveLoggedOrder(order: Order): readonly Effect[] {
    return this.order(order, (outcome) => [
      log(
        outcome === OrderOutcome.Accepted ? LogLevel.Info : LogLevel.Warn,
        LogTopic.OrderAnswered,
        {
          detail: order.kind,
          outcome,
          epoch: order.epoch,
          ...('version' in order ? { version: order.version } : {}),
          ...('step' in order ? { step: order.step } : {}),
        },
      ),
    ]);
  }

  #onOrderAnswered({ orderId, outcome }: OrderAnsweredEvent): readonly Effect[] {
    const onOutcome = this.#pendingOrders.get(orderId);
    this.#pendingOrders.delete(orderId);
    return onOutcome === undefined ? [] : [...onOutcome(outcome), ...this.#pollSoon()];
  }
}

/**
 * Registers the service that polls an engine and gives it orders.
 *
 * @example
 * const services = [membersRegistration(options), rankMonitorRegistration(options)];
 */
export const rankMonitorRegistration = (
  options: RankMonitorOptions,
): Registration<ServiceName.RankMonitor> => ({
  name: ServiceName.RankMonitor,
  requires: [ServiceName.Members],
  create: (find) => {
    const service = RankMonitorService.create(options, find);
    const { report, reportAskedAt, countDelta, order } = service;
    return createInstance(
      { report, reportAskedAt, countDelta, order },
      { start: () => service.start(), handle: (event) => service.handle(event) },
    );
  },
});
