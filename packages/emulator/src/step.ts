/** @module Steps of a request or a map change at which a fault can be injected. */
import { EffectKind, MessageKind, type Effect } from '@ebonysill/core';

/** A step of a request or a map change, named after its event: a chunk is sent in `ChunkSent`. */
enum Step {
  MintKeySent = 'mint-asked',
  KeyMinted = 'key-minted',
  RunSent = 'run-sent',
  TargetCalled = 'target-called',
  TargetRan = 'target-ran',
  HeadSent = 'head-sent',
  ChunkSent = 'chunk-sent',
  EndSent = 'end-sent',
  FailureSent = 'failure-sent',
  TombstoneSent = 'tombstone-sent',
  AnswerBegun = 'answer-begun',
  AnswerEnded = 'answer-ended',
  MapQueried = 'map-queried',
  MapStateSent = 'map-state-told',
  MapPrepareSent = 'map-prepare-sent',
  MapPrepared = 'map-prepared',
  MapDecideSent = 'map-decide-sent',
  MapDecided = 'map-decided',
  RankAnswered = 'rank-answered',
}

const STEP_OF_MESSAGE: Partial<Readonly<Record<MessageKind, Step>>> = {
  [MessageKind.MintKey]: Step.MintKeySent,
  [MessageKind.KeyMinted]: Step.KeyMinted,
  [MessageKind.Run]: Step.RunSent,
  [MessageKind.RunHead]: Step.HeadSent,
  [MessageKind.RunChunk]: Step.ChunkSent,
  [MessageKind.RunEnd]: Step.EndSent,
  [MessageKind.RunFailed]: Step.FailureSent,
  [MessageKind.Tombstone]: Step.TombstoneSent,
  [MessageKind.MapQuery]: Step.MapQueried,
  [MessageKind.MapState]: Step.MapStateSent,
  [MessageKind.MapPrepare]: Step.MapPrepareSent,
  [MessageKind.MapPrepared]: Step.MapPrepared,
  [MessageKind.MapDecide]: Step.MapDecideSent,
  [MessageKind.MapDecided]: Step.MapDecided,
};

/**
 * Returns the step that an effect belongs to, if any.
 *
 * @example
 * stepOf(effect); // Step.RunSent
 */
export const stepOf = (effect: Effect): Step | undefined => {
  switch (effect.kind) {
    case EffectKind.Send:
      return STEP_OF_MESSAGE[effect.message.kind];
    case EffectKind.AnswerRank:
      return Step.RankAnswered;
    case EffectKind.CallTarget:
      return Step.TargetCalled;
    case EffectKind.AnswerHead:
      return Step.AnswerBegun;
    case EffectKind.AnswerEnd:
      return Step.AnswerEnded;
    default:
      return undefined;
  }
};

export { Step };
