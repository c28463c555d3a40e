/** @module Runs the requests of a scenario through gateways with the decisions of one policy. */
import { VirtualTime, createRandom } from '@ebonysill/emulator';
import {
  EventKind,
  PeerMessageKind,
  type Effect,
  type GroupTargetsMessage,
  type StoreItem,
} from '@ebonysill/gateway';
import { Callers, type RequestRecord } from './Callers.js';
import { PLAIN, PLAIN_COUNT, configurationItemOf, targetItemsOf } from './deployment.js';
import { EngineGroup } from './EngineGroup.js';
import type { Policy } from './policies.js';
import SimulatedGateway, {
  HOP_MS,
  type GatewayWorld,
  type RankAddress,
} from './SimulatedGateway.js';
import { Incident, TRAFFIC_UNTIL_MS, type PlannedRequest, type Scenario } from './traffic.js';

/** Requests of one run, and the number of refused ones that ran against the promise. */
export interface RunResult {
  readonly records: readonly RequestRecord[];
  readonly brokenRefusalCount: number;
}

/** What to run. */
export interface RunOptions {
  readonly scenario: Scenario;
  readonly requests: readonly PlannedRequest[];
  readonly policy: Policy;
  readonly seed: number;
}

const GROUP_REPORT_MS = 2_000;

const RESTART_MS = 400;

/** Every caller has an answer, or has left, by then. */
const END_MS = TRAFFIC_UNTIL_MS + 8_500;

const LOAD_MESSAGES: readonly PeerMessageKind[] = [
  PeerMessageKind.Load,
  PeerMessageKind.LoadChange,
];

/** Gateways that lose the store. */
const CUT_OFF_COUNT = 2;

/**
 * Runs a scenario on virtual time; the same options always give the same result.
 *
 * @example
 * runScenario({ scenario, requests, policy, seed: 1 }).records.length;
 */
export const runScenario = ({ scenario, requests, policy, seed }: RunOptions): RunResult => {
  const { deployment, incident, incidentAtMs, peerDelayMs, lossShare } = scenario;
  const time = VirtualTime.create();
  const random = createRandom(seed);
  const hasHappened = (other: Incident): boolean =>
    incident === other && time.nowMs >= incidentAtMs;
  const storeRevision = (): number => (hasHappened(Incident.HalfPoolReturns) ? 2 : 1);
  const items: { readonly item: StoreItem; readonly revision: number }[] = [
    { item: configurationItemOf(deployment), revision: 1 },
  ];
  const ranks = new Map<string, RankAddress>();
  const publish = (service: string, groupName: string): GroupTargetsMessage => {
    const profile = service === 'plain' ? PLAIN : deployment.group;
    const group = EngineGroup.create(time, profile);
    const addresses = targetItemsOf(service, groupName, profile).map((item, index) => {
      const isHeldBack = incident === Incident.HalfPoolReturns && index % 2 === 1;
      items.push({ item, revision: isHeldBack ? 2 : 1 });
      ranks.set(`${groupName}/${index}`, { group, index });
      return `${groupName}/${index}`;
    });
    return { kind: PeerMessageKind.GroupTargets, groupName, addresses };
  };
  Array.from({ length: PLAIN_COUNT }, (_, index) => publish('plain', `plain-${index}`));
  const groups = Array.from({ length: deployment.groupCount }, (_, index) =>
    publish('model', `group-${index}`),
  );

  const gateways: SimulatedGateway[] = [];
  const callers = Callers.create(time, random, gateways);
  const addresses = Array.from(
    { length: deployment.gatewayCount },
    (_, index) => `gateway-${index}`,
  );
  addresses.forEach((address, index) => {
    const world = {
      ...{ time, random, storeRevision },
      rankAt: (name: string) => ranks.get(name),
      itemsAfter: (after: number): readonly StoreItem[] | undefined =>
        index < CUT_OFF_COUNT && hasHappened(Incident.StoreLost)
          ? undefined
          : items.flatMap(({ item, revision }) =>
              revision > after && revision <= storeRevision() ? [item] : [],
            ),
      onRun: (body: Uint8Array) => callers.recordRun(body),
      answerCaller: (effect: Effect) => {
        time.schedule(HOP_MS, () => callers.onAnswer(effect));
      },
      sendToPeer: ({ address: to, message }: Parameters<GatewayWorld['sendToPeer']>[0]) => {
        const isLoad = LOAD_MESSAGES.includes(message.kind);
        if (random() >= lossShare && (policy.sharesLoads || !isLoad)) {
          const event = { kind: EventKind.PeerMessageReceived, address, message } as const;
          time.schedule(peerDelayMs(), () => gateways[addresses.indexOf(to)]?.post(event));
        }
      },
    };
    gateways.push(
      SimulatedGateway.create({ index, addresses, decisions: policy.decisions, world }),
    );
  });

  const reportGroups = (): void => {
    gateways.forEach((gateway) =>
      groups.forEach((message) =>
        gateway.post({ kind: EventKind.PeerMessageReceived, address: 'driver', message }),
      ),
    );
    time.schedule(GROUP_REPORT_MS, reportGroups);
  };
  reportGroups();
  if (incident === Incident.AllRestart) {
    time.schedule(incidentAtMs, () =>
      gateways.forEach((gateway, index) => {
        gateway.stop();
        callers.disconnect(index);
        time.schedule(RESTART_MS, () => gateway.start());
      }),
    );
  }
  callers.schedule(requests);
  time.runUntil(END_MS);
  return { records: callers.records, brokenRefusalCount: callers.brokenRefusalCount };
};
