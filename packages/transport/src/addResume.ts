/** @module Adds to a request body the delivered text, after which the engine continues. */

const END_OF_OBJECT = '}';

/** Adds the field `resume` to a JSON object given as text. */
type AddResume = (body: string, afterChunks: number, text: string) => string;

/**
 * Adds the number of delivered chunks and their text to a request body. A body that does not end
 * with `}` is returned unchanged, since it is not a JSON object.
 *
 * @example
 * addResume('{"model":"a"}', 2, 'x'); // '{"model":"a","resume":{"afterChunks":2,"text":"x"}}'
 */
const addResume: AddResume = (body, afterChunks, text) => {
  const trimmed = body.trimEnd();
  if (!trimmed.endsWith(END_OF_OBJECT)) {
    return body;
  }
  const fields = trimmed.slice(0, -END_OF_OBJECT.length);
  const comma = fields.trimEnd().endsWith('{') ? '' : ',';
  const resume = JSON.stringify({ afterChunks, text });
  return `${fields}${comma}"resume":${resume}${END_OF_OBJECT}`;
};

export default addResume;
