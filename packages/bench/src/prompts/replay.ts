/** @module Replays requests against a modelled group of ranks, on virtual time. */
import { StartAnnouncement, type TargetCandidate } from '@ebonysill/gateway';
import type { Random } from '@ebonysill/emulator';
import {
  measureRequest,
  usualWorkTokens,
  type EngineCosts,
  type RequestWork,
} from '@ebonysill/scheduling';
import { GatewayView, targetOfRank, type RankReport } from './gateway-view.js';
import { Knowledge, type Policy } from './policies.js';
import type { PromptRequest } from './prompt-mix.js';
import { RankGroup, type RankSpeeds } from './rank-group.js';
import ReplayOutcome from './ReplayOutcome.js';
import Sequence from './Sequence.js';

/** A pool of ranks and the gateways in front of it. */
export interface ReplayOptions {
  readonly policy: Policy;
  readonly rankCount: number;
  readonly speeds: RankSpeeds;
  readonly costs: EngineCosts;
  readonly gatewayCount: number;
  /** Time that a message between gateways takes. */
  readonly delayMs: number;
  /** Share of messages that are lost. */
  readonly lossShare: number;
  /** From when the last gateway receives messages; before, it has not started. */
  readonly lastStartsAtMs?: number;
  readonly random: Random;
}

interface Placed {
  readonly outcome: ReplayOutcome;
  readonly gateway: GatewayView;
  readonly sequence: Sequence;
  outstanding: RequestWork;
}

interface Message {
  readonly arrivesAtMs: number;
  readonly from: number;
  /** One changed load, or all. */
  readonly reports: readonly RankReport[];
  readonly isWhole: boolean;
}

/** As in the gateway's services. */
const BROADCAST_INTERVAL_MS = 250;

const MAX_REJECTIONS = 2;

class Replay {
  readonly #group: RankGroup;

  readonly #views: readonly GatewayView[];

  readonly #targets;

  readonly #usualTokens: number;

  readonly #placed = new Map<number, Placed>();

  #messages: Message[] = [];

  #nowMs = 0;

  /** The gateways broadcast in turn, since they started at different times. */
  #broadcastCount = 0;

  readonly #broadcastSpacingMs: number;

  private constructor(private readonly options: ReplayOptions) {
    const { rankCount, speeds, gatewayCount, costs } = options;
    this.#group = RankGroup.create(rankCount, speeds);
    this.#views = Array.from({ length: gatewayCount }, () => GatewayView.create(() => this.#nowMs));
    this.#targets = Array.from({ length: rankCount }, (_, rank) =>
      targetOfRank(rank, speeds.slots),
    );
    this.#usualTokens = usualWorkTokens(costs);
    this.#broadcastSpacingMs = BROADCAST_INTERVAL_MS / gatewayCount;
  }

  static create(options: ReplayOptions): Replay {
    return new Replay(options);
  }

  run(requests: readonly PromptRequest[]): readonly ReplayOutcome[] {
    const outcomes = requests.map((request) => ReplayOutcome.create(request));
    let next = 0;
    while (next < outcomes.length || this.#placed.size > 0) {
      const passEndsAtMs = this.#nowMs + this.#group.runPass();
      let outcome = outcomes[next];
      while (outcome !== undefined && outcome.request.atMs <= passEndsAtMs) {
        this.#advance(Math.max(this.#nowMs, outcome.request.atMs));
        this.#place(outcome);
        next += 1;
        outcome = outcomes[next];
      }
      this.#advance(passEndsAtMs);
      const { begun, progressed, ended } = this.#group.endPass();
      [...begun, ...progressed].forEach(({ id }) => this.#recordEvent(id));
      ended.forEach(({ id }) => this.#recordEnd(id));
    }
    return outcomes;
  }

  /** Advances the clock; messages that are due arrive. */
  #advance(toMs: number): void {
    while (this.#broadcastCount * this.#broadcastSpacingMs <= toMs) {
      const index = this.#broadcastCount % this.#views.length;
      this.#deliver(this.#broadcastCount * this.#broadcastSpacingMs);
      this.#send(index, this.#views[index]?.reportAll() ?? [], true);
      this.#broadcastCount += 1;
    }
    this.#deliver(toMs);
  }

  #deliver(toMs: number): void {
    const due = this.#messages.findIndex(({ arrivesAtMs }) => arrivesAtMs > toMs);
    const arrived = this.#messages.splice(0, due < 0 ? this.#messages.length : due);
    arrived.forEach((message) => {
      this.#nowMs = Math.max(this.#nowMs, message.arrivesAtMs);
      this.#views.forEach((view, index) => this.#receive(view, index, message));
    });
    this.#nowMs = Math.max(this.#nowMs, toMs);
  }

  #receive(view: GatewayView, index: number, { from, reports, isWhole }: Message): void {
    const { random, lossShare, lastStartsAtMs = 0 } = this.options;
    const isDown = index === this.#views.length - 1 && this.#nowMs < lastStartsAtMs;
    if (index === from || isDown || random() < lossShare) {
      return;
    }
    const address = String(from);
    if (isWhole) {
      view.receiveAll(address, reports);
    } else {
      reports.forEach((report) => view.receiveChange(address, report));
    }
  }

  #send(from: number, reports: readonly RankReport[], isWhole: boolean): void {
    const arrivesAtMs = this.#nowMs + this.options.delayMs;
    this.#messages.push({ arrivesAtMs, from, reports, isWhole });
  }

  #place(outcome: ReplayOutcome): void {
    const { policy, costs, random, gatewayCount } = this.options;
    const { request } = outcome;
    const view = this.#views[request.gateway];
    if (view === undefined) {
      throw new RangeError(`no gateway ${request.gateway}`);
    }
    const work = measureRequest(request.announced, costs);
    const triedIds = new Set<string>();
    while (triedIds.size < MAX_REJECTIONS) {
      const chosen = policy.choose({
        candidates: this.#candidates(view).filter(({ target }) => !triedIds.has(target.instanceId)),
        work,
        usualTokens: this.#usualTokens,
        otherGatewayCount: gatewayCount - 1,
        random,
      });
      if (chosen === undefined || this.#submit(outcome, view, chosen, work)) {
        return;
      }
      const { instanceId } = chosen.target;
      triedIds.add(instanceId);
      view.recordFull(instanceId);
      outcome.recordRejection();
    }
  }

  #submit(
    outcome: ReplayOutcome,
    view: GatewayView,
    { target: { instanceId } }: TargetCandidate,
    work: RequestWork,
  ): boolean {
    const { id, size, gateway } = outcome.request;
    const sequence = Sequence.create(id, Number(instanceId), size);
    if (!this.#group.submit(sequence)) {
      return false;
    }
    this.#placed.set(id, {
      outcome,
      gateway: view,
      sequence,
      outstanding: work,
    });
    const started = view.recordStart(instanceId, work);
    const ended =
      this.options.policy.startAnnouncement === StartAnnouncement.Target ? [] : view.takeChanges();
    this.#send(gateway, [...ended, started], false);
    return true;
  }

  #candidates(view: GatewayView): readonly TargetCandidate[] {
    return this.#targets.map((target, rank) => {
      const known = view.candidateOf(target, this.#usualTokens);
      return this.options.policy.knowledge === Knowledge.Perfect
        ? {
            ...known,
            runningCount: this.#group.countAt(rank),
            workTokens: this.#group.unreadTokensAt(rank),
          }
        : known;
    });
  }

  #recordEvent(id: number): void {
    const placed = this.#placed.get(id);
    if (placed === undefined) {
      return;
    }
    const { outcome, gateway, sequence, outstanding } = placed;
    if (outcome.firstEventMs === undefined) {
      gateway.recordPromptRead(String(sequence.rank), outstanding);
      placed.outstanding = { ...outstanding, readTokens: 0, isLong: false };
    }
    outcome.recordEvent(this.#nowMs);
  }

  #recordEnd(id: number): void {
    const placed = this.#placed.get(id);
    if (placed !== undefined) {
      placed.gateway.recordEnd(String(placed.sequence.rank), placed.outstanding);
      this.#placed.delete(id);
    }
  }
}

/**
 * Places requests by a policy and runs them to their end.
 *
 * @example
 * replay(requests, { ...CAPTIONS, policy: BY_WORK, random: createRandom(1) });
 */
export const replay = (
  requests: readonly PromptRequest[],
  options: ReplayOptions,
): readonly ReplayOutcome[] => Replay.create(options).run(requests);
