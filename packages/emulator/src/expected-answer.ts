/** @module The answer that a fake target gives to a request body. */

/**
 * Returns one chunk of the answer to a request body.
 *
 * @example
 * chunkOf('blurb', 2); // 'blurb/2;'
 */
export const chunkOf = (body: string, sequence: number): string => `${body}/${sequence};`;

/**
 * Returns the complete answer to a request body.
 *
 * @example
 * expectedAnswer('blurb', 2); // 'blurb/0;blurb/1;'
 */
export const expectedAnswer = (body: string, chunkCount: number): string =>
  Array.from({ length: chunkCount }, (_, sequence) => chunkOf(body, sequence)).join('');
