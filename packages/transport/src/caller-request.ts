/** @module Decodes HTTP requests of callers. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import {
  CallerIntent,
  EventKind,
  Reason,
  notRun,
  type CallerRequestEvent,
  type Problem,
} from '@ebonysill/core';
import { z } from 'zod';

/** Chat completions, streamed or not. */
const COMPLETIONS_PATH = '/v1/chat/completions';

/** Minting of idempotency keys. */
const KEYS_PATH = '/v1/idempotency-keys';

/** Calls to plain services: `/services/{service}/{path}`. */
const SERVICES_PATTERN = /^\/services\/([\w-]{1,64})(\/.*)$/;

const DEFAULT_PRIORITY = 5;

const completionSchema = z.object({ model: z.string().min(1) });

const keyRequestSchema = z.object({ service: z.string().min(1) });

const deadlineSchema = z.coerce.number().int().min(1).max(3_600_000);

const prioritySchema = z.coerce.number().int().min(0).max(9);

/** A decoded request, or why it is refused: it is malformed, or nothing is served at its path. */
export type DecodedRequest = CallerRequestEvent | Problem;

/**
 * Whether the request is refused.
 *
 * @example
 * if (isProblem(decoded)) refuse(decoded);
 */
export const isProblem = (decoded: DecodedRequest): decoded is Problem => 'outcome' in decoded;

const malformed = (detail: string): Problem => notRun(Reason.MalformedRequest, detail);

const headerOf = (headers: IncomingHttpHeaders, name: string): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const parseJson = (body: string): unknown => {
  try {
    return JSON.parse(Buffer.from(body, 'latin1').toString('utf8'));
  } catch {
    return undefined;
  }
};

interface Destination {
  readonly intent: CallerIntent;
  readonly service: string;
  readonly path: string;
}

/** Whether anything is served there, as far as the head shows. */
const isServedAt = (method: string, url: string): boolean =>
  SERVICES_PATTERN.test(url) ||
  (method === 'POST' && (url === COMPLETIONS_PATH || url === KEYS_PATH));

const unknownService = (method: string, url: string): Problem =>
  notRun(Reason.UnknownService, `nothing is served at ${method} ${url}`);

const destinationOf = (method: string, url: string, body: string): Destination | Problem => {
  const [, service, path] = SERVICES_PATTERN.exec(url) ?? [];
  if (service !== undefined && path !== undefined) {
    return { intent: CallerIntent.Run, service, path };
  }
  if (method === 'POST' && url === COMPLETIONS_PATH) {
    const parsed = completionSchema.safeParse(parseJson(body));
    return parsed.success
      ? { intent: CallerIntent.Run, service: parsed.data.model, path: url }
      : malformed('expected a JSON object with the field "model"');
  }
  if (method === 'POST' && url === KEYS_PATH) {
    const parsed = keyRequestSchema.safeParse(parseJson(body));
    return parsed.success
      ? { intent: CallerIntent.MintKey, service: parsed.data.service, path: url }
      : malformed('expected a JSON object with the field "service"');
  }
  return unknownService(method, url);
};

type HeadFields = Pick<
  CallerRequestEvent,
  'contentType' | 'credential' | 'priority' | 'idempotencyKey' | 'deadlineMs'
>;

const decodeFields = (headers: IncomingHttpHeaders): HeadFields | Problem => {
  const [, credential] = /^Bearer (\S{1,512})$/.exec(headers.authorization ?? '') ?? [];
  const deadlineText = headerOf(headers, 'ebonysill-deadline-ms');
  const deadline = deadlineSchema.optional().safeParse(deadlineText);
  const priority = prioritySchema
    .default(DEFAULT_PRIORITY)
    .safeParse(headerOf(headers, 'ebonysill-priority'));
  const idempotencyKey = headerOf(headers, 'idempotency-key');
  if (!deadline.success) {
    return malformed('expected 1 to 3600000 in Ebonysill-Deadline-Ms');
  }
  if (!priority.success) {
    return malformed('expected 0 to 9 in Ebonysill-Priority');
  }
  return {
    contentType: headers['content-type'] ?? '',
    credential: credential ?? '',
    priority: priority.data,
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    ...(deadline.data === undefined ? {} : { deadlineMs: deadline.data }),
  };
};

/**
 * Returns why a request is refused by its head alone; undefined if its body decides.
 *
 * @example
 * const problem = checkCallerHead(request);
 */
export const checkCallerHead = ({
  headers,
  method = '',
  url = '',
}: IncomingMessage): Problem | undefined => {
  if (!isServedAt(method, url)) {
    return unknownService(method, url);
  }
  const fields = decodeFields(headers);
  return 'outcome' in fields ? fields : undefined;
};

/**
 * Decodes a caller's request. The body holds one character per byte, so that binary data is
 * preserved.
 *
 * @example
 * const decoded = decodeCallerRequest('x1', request, body);
 */
export const decodeCallerRequest = (
  exchangeId: string,
  request: IncomingMessage,
  body: string,
): DecodedRequest => {
  const { headers, method = '', url = '' } = request;
  const destination = destinationOf(method, url, body);
  if ('outcome' in destination) {
    return destination;
  }
  const fields = decodeFields(headers);
  return 'outcome' in fields
    ? fields
    : { kind: EventKind.CallerRequest, exchangeId, ...destination, method, body, ...fields };
};
