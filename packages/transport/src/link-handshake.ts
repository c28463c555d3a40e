/** @module Proves to each end of a link that the other one knows the fleet's link secret. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

/** Which end of a link a process is; proofs of the two ends differ. */
export enum LinkEnd {
  Dialler = 'dialler',
  Listener = 'listener',
}

/** What the handshake made of a frame. */
export enum HandshakeStep {
  /** Send the proof, and wait for the other one. */
  SendProof = 'prove',
  /** Both ends are proved. */
  Done = 'done',
  /** The other end is a stranger. */
  Reject = 'refuse',
}

const NONCE_BYTES = 32;

const PROOF_BYTES = 32;

/** Follows the handshake of one link: each end sends a nonce, then a proof over the other's. */
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

  /** Takes the next frame of the other end. */
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

  /** Proof over the other end's nonce. */
  createProof(): Buffer {
    return this.#computeProof(this.end, this.#peerNonce ?? Buffer.alloc(0));
  }

  #computeProof(end: LinkEnd, nonce: Buffer): Buffer {
    return createHmac('sha256', this.secret).update(end).update(nonce).digest();
  }
}
