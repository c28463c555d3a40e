/* eslint-disable import-x/extensions, no-restricted-syntax, class-methods-use-this, max-classes-per-file -- a script that runs as it is */
/**
 * Stand-in of a group of model runners that execute passes together, as the users' pages describe
 * them: reports, counts, and the orders prepare, arm, disarm, retention and go.
 */
import { createServer } from 'node:http';
import { listen } from './listen.mjs';

const PASS_MS = 60;

const SETS = 2;

const EXPERTS = 16;

const PLACEMENTS = 6;

const SPARE = 2;

/** Passes after which another expert is in demand. */
const PASSES_PER_SHIFT = 30;

const ACCEPTED = 202;

const DONE = 200;

const CONFLICT = 409;

const readBody = async (request) => {
  const blocks = [];
  for await (const block of request) {
    blocks.push(block);
  }
  return Buffer.concat(blocks).toString();
};

const firstMap = (rankCount) =>
  Array.from({ length: SETS }, () =>
    Array.from({ length: rankCount }, (_, rank) =>
      Array.from({ length: EXPERTS }, (_expert, expert) => expert).filter(
        (expert) => expert % rankCount === rank,
      ),
    ),
  );

class Rank {
  mapVersion = 0;

  heldStep = 0;

  prepared;

  armed;

  highestVersion = 0;

  counts = Array.from({ length: SETS * EXPERTS }, () => 0);

  constructor({ index, map, expertCopyMs }) {
    this.index = index;
    this.map = map;
    this.expertCopyMs = expertCopyMs;
  }

  get isCopied() {
    return this.prepared !== undefined && this.prepared.readyAtMs <= performance.now();
  }

  execute(order, currentStep) {
    switch (order.operation) {
      case 'prepare':
        return this.#prepare(order.version, order.mapping);
      case 'arm':
        return this.#arm(order.version, order.step, currentStep);
      case 'disarm':
        return this.#disarm(order.version);
      case 'retention':
        return this.#hold(order.step, currentStep);
      case 'go':
        this.heldStep = this.heldStep === order.step ? 0 : this.heldStep;
        return DONE;
      default:
        return 400;
    }
  }

  beginPass(step, choose) {
    if (this.armed?.step === step) {
      this.mapVersion = this.armed.version;
      this.map = this.prepared.mapping;
      this.armed = undefined;
    }
    this.counts = this.counts.map((count, index) => count + choose(step, index % EXPERTS));
  }

  /** Version and content of the map in use. */
  get mapText() {
    return JSON.stringify([this.mapVersion, this.map]);
  }

  #prepare(version, mapping) {
    if (
      this.prepared?.version === version &&
      JSON.stringify(this.prepared.mapping) === JSON.stringify(mapping)
    ) {
      return DONE;
    }
    const added = mapping.map((set, index) =>
      set[this.index].filter((expert) => !this.map[index][this.index].includes(expert)),
    );
    const isTooMuch = added.some((experts) => experts.length > SPARE);
    if (version <= this.highestVersion || this.armed !== undefined || isTooMuch) {
      return CONFLICT;
    }
    this.highestVersion = version;
    const copyMs = added.flat().length * this.expertCopyMs;
    this.prepared = { version, mapping, readyAtMs: performance.now() + copyMs };
    return ACCEPTED;
  }

  #arm(version, step, currentStep) {
    if (this.armed?.version === version && this.armed.step === step) {
      return DONE;
    }
    if (this.prepared?.version !== version || !this.isCopied || step <= currentStep) {
      return CONFLICT;
    }
    this.armed = { version, step };
    return ACCEPTED;
  }

  #disarm(version) {
    if (this.mapVersion === version) {
      return CONFLICT;
    }
    this.armed = this.armed?.version === version ? undefined : this.armed;
    return DONE;
  }

  #hold(step, currentStep) {
    if (this.heldStep === step) {
      return DONE;
    }
    if (step <= currentStep || this.heldStep !== 0) {
      return CONFLICT;
    }
    this.heldStep = step;
    return ACCEPTED;
  }
}

export default class EngineGroup {
  step = 0;

  /** An idle group makes no passes. */
  isBusy = true;

  /** Passes that began while two ranks had different maps. */
  mixedPasses = [];

  /** Versions that came into use. */
  versionsInUse = [];

  /** Orders that arrived: when, rank, operation, version, step, status or delay. */
  orders = [];

  /** Returns the delay of an order that is carried out late and not answered, or undefined. */
  lateMsOf = () => undefined;

  onOrder = () => undefined;

  constructor({ rankCount, expertCopyMs, popularExpert }) {
    this.popularExpert = popularExpert ?? ((step) => Math.floor(step / PASSES_PER_SHIFT) % EXPERTS);
    const map = firstMap(rankCount);
    this.ranks = Array.from(
      { length: rankCount },
      (_, index) => new Rank({ index, map, expertCopyMs }),
    );
  }

  /** The fields of `inference-engine` in the configuration that the agents need. */
  static engineOf({ expertSizeMb, linkMbps }) {
    return {
      slots: 8,
      'steps-per-pass': 4,
      experts: EXPERTS,
      placements: PLACEMENTS,
      'spare-capacity': SPARE,
      'expert-sets': SETS,
      'expert-size-mb': expertSizeMb,
      'link-bandwidth-mbps': linkMbps,
      'expert-fraction': 0.85,
    };
  }

  static async create(options) {
    const group = new EngineGroup(options);
    group.servers = group.ranks.map((rank) =>
      createServer((request, response) => {
        group.#answer(rank, request, response).catch(() => response.destroy());
      }),
    );
    const ports = await Promise.all(group.servers.map((server) => listen(server)));
    group.addresses = ports.map((port) => `127.0.0.1:${port}`);
    group.timer = setInterval(() => group.#beginPass(), PASS_MS);
    return group;
  }

  close() {
    clearInterval(this.timer);
    this.servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  async #answer(rank, request, response) {
    const body = await readBody(request);
    const { pathname, searchParams } = new URL(request.url, 'http://engine');
    if (pathname === '/api/order') {
      this.#order(rank, JSON.parse(body), response);
      return;
    }
    const value =
      pathname === '/api/report'
        ? this.#report(rank)
        : this.#picked(rank, searchParams.has('list-entries'));
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify(value));
  }

  #report(rank) {
    return {
      'inference-stage': 'combined',
      busy: false,
      'queued-requests': 0,
      'active-requests': 4,
      pace: 1,
      group: { name: 'group-1', epoch: 1, rank: rank.index, state: 'open' },
      size: this.ranks.length,
      step: this.step,
      mapping: rank.mapVersion,
      preloaded: rank.isCopied ? rank.prepared.version : null,
      activated: rank.armed ?? null,
      held: rank.heldStep === 0 ? null : rank.heldStep,
    };
  }

  #picked(rank, isList) {
    return isList
      ? {
          mapping: {
            version: rank.mapVersion,
            experts: rank.map.map((set) => set[rank.index]),
          },
        }
      : { step: this.step, epoch: 1, counts: rank.counts };
  }

  #order(rank, order, response) {
    const record = {
      atMs: Math.round(performance.now()),
      rank: rank.index,
      operation: order.operation,
      ...(order.version === undefined ? {} : { version: order.version }),
      ...(order.step === undefined ? {} : { step: order.step }),
    };
    this.orders.push(record);
    const lateMs = this.lateMsOf(order);
    const execute = () => {
      record.status = order.epoch === 1 ? rank.execute(order, this.step) : CONFLICT;
      record.doneAtMs = Math.round(performance.now());
      return record.status;
    };
    if (lateMs === undefined) {
      response.writeHead(execute()).end();
    } else {
      record.lateMs = Math.round(lateMs);
      setTimeout(execute, lateMs);
    }
    this.onOrder(record);
  }

  #beginPass() {
    const next = this.step + 1;
    if (!this.isBusy || this.ranks.some(({ heldStep }) => heldStep === next)) {
      return;
    }
    this.step = next;
    const popular = this.popularExpert(next);
    this.ranks.forEach((rank) =>
      rank.beginPass(next, (_step, expert) => (expert === popular ? 900 : 60)),
    );
    const versions = this.ranks.map(({ mapVersion }) => mapVersion);
    const texts = this.ranks.map(({ mapText }) => mapText);
    if (new Set(texts).size > 1) {
      this.mixedPasses.push({ step: next, versions, maps: texts });
    }
    if (this.versionsInUse.at(-1) !== versions[0]) {
      this.versionsInUse.push(versions[0]);
    }
  }
}
