/** @module Messages between the processes of the system, apart from their encoding. */
import type { RankPlacement } from './rank-data.js';

/** Role of a process. */
export enum PeerRole {
  Gateway = 'gateway',
  RankAgent = 'rank-agent',
}

/** Kind of a message. */
export enum PeerMessageKind {
  Hello = 'hello',
  Members = 'members',
  Load = 'load',
  RankState = 'rank-state',
  Counts = 'counts',
  PrepareMap = 'prepare-map',
  HoldStep = 'hold-step',
  ArmMap = 'arm-map',
  ReleaseStep = 'release-step',
  DisarmMap = 'disarm-map',
}

/** A process of the system, as others know it. */
export interface Member {
  readonly name: string;
  readonly role: PeerRole;
  /** IP address and port. */
  readonly address: string;
  readonly availabilityZone: string;
}

/** Makes a process known to another one and asks for the members that it knows. */
export interface HelloMessage {
  readonly kind: PeerMessageKind.Hello;
  readonly member: Member;
}

/** Members that the sender has heard from itself. */
export interface MembersMessage {
  readonly kind: PeerMessageKind.Members;
  readonly members: readonly Member[];
}

/** Requests that one gateway has at one target. */
export interface TargetCount {
  readonly instanceId: string;
  readonly count: number;
}

/** What a gateway has in progress. */
export interface LoadMessage {
  readonly kind: PeerMessageKind.Load;
  readonly counts: readonly TargetCount[];
}

/** State of a rank, told by the agent beside it. */
export interface RankStateMessage {
  readonly kind: PeerMessageKind.RankState;
  readonly groupName: string;
  readonly epoch: number;
  readonly rank: number;
  readonly rankCount: number;
  readonly isOpen: boolean;
  readonly step: number;
  readonly mapVersion: number;
  readonly preparedVersion: number;
  readonly armedVersion: number;
  readonly heldStep: number;
  readonly pace: number;
}

/** Choices of experts in one layer set at one rank since the last message. */
export interface CountsMessage {
  readonly kind: PeerMessageKind.Counts;
  readonly groupName: string;
  readonly epoch: number;
  readonly layerSet: number;
  readonly counts: readonly number[];
}

/** Asks an agent to have its rank copy the experts of a map. */
export interface PrepareMapMessage {
  readonly kind: PeerMessageKind.PrepareMap;
  readonly groupName: string;
  readonly epoch: number;
  readonly version: number;
  readonly placement: RankPlacement;
}

/** Asks an agent to have its rank hold or release a step. */
export interface StepMessage {
  readonly kind: PeerMessageKind.HoldStep | PeerMessageKind.ReleaseStep;
  readonly groupName: string;
  readonly epoch: number;
  readonly step: number;
}

/** Asks an agent to have its rank change map at a step. */
export interface ArmMapMessage {
  readonly kind: PeerMessageKind.ArmMap;
  readonly groupName: string;
  readonly epoch: number;
  readonly version: number;
  readonly step: number;
}

/** Asks an agent to take back an arm order. */
export interface DisarmMapMessage {
  readonly kind: PeerMessageKind.DisarmMap;
  readonly groupName: string;
  readonly epoch: number;
  readonly version: number;
}

/** Any message between processes. */
export type PeerMessage =
  | HelloMessage
  | MembersMessage
  | LoadMessage
  | RankStateMessage
  | CountsMessage
  | PrepareMapMessage
  | StepMessage
  | ArmMapMessage
  | DisarmMapMessage;
