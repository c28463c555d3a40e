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

/** Names that services register under and are found by. */
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
  /** IP number. */
  readonly host: string;
  readonly port: number;
}

/** The accepted configuration, and questions about it. */
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
  /** Last load heard; absent for entry processes and before the first report. */
  readonly load: LoadReport | undefined;
  /** When the load was heard, on this process's clock. */
  readonly loadHeardMs: number;
}

/** Links to other processes. */
export interface LinksApi {
  /** The peer with this process id, if its link is up. */
  readonly peer: (processId: string) => Peer | undefined;
  readonly peerOfLink: (linkId: string) => Peer | undefined;
  readonly peers: () => readonly Peer[];
  /** Whether a link has been silent for so long that it should take no new work. */
  readonly isSuspect: (linkId: string) => boolean;
  /** Opens a link to a target's sidecar unless one exists. */
  readonly ensure: (targetId: string) => readonly Effect[];
  /** Counts work in progress on a link; busy links are checked often. */
  readonly retain: (linkId: string) => readonly Effect[];
  readonly release: (linkId: string) => void;
  /** Names the function that tells the load of this process's target to peers. */
  readonly provideLoad: (readLoad: () => LoadReport) => void;
}

/** Requests suspected of crashing targets. */
export interface SuspectsApi {
  readonly crashCount: (fingerprint: string) => number;
  /** Whether a request with this fingerprint is refused. */
  readonly isRefused: (fingerprint: string) => boolean;
  /** Records a crash with these requests in progress; returns what became suspect. */
  readonly recordCrash: (fingerprints: readonly string[]) => readonly CrashSuspicion[];
  /** Records that a request ended without a crash. */
  readonly clear: (fingerprint: string) => void;
  readonly all: () => readonly CrashSuspicion[];
}

/** What admission decided. */
export enum Admission {
  Admitted = 'admitted',
  Queued = 'queued',
  Refused = 'refused',
}

/** An admission decision with its problem when refused. */
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

/** Limits by organisation and in all, and the retry budget. */
export interface AdmissionApi {
  readonly admit: (request: AdmissionRequest) => AdmissionDecision;
  /** Ends an admitted or queued request; returns the exchanges that are admitted in its place. */
  readonly release: (exchangeId: string) => readonly string[];
  /** Takes one retry or hedge out of the budget; false when it is spent. */
  readonly takeRetry: (organisationId: string) => boolean;
}

/** What a choice of target is made from. */
export interface RoutingQuery {
  readonly service: string;
  /** Targets not to choose. */
  readonly excluded: readonly string[];
  readonly fingerprint: string;
}

/** Chooses targets. */
export interface RoutingApi {
  readonly pick: (query: RoutingQuery) => Peer | undefined;
  readonly started: (targetId: string) => void;
  readonly ended: (targetId: string) => void;
}

/** A checked request, ready to be served. */
export interface Call {
  readonly exchangeId: string;
  readonly requestId: string;
  readonly organisation: OrganisationConfiguration;
  readonly service: ServiceConfiguration;
  readonly event: CallerRequestEvent;
  readonly fingerprint: string;
  readonly startedMs: number;
  readonly deadlineMs: number;
}

/** Serves checked requests of one kind. */
export interface CallsApi {
  readonly begin: (call: Call) => readonly Effect[];
}

/** Serves non-idempotent requests and mints their keys. */
export interface KeyedCallsApi extends CallsApi {
  readonly mint: (call: Call) => readonly Effect[];
  /** Voids the key of a call that is to be refused, and answers by what the key's process says. */
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

/** What the ledger holds of one key. */
export interface KeyRecord {
  readonly state: KeyState;
  readonly fingerprint: string;
  /** Absent while running, and after the answer was dropped. */
  readonly answer?: RecordedAnswer;
  readonly problem?: Problem;
}

/** What the ledger makes of a presented key. */
export enum KeyVerdict {
  /** First presentation: the call may run, once. */
  Fresh = 'fresh',
  /** Presented before; the record tells what became of it. */
  Known = 'known',
  /** The key is no good. */
  Refused = 'refused',
}

/** A verdict with what belongs to it. */
export type KeyDecision =
  | { readonly kind: KeyVerdict.Fresh; readonly recordId: number }
  | { readonly kind: KeyVerdict.Known; readonly recordId: number; readonly record: KeyRecord }
  | { readonly kind: KeyVerdict.Refused; readonly problem: Problem };

/** A key or the refusal to mint one. */
export type MintDecision =
  | { readonly kind: KeyVerdict.Fresh; readonly key: string }
  | { readonly kind: KeyVerdict.Refused; readonly problem: Problem };

/** Records of the idempotency keys that this incarnation minted. */
export interface KeyLedgerApi {
  readonly mint: (organisationId: string) => MintDecision;
  /** Looks a key up, and marks it as running when it is fresh. */
  readonly claim: (key: string, organisationId: string, fingerprint: string) => KeyDecision;
  /** Voids a key unless it was presented before. */
  readonly void: (key: string, organisationId: string, problem: Problem) => KeyDecision;
  readonly finish: (recordId: number, record: KeyRecord) => void;
}

/** The condition of the target beside this process. */
export interface TargetMonitorApi {
  readonly state: () => TargetState;
  /** Requests that may run at once at present. */
  readonly limit: () => number;
  /**
   * Requests that may run at once if the target has turned cold since its last health report; the
   * whole limit while that report is being answered.
   */
  readonly vouchedLimit: () => number;
  /** Reads the target's health unless a read is under way. */
  readonly refresh: () => readonly Effect[];
}

/** What is known of a request from before a run. */
export interface RunHistory {
  /** Record in the key ledger; undefined where there is none. */
  readonly recordId: number | undefined;
  /** Whether an earlier run may have taken place, so that "not run" may not be told. */
  readonly mayHaveRun: boolean;
}

/** Runs requests on the target. */
export interface ExecutionApi {
  readonly load: () => LoadReport;
  /** Why the process takes no work at all at present. */
  readonly closedProblem: () => Problem | undefined;
  /** Queues or refuses a run. */
  readonly accept: (linkId: string, message: RunMessage, history: RunHistory) => readonly Effect[];
  /** Adds a subscriber to the run of a record; undefined when there is none. */
  readonly attach: (
    linkId: string,
    message: RunMessage,
    recordId: number,
  ) => readonly Effect[] | undefined;
  /** Ends the run of a record if it still waits; undefined when there is none that waits. */
  readonly endWaiting: (recordId: number, problem: Problem) => readonly Effect[] | undefined;
}

/** Sends an answer of the gate to the driver that asked. */
export type ReplyToDriver = (message: Message) => readonly Effect[];

/** The gate before the steps of one rank. */
export interface RankGateApi {
  /** Highest fencing number seen. */
  readonly promisedFence: () => number;
  /** Whether the rank waits for a decision, or for its state after a restart. */
  readonly isHeld: () => boolean;
  /** Takes a driver's message. */
  readonly receive: (message: Message, reply: ReplyToDriver) => readonly Effect[];
  /** Tokens by layer and expert since the last call. */
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
  readonly [ServiceName.IdempotentCalls]: CallsApi;
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
