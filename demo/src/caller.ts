/** @module HTTP client that sends requests to entry processes as a caller does. */
import { Agent, request, type Dispatcher } from 'undici';
import { MODEL_SERVICE, PLAIN_SERVICE } from './fleet-plan.js';

/** An answer; `outcome` and `requestId` are empty if their header fields are missing. */
export interface Answer {
  readonly status: number;
  readonly outcome: string;
  readonly requestId: string;
  readonly body: string;
}

const agent = new Agent({ headersTimeout: 0, bodyTimeout: 0, connections: 2_000 });

const toAnswer = async ({
  statusCode,
  headers,
  body,
}: Dispatcher.ResponseData): Promise<Answer> => ({
  status: statusCode,
  outcome: String(headers['ebonysill-outcome'] ?? ''),
  requestId: String(headers['ebonysill-request-id'] ?? ''),
  body: await body.text(),
});

interface Post {
  readonly url: string;
  readonly credential: string;
  readonly body: string;
  readonly idempotencyKey?: string;
}

const post = async ({ url, credential, body, idempotencyKey }: Post): Promise<Answer> =>
  toAnswer(
    await request(url, {
      dispatcher: agent,
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${credential}`,
        ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
      },
      body,
    }),
  );

/**
 * JSON body of a streaming completion request to the model service.
 *
 * @example
 * completionBody('write a blurb', 16);
 */
export const completionBody = (prompt: string, tokenCount: number): string =>
  JSON.stringify({
    model: MODEL_SERVICE,
    stream: true,
    max_tokens: tokenCount,
    messages: [{ role: 'user', content: prompt }],
  });

/**
 * Posts a streaming completion to an entry process or, for comparison, to an engine.
 *
 * @example
 * await postCompletion(entry.url, credential, completionBody('hello', 8));
 */
export const postCompletion = (url: string, credential: string, body: string): Promise<Answer> =>
  post({ url: `${url}/v1/chat/completions`, credential, body });

/**
 * Obtains an idempotency key for a call to the plain service; rejects if the answer contains none.
 *
 * @example
 * const key = await mintKey(entry.url, credential);
 */
export const mintKey = async (url: string, credential: string): Promise<string> => {
  const body = JSON.stringify({ service: PLAIN_SERVICE });
  const answer = await post({ url: `${url}/v1/idempotency-keys`, credential, body });
  const { idempotencyKey } = JSON.parse(answer.body) as { idempotencyKey?: string };
  if (idempotencyKey === undefined) {
    throw new Error(`no key was minted: ${answer.body}`);
  }
  return idempotencyKey;
};

/**
 * Posts a non-idempotent call to the plain service under a key.
 *
 * @example
 * await postKeyed(entry.url, credential, key, '{"seat":7}');
 */
export const postKeyed = (
  url: string,
  credential: string,
  idempotencyKey: string,
  body: string,
): Promise<Answer> =>
  post({ url: `${url}/services/${PLAIN_SERVICE}/seats`, credential, body, idempotencyKey });

/**
 * Posts an idempotent call to the plain service.
 *
 * @example
 * await postIdempotent(entry.url, credential, '{"hall":7}');
 */
export const postIdempotent = (url: string, credential: string, body: string): Promise<Answer> =>
  post({ url: `${url}/services/${PLAIN_SERVICE}/search`, credential, body });
