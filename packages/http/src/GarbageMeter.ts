/**
 * @module Collects blocks of bytes that are no longer used before many of them pile up.
 *
 * V8 collects new objects when those on its heap fill a megabyte. A block of bytes takes a hundred bytes of
 * the heap and its content lies outside, so that some 60 MB of blocks pile up first.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Collects the objects that are new and no longer used. */
export type CollectGarbage = () => void;

/** Blocks that are allocated between two collections; one takes about a millisecond. */
const MAX_GARBAGE_BYTES = 1_048_576;

type Collect = (options: { readonly type: 'minor' }) => void;

const createCollector = (): CollectGarbage => {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as Collect;
  return () => collect({ type: 'minor' });
};

/** Counts the blocks that ports allocate. */
export default class GarbageMeter {
  #allocatedBytes = 0;

  private constructor(private readonly collect: CollectGarbage) {}

  /**
   * Creates a meter; the ports of a process share one.
   *
   * @example
   * const garbage = GarbageMeter.create();
   * socket.on('data', ({ length }: Buffer) => garbage.recordBlock(length));
   */
  static create(collect: CollectGarbage = createCollector()): GarbageMeter {
    return new GarbageMeter(collect);
  }

  /** Records a block of which at most its reader keeps a copy. */
  recordBlock(sizeBytes: number): void {
    this.#allocatedBytes += sizeBytes;
    if (this.#allocatedBytes >= MAX_GARBAGE_BYTES) {
      this.#allocatedBytes = 0;
      this.collect();
    }
  }
}
