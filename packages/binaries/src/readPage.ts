/** @module Health and readiness pages of an entry process. */
import { ServiceName, type FindService } from '@ebonysill/core';
import type { Page } from '@ebonysill/transport';

const PLAIN_TEXT = 'text/plain';

const OK = 200;

const SERVICE_UNAVAILABLE = 503;

/** Whether there is a configuration, and a link to at least one target of each service. */
const isReady = (find: FindService): boolean => {
  const configuration = find(ServiceName.Configuration);
  const linkedIds = find(ServiceName.Links)
    .peers()
    .map(({ processId }) => processId);
  const services = configuration.current()?.services;
  return (
    services !== undefined &&
    services.every(({ name }) =>
      configuration.targets(name).some(({ targetId }) => linkedIds.includes(targetId)),
    )
  );
};

/**
 * Returns the page at a path, or undefined if there is none.
 *
 * @example
 * readPage('/readyz', find)?.status; // 200 or 503
 */
const readPage = (path: string, find: FindService): Page | undefined => {
  switch (path) {
    case '/healthz':
      return { status: OK, contentType: PLAIN_TEXT, body: 'ok\n' };
    case '/readyz':
      return isReady(find)
        ? { status: OK, contentType: PLAIN_TEXT, body: 'ready\n' }
        : { status: SERVICE_UNAVAILABLE, contentType: PLAIN_TEXT, body: 'not ready\n' };
    default:
      return undefined;
  }
};

export default readPage;
