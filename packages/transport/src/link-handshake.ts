/** @module Mutual authentication of the two ends of a link by the fleet's link secret. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

/** End of a link. It is part of the proof, so that a reflected proof is not valid. */
export enum LinkEnd {
  Dialler = 'dialler',
  Listener = 'listener',
}

/** What to do after a frame of the handshake. */
export enum HandshakeStep {
  /** Send the proof, and wait for the peer's. */
  SendProof = 'prove',
  /** The peer's proof is valid; the link is open. */
  Done = 'done',
  /** The nonce or the proof is not valid; close the link. */
  Reject = 'refuse',
}

const NONCE_BYTES = 32;

const PROOF_BYTES = 32;

/** Handshake of one end: each end sends a nonce, then a proof over the peer's nonce. */
export class LinkHandshake {
  readonly nonce: Buffer = randomBytes(NONCE_BYTES);

  #peerNonce: Buffer | undefined;

  private constructor(
    private readonly secret: string,
    private readonly end: LinkEnd,
  ) {}

  /**
   * Creates the handshake of one end.
   *
   * @example
   * const handshake = LinkHandshake.create(secret, LinkEnd.Dialler);
   */
  static create(secret: string, end: LinkEnd): LinkHandshake {
    return new LinkHandshake(secret, end);
  }

  /** Processes the peer's next frame: its nonce, which must differ from {@link nonce}, or its proof. */
  receive(frame: Buffer): HandshakeStep {
    if (this.#peerNonce === undefined) {
      this.#peerNonce = Buffer.from(frame);
      const isNonce = frame.length === NONCE_BYTES && !frame.equals(this.nonce);
      return isNonce ? HandshakeStep.SendProof : HandshakeStep.Reject;
    }
    const peerEnd = this.end === LinkEnd.Dialler ? LinkEnd.Listener : LinkEnd.Dialler;
    const expected = this.#computeProof(peerEnd, this.nonce);
    const isProofValid = frame.length === PROOF_BYTES && timingSafeEqual(frame, expected);
    return isProofValid ? HandshakeStep.Done : HandshakeStep.Reject;
  }

  /** Returns the proof over the peer's nonce, which must have been received before. */
  createProof(): Buffer {
    return this.#computeProof(this.end, this.#peerNonce ?? Buffer.alloc(0));
  }

  #computeProof(end: LinkEnd, nonce: Buffer): Buffer {
    return createHmac('sha256', this.secret).update(end).update(nonce).digest();
  }
}
