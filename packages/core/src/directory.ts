/** @module Names of the services, and the API behind each name. */
import type { Find, NamedRegistration, ServiceRegistration } from '@ebonysill/kernel';
import type {
  Configuration,
  GroupConfiguration,
  OrganisationConfiguration,
  ServiceConfiguration,
  TargetConfiguration,
} from './configuration.js';
import type { Effect } from './effect.js';
import type { CallerRequestEvent, Event } from './event.js';
import type { ExpertMap } from './expert-map.js';
import type { CrashSuspicion, LoadReport, Message, RunMessage, TargetState } from './message.js';
import type { Problem } from './outcome.js';

/** Names under which services are registered and found. */
export enum ServiceName {
  Configuration = 'configuration',
  Links = 'links',
  Suspects = 'suspects',
  Admission = 'admission',
  Routing = 'routing',
  IdempotentCalls = 'idempotent-calls',
  KeyedCalls = 'keyed-calls',
  Intake = 'intake',
  KeyLedger = 'key-ledger',
  TargetMonitor = 'target-monitor',
  Execution = 'execution',
  KeyedExecution = 'keyed-execution',
  RankGate = 'rank-gate',
  GroupDriver = 'group-driver',
}

/** Where a sidecar accepts links. */
export interface SidecarAddress {
  /** IP address. */
  readonly host: string;
  readonly port: number;
}

/** Queries about the accepted configuration. */
export interface ConfigurationApi {
  readonly revision: () => number;
  readonly current: () => Configuration | undefined;
  readonly service: (name: string) => ServiceConfiguration | undefined;
  readonly target: (targetId: string) => TargetConfiguration | undefined;
  /** Address of a sidecar, of a target or of a rank. */
  readonly address: (processId: string) => SidecarAddress | undefined;
  /** The group that a rank belongs to. */
  readonly groupOf: (rankId: string) => GroupConfiguration | undefined;
  /** Targets of one service, in every zone. */
  readonly targets: (service: string) => readonly TargetConfiguration[];
  readonly organisation: (credential: string) => OrganisationConfiguration | undefined;
  readonly isInService: (availabilityZone: string) => boolean;
}

/** A process at the other end of a link that is up. */
export interface Peer {
  readonly linkId: string;
  readonly processId: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  /** Last reported load; absent for entry processes and before the first report. */
  readonly load: LoadReport | undefined;
  /** When the load was received, on this process's clock. */
  readonly loadHeardMs: number;
}

/** Links to other processes. */
export interface LinksApi {
  /** The peer with this process id, if its link is up. */
  readonly peer: (processId: string) => Peer | undefined;
  readonly peerOfLink: (linkId: string) => Peer | undefined;
  readonly peers: () => readonly Peer[];
  /** Whether a link has left a message unanswered for too long to be given new work. */
  readonly isSuspect: (linkId: string) => boolean;
  /** Opens a link to a sidecar, of a target or of a rank, unless one exists or will be reopened. */
  readonly ensure: (processId: string) => readonly Effect[];
  /** Counts a piece of work in progress on a link; busy links are checked more often. */
  readonly retain: (linkId: string) => readonly Effect[];
  /** Ends a piece of work that was counted with `retain`. */
  readonly release: (linkId: string) => void;
  /** Sets the function that reads the load of this process's target, for reports to peers. */
  readonly setLoadReader: (readLoad: () => LoadReport) => void;
}

/** Requests suspected of crashing targets. */
export interface SuspectsApi {
  readonly crashCount: (fingerprint: string) => number;
  /** Whether a request with this fingerprint is to be refused. */
  readonly isRefused: (fingerprint: string) => boolean;
  /** Records a crash with these requests in progress; returns those whose crash count rose. */
  readonly recordCrash: (fingerprints: readonly string[]) => readonly CrashSuspicion[];
  /** Records that a request ended without a crash. */
  readonly clear: (fingerprint: string) => void;
  readonly all: () => readonly CrashSuspicion[];
}

/** Result of a request for admission. */
export enum Admission {
  Admitted = 'admitted',
  Queued = 'queued',
  Refused = 'refused',
}

/** An admission decision, with the longest wait if queued and the problem if refused. */
export type AdmissionDecision =
  | { readonly kind: Admission.Admitted }
  | { readonly kind: Admission.Queued; readonly maxWaitMs: number }
  | { readonly kind: Admission.Refused; readonly problem: Problem };

/** A request that asks for admission. */
export interface AdmissionRequest {
  readonly exchangeId: string;
  readonly organisation: OrganisationConfiguration;
  readonly priority: number;
  readonly timeLeftMs: number;
}

/** Limits of requests in progress, by organisation and overall, and the retry budget. */
export interface AdmissionApi {
  readonly admit: (request: AdmissionRequest) => AdmissionDecision;
  /** Ends an admitted or queued request; returns the exchanges that are admitted in its place. */
  readonly release: (exchangeId: string) => readonly string[];
  /** Takes one retry or hedge from the budget; false if the budget is spent. */
  readonly takeRetry: (organisationId: string) => boolean;
}

/** Criteria for choosing a target. */
export interface RoutingQuery {
  readonly service: string;
  /** Targets that must not be chosen. */
  readonly excluded: readonly string[];
  readonly fingerprint: string;
}

/** Chooses targets, with regard to the calls that this process has in progress on each. */
export interface RoutingApi {
  /** The sidecar of the chosen target; undefined if no target can accept the request. */
  readonly pick: (query: RoutingQuery) => Peer | undefined;
  /** Counts a call that was sent to a target. */
  readonly started: (targetId: string) => void;
  /** Ends a call that was counted with `started`. */
  readonly ended: (targetId: string) => void;
}

/** A validated request, ready to be served. */
export interface Call {
  readonly exchangeId: string;
  readonly requestId: string;
  readonly organisation: OrganisationConfiguration;
  readonly service: ServiceConfiguration;
  readonly event: CallerRequestEvent;
  readonly fingerprint: string;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Serves validated requests of one kind. */
export interface CallsApi {
  readonly begin: (call: Call) => readonly Effect[];
}

/** Idempotent calls; they wait in a queue when too many requests are in progress. */
export interface IdempotentCallsApi extends CallsApi {
  /** Starts the queued calls of these exchanges, which another service's release admitted. */
  readonly startAdmitted: (exchangeIds: readonly string[]) => readonly Effect[];
}

/** Serves non-idempotent requests and mints their keys. */
export interface KeyedCallsApi extends CallsApi {
  readonly mint: (call: Call) => readonly Effect[];
  /**
   * Refuses a call: voids its key, and answers `problem` only if the process that minted the key
   * confirms that the call did not run.
   */
  readonly refuse: (call: Call, problem: Problem) => readonly Effect[];
}

/** State of a key's record. */
export enum KeyState {
  Running = 'running',
  Done = 'done',
  NotRun = 'not-run',
  Unknown = 'unknown',
}

/** The recorded answer of a keyed call. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly chunks: readonly string[];
}

/** What the ledger records of one key. */
export interface KeyRecord {
  readonly state: KeyState;
  readonly fingerprint: string;
  /** Absent while the call runs, if it failed, and after the answer was dropped. */
  readonly answer?: RecordedAnswer;
  readonly problem?: Problem;
}

/** The ledger's verdict on a presented key. */
export enum KeyVerdict {
  /** First presentation: the call may run, once. */
  Fresh = 'fresh',
  /** Presented before; the record holds the state of its call. */
  Known = 'known',
  /** The key is invalid, was used for another request, or has no record any more. */
  Refused = 'refused',
}

/** A verdict, with the record or the problem. */
export type KeyDecision =
  | { readonly kind: KeyVerdict.Fresh; readonly recordId: number }
  | { readonly kind: KeyVerdict.Known; readonly recordId: number; readonly record: KeyRecord }
  | { readonly kind: KeyVerdict.Refused; readonly problem: Problem };

/** A new key, or the refusal to mint one. */
export type MintDecision =
  | { readonly kind: KeyVerdict.Fresh; readonly key: string }
  | { readonly kind: KeyVerdict.Refused; readonly problem: Problem };

/** Records of the idempotency keys that this incarnation minted. */
export interface KeyLedgerApi {
  readonly mint: (organisationId: string) => MintDecision;
  /** Looks up a key, and marks it as running if it is fresh. */
  readonly claim: (key: string, organisationId: string, fingerprint: string) => KeyDecision;
  /** Voids a key unless it was presented before. */
  readonly void: (key: string, organisationId: string, problem: Problem) => KeyDecision;
  /** Replaces the record of a key, usually when its call ends. */
  readonly finish: (recordId: number, record: KeyRecord) => void;
}

/** State of the target that this sidecar serves. */
export interface TargetMonitorApi {
  readonly state: () => TargetState;
  /** Requests that may currently run concurrently. */
  readonly limit: () => number;
  /**
   * Limit that holds even if the target has turned cold since its last health report: at most the
   * cold limit, but the full limit while the event being handled is a health report.
   */
  readonly confirmedLimit: () => number;
  /** Reads the target's health unless a read is in progress. */
  readonly refresh: () => readonly Effect[];
}

/** What is known about a request before a run of it is accepted. */
export interface RunHistory {
  /** Record in the key ledger; undefined if there is none. */
  readonly recordId: number | undefined;
  /** Whether an earlier run may have taken place; a refusal must not claim "not run" then. */
  readonly mayHaveRun: boolean;
}

/** Runs requests on the target. */
export interface ExecutionApi {
  readonly load: () => LoadReport;
  /** Why the process currently accepts no work at all; undefined if it does. */
  readonly closedProblem: () => Problem | undefined;
  /** Queues a run, or refuses it. */
  readonly accept: (linkId: string, message: RunMessage, history: RunHistory) => readonly Effect[];
  /** Adds a subscriber to the run of a record; undefined if there is no such run. */
  readonly attach: (
    linkId: string,
    message: RunMessage,
    recordId: number,
  ) => readonly Effect[] | undefined;
  /**
   * Ends the run of a record if it is still queued and cannot have run before; undefined
   * otherwise.
   */
  readonly endWaiting: (recordId: number, problem: Problem) => readonly Effect[] | undefined;
}

/** Sends the gate's reply to the driver that asked. */
export type ReplyToDriver = (message: Message) => readonly Effect[];

/** Gate that decides when one rank may begin its next step, and on which map. */
export interface RankGateApi {
  /** Highest fencing number that the gate has accepted. */
  readonly promisedFence: () => number;
  /**
   * Whether the gate holds the rank's step: until a change is decided or, after a restart, until a
   * driver has decided whether there is one.
   */
  readonly isHeld: () => boolean;
  /** Handles a message of a group driver; ignores messages of other kinds. */
  readonly receive: (message: Message, reply: ReplyToDriver) => readonly Effect[];
  /** Returns the tokens by layer and expert since the last call, and resets them. */
  readonly takeCounts: () => readonly (readonly number[])[] | undefined;
  readonly current: () => ExpertMap | undefined;
}

/** Every service's API by name. */
export interface Directory {
  readonly [ServiceName.Configuration]: ConfigurationApi;
  readonly [ServiceName.Links]: LinksApi;
  readonly [ServiceName.Suspects]: SuspectsApi;
  readonly [ServiceName.Admission]: AdmissionApi;
  readonly [ServiceName.Routing]: RoutingApi;
  readonly [ServiceName.IdempotentCalls]: IdempotentCallsApi;
  readonly [ServiceName.KeyedCalls]: KeyedCallsApi;
  readonly [ServiceName.Intake]: object;
  readonly [ServiceName.KeyLedger]: KeyLedgerApi;
  readonly [ServiceName.TargetMonitor]: TargetMonitorApi;
  readonly [ServiceName.Execution]: ExecutionApi;
  readonly [ServiceName.KeyedExecution]: object;
  readonly [ServiceName.RankGate]: RankGateApi;
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
