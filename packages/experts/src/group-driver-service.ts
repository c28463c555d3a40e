/**
 * @module Drives changes of a group's expert map, and recovers those that another driver left open.
 *
 * Every rank's sidecar has a driver. The one beside the first rank proposes changes; any driver may
 * recover an open change while its own gate is held. Fencing numbers order their attempts: a gate
 * follows only the highest one that it has answered. A driver decides only after every gate of the
 * group has answered its query. That does not reduce availability, because a group without one of
 * its ranks cannot step anyway.
 */
import {
  EventKind,
  LogLevel,
  LogTopic,
  MessageKind,
  ServiceName,
  TimerKind,
  type Effect,
  type Event,
  type ExpertMap,
  type FindService,
  type LinkMessageEvent,
  type MapChange,
  type Message,
  type Registration,
  type Runtime,
} from '@ebonysill/core';
import { clearTimer, log, send, setTimer } from '@ebonysill/fleet';
import { createInstance } from '@ebonysill/kernel';
import { addCounts, type ExpertCounts } from './map-load.js';
import { AttemptPhase, ChangeAttempt, findDecided } from './change-attempt.js';

/** Proposes a map for the token counts; undefined to keep the current one. */
export type Propose = (counts: ExpertCounts, current: ExpertMap) => ExpertMap | undefined;

/** Whether enough ranks have answered to complete a phase. */
export type QuorumRule = (answeredCount: number, rankCount: number) => boolean;

/** Requires an answer from every rank. */
export const everyRank: QuorumRule = (answeredCount, rankCount) => answeredCount === rankCount;

/** Options of the driver. */
export interface GroupDriverOptions {
  readonly runtime: Runtime;
  readonly rankId: string;
  readonly propose: Propose;
  readonly hasQuorum: QuorumRule;
}

/** Interval at which a driver checks whether to start an attempt or repeat a decision. */
const EVALUATION_INTERVAL_MS = 400;

/** Time after which a query is abandoned, a preparation is cancelled, or a decision is repeated. */
const PHASE_TIMEOUT_MS = 1_500;

/** Steps between the latest step of any rank and that of a change; gives time to load weights. */
const LEAD_STEPS = 40;

/** Probability of a recovery attempt per evaluation; keeps drivers from overtaking each other. */
const RECOVERY_PROBABILITY = 0.4;

const TIMER_KEY = 'group';

const EVALUATION_TIMER = setTimer(TimerKind.MapRecovery, TIMER_KEY, EVALUATION_INTERVAL_MS);

const PHASE_TIMER = setTimer(TimerKind.MapChange, TIMER_KEY, PHASE_TIMEOUT_MS);

/** Driver beside one rank of a group. */
class GroupDriverService {
  #attempt: ChangeAttempt | undefined;

  #highestFence = 0;

  #counts: ExpertCounts | undefined;

  readonly #retainedLinkIds = new Set<string>();

  readonly #configuration;

  readonly #links;

  readonly #gate;

  private constructor(
    private readonly options: GroupDriverOptions,
    find: FindService,
  ) {
    this.#configuration = find(ServiceName.Configuration);
    this.#links = find(ServiceName.Links);
    this.#gate = find(ServiceName.RankGate);
  }

  static create(options: GroupDriverOptions, find: FindService): GroupDriverService {
    return new GroupDriverService(options, find);
  }

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.Timer:
        return this.#onTimer(event.timer);
      case EventKind.LinkMessage:
        return this.#onLinkMessage(event);
      default:
        return [];
    }
  }

  #onTimer(timer: TimerKind): readonly Effect[] {
    switch (timer) {
      case TimerKind.MapRecovery:
        return [...this.#evaluate(), EVALUATION_TIMER];
      case TimerKind.MapChange:
        return this.#onPhaseTimeout();
      default:
        return [];
    }
  }

  /** Connects to the ranks, repeats an unanswered decision, or starts an attempt if one is due. */
  #evaluate(): readonly Effect[] {
    const connects = this.#rankIds()
      .filter((rankId) => rankId !== this.options.rankId)
      .flatMap((rankId) => this.#links.ensure(rankId));
    if (this.#attempt !== undefined) {
      return [...connects, ...this.#repeatDecision(this.#attempt)];
    }
    if (this.#gate.isHeld()) {
      const shouldRecover = this.options.runtime.random() < RECOVERY_PROBABILITY;
      return shouldRecover ? [...connects, ...this.#begin(undefined)] : connects;
    }
    return [...connects, ...this.#sendCounts(), ...this.#propose()];
  }

  /** Sends this rank's counts to the first rank. */
  #sendCounts(): readonly Effect[] {
    const [firstId] = this.#rankIds();
    const counts = this.#gate.takeCounts();
    if (counts === undefined || firstId === undefined) {
      return [];
    }
    if (firstId === this.options.rankId) {
      this.#counts = addCounts(this.#counts, counts);
      return [];
    }
    const peer = this.#links.peer(firstId);
    return peer === undefined
      ? []
      : [send(peer.linkId, { kind: MessageKind.ExpertCounts, counts })];
  }

  #propose(): readonly Effect[] {
    const current = this.#gate.current();
    if (this.#counts === undefined || current === undefined) {
      return [];
    }
    const proposal = this.options.propose(this.#counts, current);
    this.#counts = undefined;
    return proposal === undefined ? [] : this.#begin(proposal);
  }

  #begin(proposal: ExpertMap | undefined): readonly Effect[] {
    const rankIds = this.#rankIds();
    const index = rankIds.indexOf(this.options.rankId);
    if (index < 0) {
      return [];
    }
    const highest = Math.max(this.#highestFence, this.#gate.promisedFence());
    const fence = (Math.floor(highest / rankIds.length) + 1) * rankIds.length + index;
    this.#highestFence = fence;
    const attempt = ChangeAttempt.create(fence, proposal);
    this.#attempt = attempt;
    return [
      log(LogLevel.Info, LogTopic.MapChangeStarted, { detail: `fence ${fence}` }),
      PHASE_TIMER,
      ...this.#sendAll(attempt, { kind: MessageKind.MapQuery, fence }),
    ];
  }

  /** Sends to every rank that has not answered in this phase; calls this rank's gate directly. */
  #sendAll(attempt: ChangeAttempt, message: Message): readonly Effect[] {
    return this.#rankIds()
      .filter((rankId) => !attempt.hasAnswered(rankId))
      .flatMap((rankId) => this.#sendToRank(rankId, message));
  }

  #sendToRank(rankId: string, message: Message): readonly Effect[] {
    if (rankId === this.options.rankId) {
      return this.#gate.receive(message, (answer) => this.#onAnswer(rankId, answer));
    }
    const peer = this.#links.peer(rankId);
    if (peer === undefined) {
      return [];
    }
    return [send(peer.linkId, message), ...this.#retainLink(peer.linkId)];
  }

  /** Retains a link until the attempt ends, so that its loss is noticed soon. */
  #retainLink(linkId: string): readonly Effect[] {
    if (this.#retainedLinkIds.has(linkId)) {
      return [];
    }
    this.#retainedLinkIds.add(linkId);
    return this.#links.retain(linkId);
  }

  #onLinkMessage({ linkId, message }: LinkMessageEvent): readonly Effect[] {
    if (message.kind === MessageKind.ExpertCounts) {
      this.#counts = addCounts(this.#counts, message.counts);
      return [];
    }
    const rankId = this.#links.peerOfLink(linkId)?.processId;
    return rankId === undefined ? [] : this.#onAnswer(rankId, message);
  }

  #onAnswer(rankId: string, message: Message): readonly Effect[] {
    const attempt = this.#attempt;
    if (attempt === undefined || !('fence' in message) || message.fence !== attempt.fence) {
      return [];
    }
    switch (message.kind) {
      case MessageKind.MapState:
        if (attempt.phase === AttemptPhase.Querying) {
          attempt.recordState(rankId, message.gate);
        }
        return this.#advance(attempt);
      case MessageKind.MapPrepared:
        return this.#recordAnswer(attempt, rankId, AttemptPhase.Preparing);
      case MessageKind.MapDecided:
        return this.#recordAnswer(attempt, rankId, AttemptPhase.Deciding);
      case MessageKind.MapRefused:
        this.#highestFence = Math.max(this.#highestFence, message.promisedFence);
        return this.#onRefused(attempt, message.promisedFence);
      default:
        return [];
    }
  }

  #recordAnswer(attempt: ChangeAttempt, rankId: string, phase: AttemptPhase): readonly Effect[] {
    if (attempt.phase !== phase) {
      return [];
    }
    attempt.recordAnswer(rankId);
    return this.#advance(attempt);
  }

  #advance(attempt: ChangeAttempt): readonly Effect[] {
    if (!this.options.hasQuorum(attempt.answeredCount, this.#rankIds().length)) {
      return [];
    }
    switch (attempt.phase) {
      case AttemptPhase.Querying:
        return this.#onAllStates(attempt);
      case AttemptPhase.Preparing:
        return this.#decide(attempt, attempt.change);
      case AttemptPhase.Deciding:
        return this.#endAttempt();
      default:
        return attempt.phase satisfies never;
    }
  }

  /**
   * Repeats the decision of another driver if there is one; otherwise prepares the proposal, or
   * decides to change nothing if there is none. The fencing number becomes the map's id, so that no
   * two proposals share an id.
   */
  #onAllStates(attempt: ChangeAttempt): readonly Effect[] {
    const decided = findDecided(attempt.gates);
    if (decided !== undefined || attempt.proposal === undefined) {
      return this.#decide(attempt, decided);
    }
    const lastStep = Math.max(...attempt.gates.map((gate) => gate.lastStep));
    const map = { ...attempt.proposal, mapId: attempt.fence };
    const change = { map, atStep: lastStep + LEAD_STEPS };
    attempt.enter(AttemptPhase.Preparing, change);
    const { fence } = attempt;
    return [
      PHASE_TIMER,
      ...this.#sendAll(attempt, { kind: MessageKind.MapPrepare, fence, change }),
    ];
  }

  #decide(attempt: ChangeAttempt, change: MapChange | undefined): readonly Effect[] {
    attempt.enter(AttemptPhase.Deciding, change);
    return [PHASE_TIMER, ...this.#repeatDecision(attempt)];
  }

  #repeatDecision(attempt: ChangeAttempt): readonly Effect[] {
    if (attempt.phase !== AttemptPhase.Deciding) {
      return [];
    }
    const { fence, change } = attempt;
    return this.#sendAll(attempt, {
      kind: MessageKind.MapDecide,
      fence,
      ...(change === undefined ? {} : { change }),
    });
  }

  /**
   * Ends the attempt if the gate has promised a higher fencing number or refuses the query. A gate
   * that refuses to prepare under this number has restarted, or its rank has begun the step of the
   * change; the decision is then to change nothing.
   */
  #onRefused(attempt: ChangeAttempt, promisedFence: number): readonly Effect[] {
    if (promisedFence > attempt.fence || attempt.phase === AttemptPhase.Querying) {
      return this.#endAttempt();
    }
    return attempt.phase === AttemptPhase.Preparing ? this.#decide(attempt, undefined) : [];
  }

  #onPhaseTimeout(): readonly Effect[] {
    const attempt = this.#attempt;
    switch (attempt?.phase) {
      case AttemptPhase.Querying:
        return this.#endAttempt();
      case AttemptPhase.Preparing:
        return this.#decide(attempt, undefined);
      case AttemptPhase.Deciding:
        return [PHASE_TIMER, ...this.#repeatDecision(attempt)];
      default:
        return [];
    }
  }

  #endAttempt(): readonly Effect[] {
    this.#attempt = undefined;
    this.#retainedLinkIds.forEach((linkId) => this.#links.release(linkId));
    this.#retainedLinkIds.clear();
    return [
      clearTimer(TimerKind.MapChange, TIMER_KEY),
      log(LogLevel.Info, LogTopic.MapChangeEnded, {}),
    ];
  }

  #rankIds(): readonly string[] {
    const group = this.#configuration.groupOf(this.options.rankId);
    return group?.ranks.map(({ rankId }) => rankId) ?? [];
  }
}

/**
 * Registers the driver beside a rank.
 *
 * @example
 * groupDriverRegistration({ runtime, rankId: 'group-1-rank-0', propose, hasQuorum: everyRank });
 */
export const groupDriverRegistration = (
  options: GroupDriverOptions,
): Registration<ServiceName.GroupDriver> => ({
  name: ServiceName.GroupDriver,
  requires: [ServiceName.Configuration, ServiceName.Links, ServiceName.RankGate],
  create: (find) => {
    const service = GroupDriverService.create(options, find);
    return createInstance(
      {},
      { start: () => [EVALUATION_TIMER], handle: (event) => service.handle(event) },
    );
  },
});
