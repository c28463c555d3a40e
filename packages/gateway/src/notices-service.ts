/** @module Keeps what targets say of themselves in the heads of their answers. */
import { createInstance } from '@ebonysill/kernel';
import { log } from './build-effects.js';
import { ServiceName, type Registration } from './directory.js';
import { LogLevel, LogTopic, type Effect } from './effect.js';
import type { TargetHead } from './exchange-data.js';
import type { PublishedTarget } from './published.js';
import RecentMap from './RecentMap.js';
import type { Runtime } from './runtime.js';

/** Maximum number of targets that are remembered. */
const MAX_TARGETS = 1_024;

/** Options of the service; it uses the clock of `runtime`. */
export interface NoticesOptions {
  readonly runtime: Runtime;
}

/** What a target said last of its limit. */
interface StatedLimit {
  readonly maxRequestsPerSecond?: number;
  readonly sinceMs: number;
}

class NoticesService {
  /** By instance identifier; targets that never named a limit are missing. */
  readonly #limits = RecentMap.create<StatedLimit>(MAX_TARGETS);

  /** Instance identifiers of targets with a field that could not be decoded. */
  readonly #invalidIds = RecentMap.create<true>(MAX_TARGETS);

  private constructor(private readonly runtime: Runtime) {}

  static create(runtime: Runtime): NoticesService {
    return new NoticesService(runtime);
  }

  readonly recordHead = (target: PublishedTarget, { notice }: TargetHead): readonly Effect[] => [
    ...this.#logInvalid(target, notice.invalidFields),
    ...this.#recordLimit(target, notice.maxRequestsPerSecond),
  ];

  /** Writes one line for each target, since its further answers will have the same values. */
  #logInvalid(
    { instanceId, service }: PublishedTarget,
    fields: readonly string[],
  ): readonly Effect[] {
    if (fields.length === 0 || this.#invalidIds.get(instanceId) === true) {
      return [];
    }
    this.#invalidIds.set(instanceId, true);
    const detail = fields.join(',');
    return [log(LogLevel.Warn, LogTopic.NoticeInvalid, { instanceId, service, detail })];
  }

  #recordLimit(
    { instanceId, service }: PublishedTarget,
    maxRequestsPerSecond: number | undefined,
  ): readonly Effect[] {
    const before = this.#limits.get(instanceId);
    if (before?.maxRequestsPerSecond === maxRequestsPerSecond) {
      return [];
    }
    const nowMs = this.runtime.nowMs();
    const limit = maxRequestsPerSecond === undefined ? {} : { maxRequestsPerSecond };
    this.#limits.set(instanceId, { ...limit, sinceMs: nowMs });
    return [
      log(LogLevel.Info, LogTopic.TargetLimited, {
        instanceId,
        service,
        ...limit,
        ...(before === undefined ? {} : { durationMs: Math.round(nowMs - before.sinceMs) }),
      }),
    ];
  }
}

/**
 * Registers the service that keeps what targets say of themselves.
 *
 * @example
 * const services = [noticesRegistration({ runtime }), exchangesRegistration(options)];
 */
export const noticesRegistration = ({
  runtime,
}: NoticesOptions): Registration<ServiceName.Notices> => ({
  name: ServiceName.Notices,
  requires: [],
  create: () => createInstance({ recordHead: NoticesService.create(runtime).recordHead }, {}),
});
