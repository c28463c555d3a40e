/** @module Names and APIs of the services. */
import type { Find, NamedRegistration, ServiceRegistration } from '@ebonysill/kernel';
import type { Effect } from './effect.js';
import type { Event } from './event.js';
import type { Resolution } from './exchange.js';
import type { CallerRequest } from './exchange-data.js';
import type { Member, PeerRole } from './peer-message.js';
import type { Order, OrderOutcome, RankIncrease, RankReport } from './rank-data.js';
import type {
  CallerLimits,
  Organisation,
  PublishedService,
  PublishedTarget,
  Route,
} from './published.js';

/** Names by which services find each other. */
export enum ServiceName {
  Store = 'store',
  Catalogue = 'catalogue',
  Targets = 'targets',
  Members = 'members',
  Loads = 'loads',
  Groups = 'groups',
  Suspects = 'suspects',
  Admission = 'admission',
  RetryBudget = 'retry-budget',
  ColdStarts = 'cold-starts',
  Routing = 'routing',
  Exchanges = 'exchanges',
  Lifecycle = 'lifecycle',
  EngineLimits = 'engine-advice',
  RankMonitor = 'rank-monitor',
  GroupDriver = 'group-driver',
}

/** How far this process's copy of the store can be trusted. */
export interface StoreApi {
  /** Whether everything was read at least once. */
  readonly isLoaded: () => boolean;
  /** Time since the store last vouched for the copy; infinite before the first read. */
  readonly ageMs: () => number;
}

/** The operators' configuration in force. */
export interface CatalogueApi {
  /** 0 before the first configuration. */
  readonly version: () => number;
  /** Route with the longest prefix that begins the path. */
  readonly routeOf: (host: string, path: string) => Route | undefined;
  /** Organisation that holds a credential. */
  readonly organisationOf: (credential: string) => Organisation | undefined;
  /** Whether callers need credentials at all. */
  readonly needsCredentials: () => boolean;
  readonly serviceOf: (name: string) => PublishedService | undefined;
  readonly limits: () => CallerLimits | undefined;
}

/** The targets that may be used. */
export interface TargetsApi {
  /** Targets of a service that take new work, outside zones taken out. */
  readonly usable: (service: string) => readonly PublishedTarget[];
  /** Time for which a target stays cold; 0 when it is warm. */
  readonly coldMsLeft: (instanceId: string) => number;
}

/** Other processes of the system. */
export interface MembersApi {
  readonly self: () => Member;
  /** Makes the group of the engine beside this process known. */
  readonly joinGroup: (groupName: string) => void;
  /** Members of a role that were heard lately, this process not among them. */
  readonly others: (role: PeerRole) => readonly Member[];
}

/** Requests in progress by target, over all gateways. */
export interface LoadsApi {
  /** Counts a request that is sent now, and tells the other gateways. */
  readonly recordStart: (instanceId: string) => readonly Effect[];
  readonly recordEnd: (instanceId: string) => void;
  /** Requests at a target, as far as known. */
  readonly countAt: (instanceId: string) => number;
  /** Requests of this gateway at a target. */
  readonly ownCountAt: (instanceId: string) => number;
}

/** Which targets execute their passes together. */
export interface GroupsApi {
  /**
   * Name of the targets whose passes go together with a target's: its group, or its service while
   * the group is unknown.
   */
  readonly poolOf: (target: PublishedTarget) => string;
}

/** Whether a request may start, and if not, when to come back. */
export enum AdmissionVerdict {
  Admitted = 'admitted',
  Refused = 'refused',
}

/** Judgement on one request. */
export interface AdmissionResult {
  readonly verdict: AdmissionVerdict;
  readonly retryAfterMs: number;
  readonly runningCount: number;
  /** Pass time that the judgement was made on; 0 when unknown. */
  readonly passMs: number;
}

/** Limits what runs at once. */
export interface AdmissionApi {
  /** Judges one more stream in a pool. */
  readonly evaluate: (route: Route, pool: string) => AdmissionResult;
  readonly recordStart: (pool: string, isStream: boolean) => void;
  readonly recordEnd: (pool: string, isStream: boolean) => void;
  /** Notes the pause before an event of a running stream. */
  readonly recordPause: (pool: string, pauseMs: number) => void;
}

/** Where requests go. */
export interface RoutingApi {
  /** Judgement that refuses a request: no pool of its service takes one more. */
  readonly refusalOf: (resolution: Resolution) => AdmissionResult | undefined;
  /** The target for a request, none of those that were tried; undefined when there is none. */
  readonly choose: (
    resolution: Resolution,
    triedIds: ReadonlySet<string>,
  ) => PublishedTarget | undefined;
  /** Leaves a target out for a while, unless there is no other. */
  readonly avoid: (instanceId: string) => void;
  /** Name of the targets whose passes go together with a target's. */
  readonly poolOf: (target: PublishedTarget) => string;
}

/** Requests after which targets crashed. */
export interface SuspectsApi {
  /** Notes that a target closed the connection of a request without an answer. */
  readonly recordInterrupted: (request: CallerRequest, instanceId: string) => void;
  /** Notes that a target takes no connections, so that what it cut it cut by a crash. */
  readonly recordUnreachable: (instanceId: string) => readonly Effect[];
  /** Whether targets crashed so often after a request that it is not sent any more. */
  readonly isSuspect: (request: CallerRequest) => boolean;
}

/** Limits what is sent more than once. */
export interface RetryBudgetApi {
  /** Counts a request that callers sent for a service. */
  readonly recordRequest: (service: string) => void;
  /** Takes one repetition out of the budget; false when it is spent. */
  readonly tryConsume: (service: string) => boolean;
}

/** Limits what cold targets get. */
export interface ColdStartsApi {
  /** Whether this gateway may send a target one more request now. */
  readonly mayStart: (target: PublishedTarget) => boolean;
  readonly recordStart: (target: PublishedTarget) => void;
}

/** Whether the process is ready for new connections. */
export interface LifecycleApi {
  readonly isReady: () => boolean;
  readonly isDraining: () => boolean;
  /** Whether a request that begins now can end before the process does. */
  readonly mayBegin: (isStream: boolean) => boolean;
  /** Counts exchanges, which a drain waits for. */
  readonly recordExchangeStart: () => void;
  readonly recordExchangeEnd: () => void;
  /** Begins the drain. */
  readonly drain: () => readonly Effect[];
}

/** Takes the outcome of an order and answers with effects. */
export type OnOrder = (outcome: OrderOutcome) => readonly Effect[];

/** The engine beside this process. */
export interface RankMonitorApi {
  /** Latest report; undefined while the engine does not answer. */
  readonly report: () => RankReport | undefined;
  /** What the latest counts added to the ones before; undefined before the second counts. */
  readonly increase: () => RankIncrease | undefined;
  /**
   * Gives an order to the engine beside this process, or to the one at an address; `onOrder` is
   * called once with its outcome.
   */
  readonly order: (order: Order, onOutcome: OnOrder, engineAddress?: string) => readonly Effect[];
}

/** Every service's API by name. */
export interface Directory {
  readonly [ServiceName.Store]: StoreApi;
  readonly [ServiceName.Catalogue]: CatalogueApi;
  readonly [ServiceName.Targets]: TargetsApi;
  readonly [ServiceName.Members]: MembersApi;
  readonly [ServiceName.Loads]: LoadsApi;
  readonly [ServiceName.Groups]: GroupsApi;
  readonly [ServiceName.Suspects]: SuspectsApi;
  readonly [ServiceName.Admission]: AdmissionApi;
  readonly [ServiceName.RetryBudget]: RetryBudgetApi;
  readonly [ServiceName.ColdStarts]: ColdStartsApi;
  readonly [ServiceName.Routing]: RoutingApi;
  readonly [ServiceName.Exchanges]: object;
  readonly [ServiceName.Lifecycle]: LifecycleApi;
  readonly [ServiceName.EngineLimits]: object;
  readonly [ServiceName.RankMonitor]: RankMonitorApi;
  readonly [ServiceName.GroupDriver]: object;
}

/** Finds a service of this system by name. */
export type FindService = Find<Directory>;

/** Registration of the service of one name. */
export type Registration<TName extends ServiceName> = NamedRegistration<
  Directory,
  TName,
  Event,
  Effect
>;

/** Registration of any service of this system. */
export type AnyRegistration = ServiceRegistration<Directory, Event, Effect>;
