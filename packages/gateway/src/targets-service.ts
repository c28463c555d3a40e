/** @module The usable targets, from the entries that they publish in the store. */
import { createInstance } from '@ebonysill/kernel';
import { log, setTimer } from './build-effects.js';
import { ServiceName, type FindService, type Registration, type StoreApi } from './directory.js';
import { LogLevel, LogTopic, type Effect } from './effect.js';
import {
  EventKind,
  ItemKind,
  ItemScope,
  StoreFailure,
  StoreReadKind,
  type Event,
  type StoreFailedEvent,
  type StoreItem,
  type StoreReadEvent,
} from './event.js';
import ExcludedZones from './ExcludedZones.js';
import { TargetPhase, type PublishedTarget } from './published.js';
import RecentMap from './RecentMap.js';
import type { Runtime } from './runtime.js';
import StoreOutage from './StoreOutage.js';
import TimerKind from './TimerKind.js';

/** Entries that a full read contains this soon after a restore may be old. */
const RESTORED_ENTRIES_MS = 5_000;

/** Maximum number of targets that are remembered after they are gone. */
const MAX_GONE_TARGETS = 1_024;

interface KnownTarget {
  readonly target: PublishedTarget;
  readonly coldUntilMs: number;
  /** When the target is dropped; undefined while the store holds its entry. */
  readonly lapsesAtMs?: number;
}

/** Options of the service; it uses the clock of `runtime`. */
export interface TargetsOptions {
  readonly runtime: Runtime;
  /** Time within which a target that has left gets no further requests. */
  readonly drainTimeoutMs: number;
  /** Interval at which targets renew their entries. */
  readonly heartbeatIntervalMs: number;
}

/** Tracks the published targets and the zones that operators took out. */
class TargetsService {
  readonly #known = new Map<string, KnownTarget>();

  readonly #excludedZones = ExcludedZones.create();

  readonly #outage: StoreOutage;

  /** Keys of the items in the pages of a full read so far; undefined between full reads. */
  #readKeys: Set<string> | undefined;

  #storeRestoredAtMs = Number.NEGATIVE_INFINITY;

  /** By instance identifier of targets that are gone: their start. */
  readonly #goneStarts = RecentMap.create<number | undefined>(MAX_GONE_TARGETS);

  readonly #store: StoreApi;

  private readonly runtime: Runtime;

  private constructor(options: TargetsOptions, find: FindService) {
    const { runtime, drainTimeoutMs, heartbeatIntervalMs } = options;
    this.runtime = runtime;
    this.#outage = StoreOutage.create({
      nowMs: runtime.nowMs,
      drainTimeoutMs,
      heartbeatIntervalMs,
    });
    this.#store = find(ServiceName.Store);
  }

  static create(options: TargetsOptions, find: FindService): TargetsService {
    return new TargetsService(options, find);
  }

  readonly usable = (service: string): readonly PublishedTarget[] =>
    [...this.#known.values()]
      .map(({ target }) => target)
      .filter(
        (target) =>
          target.service === service &&
          target.phase === TargetPhase.Available &&
          !this.#excludedZones.has(target.availabilityZone),
      );

  readonly coldMsLeft = (instanceId: string): number =>
    Math.max(0, (this.#known.get(instanceId)?.coldUntilMs ?? 0) - this.runtime.nowMs());

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.StoreRead:
        return this.#onRead(event);
      case EventKind.StoreFailed:
        this.#onFailed(event);
        return [];
      case EventKind.TimerFired:
        return event.timer === TimerKind.LapseCheck ? this.#dropLapsed() : [];
      default:
        return [];
    }
  }

  #onRead({ read, items, nextAfterKey }: StoreReadEvent): readonly Effect[] {
    if (this.#store.wasRestored()) {
      this.#recordRestore();
      return [];
    }
    this.#outage.recordAnswer();
    if (read === StoreReadKind.Watch) {
      return items.flatMap((item) => this.#onItem(item));
    }
    const readKeys = this.#readKeys ?? new Set<string>();
    this.#readKeys = readKeys;
    items.forEach((item) => readKeys.add(TargetsService.#keyOf(item)));
    const effects = items
      .filter((item) => !this.#isOutdated(item))
      .flatMap((item) => this.#onItem(item));
    return nextAfterKey === undefined ? [...effects, ...this.#reconcile(readKeys)] : effects;
  }

  #onFailed({ failure }: StoreFailedEvent): void {
    this.#readKeys = undefined;
    if (this.#store.wasRestored()) {
      this.#recordRestore();
    } else if (failure !== StoreFailure.HistoryExpired) {
      this.#outage.recordFailure();
    }
  }

  #recordRestore(): void {
    this.#readKeys = undefined;
    this.#storeRestoredAtMs = this.runtime.nowMs();
    this.#outage.recordRestore();
  }

  /** Whether an item is the entry of a target that was gone before the store was restored. */
  #isOutdated(item: StoreItem): boolean {
    const isRestored = this.runtime.nowMs() - this.#storeRestoredAtMs < RESTORED_ENTRIES_MS;
    return (
      isRestored &&
      item.kind === ItemKind.Target &&
      this.#goneStarts.has(item.target.instanceId) &&
      this.#goneStarts.get(item.target.instanceId) === item.target.startedAtMs
    );
  }

  /** Removes what a full read of the store did not contain. */
  #reconcile(readKeys: ReadonlySet<string>): readonly Effect[] {
    this.#readKeys = undefined;
    const zones = this.#excludedZones
      .names()
      .filter((zone) => !readKeys.has(`${ItemScope.Zone}/${zone}`));
    const targets = [...this.#known.keys()].filter(
      (id) => !readKeys.has(`${ItemScope.Target}/${id}`),
    );
    return [
      ...zones.flatMap((zone) => this.#onZoneMissing(zone)),
      ...targets.flatMap((id) => this.#onTargetRemoved(id)),
    ];
  }

  static #keyOf(item: StoreItem): string {
    switch (item.kind) {
      case ItemKind.Target:
        return `${item.scope}/${item.target.instanceId}`;
      case ItemKind.ZoneOut:
        return `${item.scope}/${item.zone}`;
      case ItemKind.Configuration:
        return item.scope;
      case ItemKind.Unreadable:
      case ItemKind.Removed:
        return `${item.scope}/${item.id}`;
      default:
        return item satisfies never;
    }
  }

  #onItem(item: StoreItem): readonly Effect[] {
    switch (item.kind) {
      case ItemKind.Target:
        return this.#onTargetPublished(item.target);
      case ItemKind.ZoneOut:
        return this.#excludedZones.add(item.zone);
      case ItemKind.Removed:
        return this.#onItemRemoved(item.scope, item.id);
      case ItemKind.Unreadable:
        return this.#onItemUnreadable(item.scope, item.id, item.detail ?? '');
      default:
        return [];
    }
  }

  #onItemRemoved(scope: ItemScope, id: string): readonly Effect[] {
    switch (scope) {
      case ItemScope.Zone:
        return this.#excludedZones.remove(id);
      case ItemScope.Target:
        return this.#onTargetRemoved(id);
      default:
        return [];
    }
  }

  /** An entry that cannot be decoded names no target, and the earlier entry is no longer valid. */
  #onItemUnreadable(scope: ItemScope, id: string, detail: string): readonly Effect[] {
    const line = log(LogLevel.Warn, LogTopic.ItemUnreadable, { instanceId: id, detail });
    if (scope !== ItemScope.Target) {
      return [line];
    }
    this.#known.delete(id);
    return [line];
  }

  #onTargetPublished(published: PublishedTarget): readonly Effect[] {
    const before = this.#known.get(published.instanceId);
    const target = TargetsService.#keepLeaving(published, before?.target);
    this.#goneStarts.delete(target.instanceId);
    const coldUntilMs = this.runtime.nowMs() + target.coldRemainingMs;
    this.#known.set(target.instanceId, { target, coldUntilMs });
    const fields = {
      instanceId: target.instanceId,
      service: target.service,
      zone: target.availabilityZone,
      detail: `${target.phase} at ${target.address}`,
    };
    if (before === undefined) {
      return [log(LogLevel.Info, LogTopic.TargetAdded, fields)];
    }
    return before.target.phase === target.phase
      ? []
      : [log(LogLevel.Info, LogTopic.TargetChanged, fields)];
  }

  /** A target that leaves does not become available again before its next start. */
  static #keepLeaving(
    target: PublishedTarget,
    before: PublishedTarget | undefined,
  ): PublishedTarget {
    const isSameStart =
      target.startedAtMs !== undefined && target.startedAtMs === before?.startedAtMs;
    return isSameStart && before.phase === TargetPhase.Leaving
      ? { ...target, phase: TargetPhase.Leaving }
      : target;
  }

  #onTargetRemoved(id: string): readonly Effect[] {
    const known = this.#known.get(id);
    if (known === undefined) {
      return [];
    }
    const lapsesAtMs = this.#outage.graceEndsAtMs();
    if (lapsesAtMs === undefined || known.target.phase !== TargetPhase.Available) {
      return this.#drop(id, 'entry removed');
    }
    // Another outage is no reason to wait longer for an entry that is missing already.
    this.#known.set(id, {
      ...known,
      lapsesAtMs: Math.min(lapsesAtMs, known.lapsesAtMs ?? Infinity),
    });
    return this.#scheduleLapse();
  }

  /** A full read did not contain the zone. */
  #onZoneMissing(zone: string): readonly Effect[] {
    const lapsesAtMs = this.#outage.graceEndsAtMs();
    if (lapsesAtMs === undefined) {
      return this.#excludedZones.remove(zone);
    }
    this.#excludedZones.lapse(zone, lapsesAtMs);
    return this.#scheduleLapse();
  }

  #drop(instanceId: string, detail: string): readonly Effect[] {
    this.#goneStarts.set(instanceId, this.#known.get(instanceId)?.target.startedAtMs);
    this.#known.delete(instanceId);
    const knowledgeAgeMs = Math.round(this.#store.ageMs());
    return [log(LogLevel.Info, LogTopic.TargetRemoved, { instanceId, detail, knowledgeAgeMs })];
  }

  #scheduleLapse(): readonly Effect[] {
    const targetLapses = [...this.#known.values()].map(({ lapsesAtMs = Infinity }) => lapsesAtMs);
    const nextAtMs = Math.min(this.#excludedZones.nextLapseAtMs(), ...targetLapses);
    return nextAtMs === Infinity
      ? []
      : [setTimer(TimerKind.LapseCheck, 0, Math.max(0, nextAtMs - this.runtime.nowMs()))];
  }

  #dropLapsed(): readonly Effect[] {
    const nowMs = this.runtime.nowMs();
    const lapsed = [...this.#known].filter(([, { lapsesAtMs = Infinity }]) => lapsesAtMs <= nowMs);
    return [
      ...lapsed.flatMap(([id]) => this.#drop(id, 'entry was not published again')),
      ...this.#excludedZones.removeLapsed(nowMs),
      ...this.#scheduleLapse(),
    ];
  }
}

/**
 * Registers the service that tracks targets.
 *
 * @example
 * const services = [storeRegistration({ runtime }), targetsRegistration(options)];
 */
export const targetsRegistration = (
  options: TargetsOptions,
): Registration<ServiceName.Targets> => ({
  name: ServiceName.Targets,
  requires: [ServiceName.Store],
  create: (find) => {
    const service = TargetsService.create(options, find);
    return createInstance(
      { usable: service.usable, coldMsLeft: service.coldMsLeft },
      { handle: (event) => service.handle(event) },
    );
  },
});
