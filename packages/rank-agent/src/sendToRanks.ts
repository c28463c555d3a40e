/** @module Sends one message to several agents. */
import { sendToPeer, type Effect, type PeerMessage, type RankReport } from '@ebonysill/gateway';
import type { KnownRank } from './GroupView.js';

/**
 * Sends to the agents of the ranks that a condition holds for; an agent hears its own messages.
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
