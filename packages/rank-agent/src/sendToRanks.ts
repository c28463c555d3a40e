/** @module Sends one message to the agents of several ranks. */
import { sendToPeer, type Effect, type PeerMessage, type RankReport } from '@ebonysill/gateway';
import type { KnownRank } from './GroupView.js';

/**
 * Sends a message to the agent of each rank whose report satisfies `isRecipient`, the sending agent
 * included.
 *
 * @example
 * sendToRanks(ranks, ({ heldStep }) => heldStep > 0, message);
 */
const sendToRanks = (
  ranks: readonly KnownRank[] | undefined,
  isRecipient: (report: RankReport) => boolean,
  message: PeerMessage,
): readonly Effect[] =>
  (ranks ?? [])
    .filter(({ report }) => isRecipient(report))
    .map(({ agentAddress }) => sendToPeer(agentAddress, message));

export default sendToRanks;
