/** @module The deterministic answer of the model engine stand-in. */
import { createHash } from 'node:crypto';

const WORDS: readonly string[] = ['cart', 'image', 'tea', 'dance', 'driver', 'hall', 'നൃത്തം', 'ചായ'];

const ID_CHARS = 12;

const digestOf = (body: string): Buffer => createHash('sha256').update(body).digest();

/**
 * Returns one server-sent event of the streamed answer to a request body.
 *
 * @example
 * completionChunk('{"model":"assistant"}', 0); // 'data: {"id":…}\n\n'
 */
export const completionChunk = (body: string, index: number): string => {
  const digest = digestOf(body);
  const word = WORDS[(digest[index % digest.length] ?? 0) % WORDS.length] ?? '';
  const chunk = {
    id: `chatcmpl-${digest.toString('hex').slice(0, ID_CHARS)}`,
    object: 'chat.completion.chunk',
    choices: [{ index: 0, delta: { content: `${word} ${index} ` }, finish_reason: null }],
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
};

/** Last event of every streamed answer. */
export const completionEnd = 'data: [DONE]\n\n';
