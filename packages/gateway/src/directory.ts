/** @module Names and APIs of the services. */
import type { Find, NamedRegistration, ServiceRegistration } from '@ebonysill/kernel';
import type {
  AnnouncedTokens,
  OtherCopies,
  RefusalScope,
  RequestWork,
  ReturnKind,
} from '@ebonysill/scheduling';
import type { BlockResult } from './answer-memory-service.js';
import type { CallDecision } from './decide-call.js';
import type { Effect } from './effect.js';
import type { Event, TargetReachability } from './event.js';
import type { Exchange, ExchangeReason, Resolution } from './exchange.js';
import type { CallerRequest, TargetHead } from './exchange-data.js';
import type { Moment } from './moment.js';
import type {
  Member,
  PassEstimate,
  PeerRole,
  PoolRate,
  ReportedRefusal,
  ServiceCount,
  TargetCount,
} from './peer-message.js';
import type { Denial } from './request-check.js';
import type { Order, OrderOutcome, RankCountDelta, RankReport } from './rank-data.js';
import type {
  CallerLimits,
  Organisation,
  PublishedService,
  PublishedTarget,
  Route,
} from './published.js';
import type { TargetCondition, TargetResult } from './target-result.js';

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
  Retries = 'retries',
  ColdStarts = 'cold-starts',
  Notices = 'notices',
  PeerKnowledge = 'peer-knowledge',
  Results = 'results',
  Routing = 'routing',
  Copies = 'copies',
  Returns = 'returns',
  Throughput = 'throughput',
  Refusals = 'refusals',
  AnswerMemory = 'answer-memory',
  Exchanges = 'exchanges',
  Waiting = 'waiting',
  Intake = 'intake',
  Lifecycle = 'lifecycle',
  EngineLimits = 'engine-advice',
  RankMonitor = 'rank-monitor',
  GroupDriver = 'group-driver',
}

/** State and age of this process's copy of the store. */
export interface StoreApi {
  /** Whether all items were read; false again after the store lost changes or was restored. */
  readonly isLoaded: () => boolean;
  /** Whether the last answer told that the store was restored; its items count for nothing. */
  readonly wasRestored: () => boolean;
  /** Time since the store last confirmed the copy; infinite before the first read. */
  readonly ageMs: () => number;
  /** When the read was requested that confirmed the copy last; `NEVER` before the first. */
  readonly confirmedAt: () => Moment;
}

/** The operators' configuration in force. */
export interface CatalogueApi {
  /** 0 before the first configuration. */
  readonly version: () => number;
  /** Route of the host with the longest prefix that matches the path. */
  readonly routeOf: (host: string, path: string) => Route | undefined;
  /** Whether requests to a path belong to a route that cannot be read, or may belong to one. */
  readonly isClosed: (host: string, path: string) => boolean;
  /** Whether organisations cannot be read; an unknown credential may be theirs. */
  readonly hasUnreadableOrganisations: () => boolean;
  /** Organisation that holds a credential. */
  readonly organisationOf: (credential: string) => Organisation | undefined;
  /** Whether callers need credentials at all. */
  readonly needsCredentials: () => boolean;
  /**
   * Time since the copy was last confirmed with a configuration that can be decoded; 0 while the
   * newest one can be.
   */
  readonly unreadableForMs: () => number;
  readonly serviceOf: (name: string) => PublishedService | undefined;
  /** Different priorities of the routes that lead to a service. */
  readonly priorityLevelsOf: (service: string) => readonly number[];
  readonly limits: () => CallerLimits | undefined;
}

/** The targets that may be used. */
export interface TargetsApi {
  /** Targets of a service that accept new requests, without zones that operators took out. */
  readonly usable: (service: string) => readonly PublishedTarget[];
  /** Time for which a target stays cold; 0 when it is warm. */
  readonly coldMsLeft: (instanceId: string) => number;
}

/** Other processes of the system. */
export interface MembersApi {
  readonly self: () => Member;
  /** Sets the group of the engine beside this process, which later hellos announce. */
  readonly joinGroup: (groupName: string) => void;
  /** Members of a role that have not expired, without this process. */
  readonly others: (role: PeerRole) => readonly Member[];
}

/** Requests in progress by target, over all gateways. */
export interface LoadsApi {
  /** Counts a request that is sent now; the effects announce it to the other gateways. */
  readonly recordStart: (instanceId: string, work?: RequestWork) => readonly Effect[];
  /** Removes the part of the work that is done when a prompt has been read. */
  readonly recordPromptRead: (instanceId: string, work: RequestWork) => void;
  /** Removes a request with the work that was outstanding. */
  readonly recordEnd: (instanceId: string, work?: RequestWork) => void;
  /** Requests of all gateways at a target, as last reported. */
  readonly countAt: (instanceId: string) => number;
  /** Requests of this gateway at a target. */
  readonly ownCountAt: (instanceId: string) => number;
  /** Outstanding work at a target; a request of unknown work counts as `usualTokens`. */
  readonly workTokensAt: (instanceId: string, usualTokens: number) => number;
  /** Requests at a target whose long prompts have not been read. */
  readonly longCountAt: (instanceId: string) => number;
  /** Changes whenever a request of this gateway starts, ends, or has its prompt read. */
  readonly changeCount: () => number;
}

/** Which targets execute their passes together. */
export interface GroupsApi {
  /**
   * Name of the pool of a target: the targets that execute each forward pass together. It consists
   * of service and group, or of the service alone while the group is unknown.
   */
  readonly poolOf: (target: PublishedTarget) => string;
}

/** Whether a request may start. */
export enum AdmissionVerdict {
  Admitted = 'admitted',
  Refused = 'refused',
}

/** Result of the admission check of one request. */
export interface AdmissionResult {
  readonly verdict: AdmissionVerdict;
  readonly retryAfterMs: number;
  /** Estimated duration of a pass on which the verdict is based; 0 when unknown. */
  readonly passMs: number;
  /** Requests of all gateways in the pool on which the verdict is based. */
  readonly runningCount: number;
}

/** A request for a place in a pool of targets. */
export interface AdmissionRequest {
  readonly route: Route;
  readonly pool: string;
  /** Levels of priority of the service that are more urgent than the request. */
  readonly moreUrgentLevels: number;
  /** Requests of all gateways at the targets of the pool. */
  readonly runningCount: number;
  /** Requests that the targets of the pool run at once. */
  readonly placeCount: number;
}

/** Limits the streams that run at once; requests that are no streams are not counted. */
export interface AdmissionApi {
  /** Checks whether a pool admits one more stream. */
  readonly evaluate: (request: AdmissionRequest) => AdmissionResult;
  /** Estimated duration of a pass; 0 when no gateway knows it. */
  readonly passMsOf: (pool: string) => number;
  /** Events of this gateway's streams in a pool so far. */
  readonly eventCountOf: (pool: string) => number;
  /** What this gateway measures itself, for the other gateways. */
  readonly ownEstimates: () => readonly PassEstimate[];
  readonly recordStart: (pool: string, exchangeId: number, moreUrgentLevels: number) => void;
  readonly recordEnd: (pool: string, exchangeId: number) => void;
  /** Records an event of a running stream and the pause before it, from its second event on. */
  readonly recordEvent: (pool: string, exchangeId: number, pauseMs?: number) => void;
}

/** A request for which a target is wanted. */
export interface RoutedRequest {
  readonly resolution: Resolution;
  /** What its caller announced. */
  readonly request: AnnouncedTokens;
  /** Instances that were called for the request before. */
  readonly triedIds: ReadonlySet<string>;
}

/** Chooses targets for requests. */
export interface RoutingApi {
  /** Refusal of a request when no pool of its service admits one more; undefined otherwise. */
  readonly refusalOf: (request: RoutedRequest) => AdmissionResult | undefined;
  /** Chooses a target that has not been tried; undefined when there is none. */
  readonly choose: (request: RoutedRequest) => PublishedTarget | undefined;
  /** Work of a request; undefined while the sizes of its service's requests are not published. */
  readonly workOf: (request: RoutedRequest) => RequestWork | undefined;
  /** Time until some target of a service wants a request; 0 when one does now, or none will. */
  readonly blockedForMs: (service: string) => number;
  /** Excludes a target for a short time, unless there is no other. */
  readonly avoid: (instanceId: string) => void;
  /** Name of the pool of a target, as in {@link GroupsApi}. */
  readonly poolOf: (target: PublishedTarget) => string;
}

/** A request with the route and the service to which it was resolved. */
export interface ResolvedRequest {
  readonly request: CallerRequest;
  readonly resolution: Resolution;
}

/** Requests after which targets crashed. */
export interface SuspectsApi {
  /**
   * Records that a target closed the connection of a request before the end of its answer; the effects
   * check whether the target has crashed.
   */
  readonly recordInterrupted: (
    resolved: ResolvedRequest,
    target: PublishedTarget,
  ) => readonly Effect[];
  /** Records the result of a check. */
  readonly recordChecked: (
    instanceId: string,
    reachability: TargetReachability,
  ) => readonly Effect[];
  /** Records that a target accepts no connections; the requests it just interrupted are crashes. */
  readonly recordUnreachable: (instanceId: string) => readonly Effect[];
  /** Records that a target has begun to answer a request. */
  readonly recordAnswered: (resolved: ResolvedRequest) => readonly Effect[];
  /** Records that a target has answered a request to its end. */
  readonly recordCompleted: (resolved: ResolvedRequest) => readonly Effect[];
  /** Records that a request is sent to a target. */
  readonly recordSent: (resolved: ResolvedRequest) => void;
  /** For how long a request must not be sent to targets, because it may crash them; else 0. */
  readonly barredForMs: (resolved: ResolvedRequest) => number;
  /** Whether no target is known to have answered a request with some segment of the prompt. */
  readonly hasUnansweredSegment: (resolved: ResolvedRequest) => boolean;
}

/** Limits retries. */
export interface RetryBudgetApi {
  /** Counts a request that a caller sent for a service. */
  readonly recordRequest: (service: string) => void;
  /** Takes one retry out of the budget; false when the budget is spent. */
  readonly tryConsume: (service: string) => boolean;
  /** Retries that this gateway took from its share of the additional ones, by service. */
  readonly spentByService: () => readonly ServiceCount[];
}

/** Decides on further targets for a request; each `take` function uses the retry budget. */
export interface RetriesApi {
  /** Whether a further target could still answer before the deadline. */
  readonly hasTime: (exchange: Exchange) => boolean;
  /** Chooses a target; undefined when there is none, or when the request may crash it. */
  readonly choose: (exchange: Exchange) => PublishedTarget | undefined;
  /** Target for a request that a target may have run. */
  readonly takeAfterRun: (exchange: Exchange) => PublishedTarget | undefined;
  /** Target for a stream whose call is still in progress, but stalled. */
  readonly takeAfterStall: (exchange: Exchange) => PublishedTarget | undefined;
  /** Target for a request that a target has rejected without running it. */
  readonly takeAfterRejection: (exchange: Exchange) => PublishedTarget | undefined;
}

/** Ages of the gateways' copies of the store. */
export interface CopiesApi {
  /** Age of this gateway's copy; the greatest safe integer while it has no configuration. */
  readonly ownAgeMs: () => number;
  readonly others: () => OtherCopies;
}

/** A request that was refused. */
export interface RefusedRequest {
  /** Service that had no place; absent when the cause lay with a gateway. */
  readonly service?: string;
  /** Refusals so far that concerned one gateway each. */
  readonly localCount: number;
  /** When its caller was told to come back. */
  readonly dueAtMs: number;
  /** When the caller's deadline ends. */
  readonly expiresAtMs: number;
}

/** Refused requests whose callers may come back. */
export interface ReturnsApi {
  /** The refusal of a request with the same method, path, credential and body. */
  readonly find: (request: CallerRequest) => RefusedRequest | undefined;
  /** Whether a request is a return; each refusal counts for one return. */
  readonly takeReturn: (request: CallerRequest) => ReturnKind;
  readonly record: (request: CallerRequest, refused: RefusedRequest) => void;
  /** Callers that a service had no place for and that have not come back yet. */
  readonly dueCount: (service: string) => number;
  /** Refusals of this gateway since the last call, for the others. */
  readonly takeNews: () => readonly ReportedRefusal[];
}

/** How fast places come free and answers arrive. */
export interface ThroughputApi {
  readonly recordStart: (service: string, organisation: string) => void;
  /** Records the end of a call that held its place for `heldMs`. */
  readonly recordEnd: (pool: string, heldMs: number) => void;
  /** Mean time for which calls hold a place; undefined before the first end. */
  readonly meanHeldMs: (pool: string) => number | undefined;
  /** Records the time from the start of a call to its answer, or to its first event. */
  readonly recordAnswer: (route: string, timeMs: number) => void;
  /** Time to an answer that most do not exceed; undefined before the first. */
  readonly usualAnswerMs: (route: string) => number | undefined;
  /** Starts of this gateway within the last second. */
  readonly startsOf: (service: string, organisation: string) => number;
  /** Requests of all gateways that end in a pool; 0 when unknown. */
  readonly endsPerSecond: (pool: string) => number;
  /** The same for all pools of a service. */
  readonly serviceEndsPerSecond: (service: string) => number;
  /** Age of the oldest report that is used; 0 without one. */
  readonly oldestReportMs: () => number;
  /** What this gateway measures itself, for the others. */
  readonly ownRates: () => readonly PoolRate[];
}

/** What a refused caller was told. */
export interface ToldReturn {
  readonly scope: RefusalScope;
  readonly retryAfterMs: number;
}

/** Answers requests that did not run and never will. */
export interface RefusalsApi {
  /** Answers a request that the check denied. */
  readonly deny: (exchangeId: number, request: CallerRequest, denial: Denial) => readonly Effect[];
  /** Refuses a request; `admission` is given when it is the cause. */
  readonly refuse: (
    exchange: Exchange,
    cause: ExchangeReason,
    admission?: AdmissionResult,
  ) => readonly Effect[];
}

/** Calls and answers of admitted requests. */
export interface ExchangesApi {
  /** Starts the first call of an admitted request. */
  readonly start: (exchange: Exchange, target: PublishedTarget) => readonly Effect[];
}

/** Starts admitted requests, or holds them until there is a place. */
export interface WaitingApi {
  readonly admit: (exchange: Exchange) => readonly Effect[];
}

/** Limits the requests to cold targets. */
export interface ColdStartsApi {
  /** Whether this gateway may send a target one more request now. */
  readonly mayStart: (target: PublishedTarget) => boolean;
  readonly recordStart: (target: PublishedTarget) => void;
  /** Requests that all gateways sent to cold targets in the last second, as far as known here. */
  readonly recentStarts: () => readonly TargetCount[];
}

/** What this gateway learned from its peers after its start. */
export interface PeerKnowledgeApi {
  /**
   * Whether the configuration may be served: the peers were asked, and no live one names a later
   * configuration.
   */
  readonly isConfigurationCurrent: () => boolean;
}

/** What targets say of themselves in their answers. */
export interface NoticesApi {
  /** Records the head of the answer to a call of that moment; the effects log what has changed. */
  readonly recordHead: (
    target: PublishedTarget,
    head: TargetHead,
    askedAt: Moment,
  ) => readonly Effect[];
  /** Whether a target may be called, by what it said. */
  readonly decide: (target: PublishedTarget) => CallDecision;
  /** Counts a request that this gateway sends now. */
  readonly recordStart: (target: PublishedTarget) => void;
}

/** Results of this gateway's calls, by target. */
export interface ResultsApi {
  readonly recordResult: (target: PublishedTarget, result: TargetResult) => void;
  /** What the results say about a target. */
  readonly conditionOf: (target: PublishedTarget) => TargetCondition;
}

/** Readiness of the process and its drain. */
export interface LifecycleApi {
  readonly isReady: () => boolean;
  readonly isDraining: () => boolean;
  /** Whether a request that takes at most `longestMs` may begin. */
  readonly mayBegin: (isStream: boolean, longestMs: number) => boolean;
  /** Whether the process stops so soon that requests without an answer have to be answered now. */
  readonly isEnding: () => boolean;
  /** Counts exchanges, which a drain waits for. */
  readonly recordExchangeStart: () => void;
  readonly recordExchangeEnd: () => void;
  /** Starts the drain; has no effect when it has started already. */
  readonly drain: () => readonly Effect[];
}

/** Handles the outcome of an order; returns the effects that follow from it. */
export type OnOrderOutcome = (outcome: OrderOutcome) => readonly Effect[];

/** The engine beside this process. */
export interface RankMonitorApi {
  /** Latest report; undefined while the engine does not answer, or when the report is old. */
  readonly report: () => RankReport | undefined;
  /** When the latest report was asked for. */
  readonly reportAskedAt: () => Moment;
  /** Difference between the latest two counts; undefined before the second. */
  readonly countDelta: () => RankCountDelta | undefined;
  /**
   * Sends an order to the engine beside this process, or to the one at an address; `onOutcome` is
   * called once with its outcome.
   */
  readonly order: (
    order: Order,
    onOutcome: OnOrderOutcome,
    engineAddress?: string,
  ) => readonly Effect[];
}

/** Memory of answers that are kept whole until their callers have taken them. */
export interface AnswerMemoryApi {
  /** Records a call of an exchange; forgets the answer of an earlier one. */
  readonly begin: (exchangeId: number, callId: number) => readonly Effect[];
  /** Counts a block of an answer; the effects pause its call when there is no memory for it. */
  readonly addBlock: (
    exchangeId: number,
    callId: number,
    blockBytes: number,
    announcedBytes?: number,
  ) => BlockResult;
  /** Records that the complete answer is sent; its memory is free when the caller has taken it. */
  readonly markSent: (exchangeId: number) => void;
  /** Forgets an exchange whose answer was not sent. */
  readonly end: (exchangeId: number) => readonly Effect[];
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
  readonly [ServiceName.Retries]: RetriesApi;
  readonly [ServiceName.ColdStarts]: ColdStartsApi;
  readonly [ServiceName.Notices]: NoticesApi;
  readonly [ServiceName.PeerKnowledge]: PeerKnowledgeApi;
  readonly [ServiceName.Results]: ResultsApi;
  readonly [ServiceName.Routing]: RoutingApi;
  readonly [ServiceName.Copies]: CopiesApi;
  readonly [ServiceName.Returns]: ReturnsApi;
  readonly [ServiceName.Throughput]: ThroughputApi;
  readonly [ServiceName.Refusals]: RefusalsApi;
  readonly [ServiceName.AnswerMemory]: AnswerMemoryApi;
  readonly [ServiceName.Exchanges]: ExchangesApi;
  readonly [ServiceName.Waiting]: WaitingApi;
  readonly [ServiceName.Intake]: object;
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
