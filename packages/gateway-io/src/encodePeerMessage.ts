/** @module Messages between processes as they are sent. */
import { PeerMessageKind, type PeerMessage, type TargetCount } from '@ebonysill/gateway';

/** Instance identifier and count, then work in tokens (null when unknown) and long prompts. */
type EncodedCount =
  readonly [string, number] | readonly [string, number, workTokens: number | null, number];

/** Function that prepares a message for its codec. */
type EncodePeerMessage = (message: PeerMessage) => object;

const encodeCount = ({ instanceId, count, workTokens, longCount }: TargetCount): EncodedCount =>
  workTokens === undefined && longCount === undefined
    ? [instanceId, count]
    : [instanceId, count, workTokens ?? null, longCount ?? 0];

/**
 * Replaces the loads of targets by lists: the names of their fields are two thirds of a load message,
 * which goes to every gateway four times a second.
 *
 * @example
 * pack(encodePeerMessage(message));
 */
const encodePeerMessage: EncodePeerMessage = (message) => {
  switch (message.kind) {
    case PeerMessageKind.Load:
      return { ...message, counts: message.counts.map(encodeCount) };
    case PeerMessageKind.LoadChange:
      return message.ended === undefined
        ? message
        : { ...message, ended: message.ended.map(encodeCount) };
    default:
      return message;
  }
};

export default encodePeerMessage;
