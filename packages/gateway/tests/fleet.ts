/** @module Several gateways on one virtual clock, whose messages reach each other after a delay. */
import {
  EffectKind,
  EventKind,
  PeerRole,
  StoreReadKind,
  type Effect,
  type GatewayOptions,
  type PeerMessage,
  type SendToPeerEffect,
  type StartCallEffect,
  type StoreItem,
} from '../src/index.js';
import { Harness } from './harness.js';

/** Length of a step; messages that are sent in one step arrive in the next. */
export const STEP_MS = 10;

/** A call that a gateway started. */
export interface FleetCall {
  readonly gateway: Harness;
  readonly callId: number;
  readonly instanceId: string;
  /** Body of the request, as text. */
  readonly body: string;
  readonly atMs: number;
}

interface Gateway {
  readonly address: string;
  readonly harness: Harness;
  /** Effects up to here were carried out. */
  doneCount: number;
}

/** Options of one of the gateways at these addresses, each of which has the others as seeds. */
const memberOptions = (
  addresses: readonly string[],
  index: number,
): Pick<GatewayOptions, 'self' | 'seeds'> => {
  const address = addresses[index] ?? '';
  const name = `gateway-${index + 1}`;
  return {
    self: { name, role: PeerRole.Gateway, address, availabilityZone: 'zone-a' },
    seeds: addresses.filter((other) => other !== address),
  };
};

interface SentMessage {
  readonly from: string;
  readonly effect: SendToPeerEffect;
}

/** Whether a message is lost on its way between two addresses. */
export type IsLost = (from: string, to: string, message: PeerMessage) => boolean;

/** Gateways that know each other. */
export class Fleet {
  readonly calls: FleetCall[] = [];

  readonly #gateways: readonly Gateway[];

  readonly #withoutStore = new Set<Harness>();

  #inFlight: readonly SentMessage[] = [];

  private constructor(
    gateways: readonly Gateway[],
    private readonly isLost: IsLost,
  ) {
    this.#gateways = gateways;
  }

  /**
   * Creates gateways whose store held these items; by default no message is lost.
   *
   * @example
   * const fleet = Fleet.create(10, [targetItem(targetOf('t-1'))]);
   */
  static create(
    count: number,
    items: readonly StoreItem[],
    isLost: IsLost = () => false,
    options: Partial<GatewayOptions> = {},
  ): Fleet {
    const addresses = Array.from({ length: count }, (_, index) => `10.0.0.${index + 1}:7000`);
    const fleet = new Fleet(
      addresses.map((address, index) => ({
        address,
        harness: Harness.create(items, { ...memberOptions(addresses, index), ...options }),
        doneCount: 0,
      })),
      isLost,
    );
    fleet.run(1_000);
    return fleet;
  }

  /** Ends a gateway and starts another one in its place, which reads these items. */
  restart(index: number, items: readonly StoreItem[]): Harness {
    const addresses = this.#gateways.map(({ address }) => address);
    const harness = Harness.start(memberOptions(addresses, index), this.nowMs);
    Object.assign(this.#gateways[index] ?? {}, { harness, doneCount: 0 });
    harness.read(StoreReadKind.Page, items);
    return harness;
  }

  get harnesses(): readonly Harness[] {
    return this.#gateways.map(({ harness }) => harness);
  }

  get nowMs(): number {
    return this.harnesses[0]?.nowMs ?? 0;
  }

  /** From now on the store does not answer the gateway with this index. */
  loseStore(index: number): void {
    const harness = this.harnesses[index];
    if (harness !== undefined) {
      this.#withoutStore.add(harness);
    }
  }

  /** Advances the clock step by step; `onStep` runs before the messages of a step arrive. */
  run(spanMs: number, onStep: () => void = () => undefined): void {
    Array.from({ length: spanMs / STEP_MS }).forEach(() => {
      onStep();
      const arriving = this.#inFlight;
      this.#inFlight = [];
      arriving.forEach((message) => this.#deliver(message));
      this.#gateways.forEach((gateway) => {
        gateway.harness.advance(STEP_MS, !this.#withoutStore.has(gateway.harness));
        this.#carryOut(gateway);
      });
    });
  }

  #deliver({ from, effect: { address, message } }: SentMessage): void {
    const receiver = this.#gateways.find((gateway) => gateway.address === address);
    if (receiver !== undefined && !this.isLost(from, address, message)) {
      receiver.harness.post({ kind: EventKind.PeerMessageReceived, address: from, message });
    }
  }

  #carryOut(gateway: Gateway): void {
    const { harness, doneCount, address } = gateway;
    const effects: readonly Effect[] = harness.effects.slice(doneCount);
    Object.assign(gateway, { doneCount: harness.effects.length });
    const sent = effects.filter((effect) => effect.kind === EffectKind.SendToPeer);
    this.#inFlight = [...this.#inFlight, ...sent.map((effect) => ({ from: address, effect }))];
    effects
      .filter((effect): effect is StartCallEffect => effect.kind === EffectKind.StartCall)
      .forEach(({ callId, call: { instanceId, body } }) =>
        this.calls.push({
          gateway: harness,
          callId,
          instanceId,
          body: Buffer.from(body).toString(),
          atMs: harness.nowMs,
        }),
      );
  }
}
