/** @module Rules for credentials. Texts name organisations and never contain a credential. */
import type { PublishedConfiguration } from '@ebonysill/gateway';
import { RuleName, Severity, findingsOf, quote, type FieldPath } from './finding.js';
import type { ConfigurationRule } from './rule.js';

interface ListedCredential {
  readonly credential: string;
  readonly organisation: string;
  readonly path: FieldPath;
}

const listCredentials = ({ organisations }: PublishedConfiguration): readonly ListedCredential[] =>
  organisations.flatMap(({ name, credentials }, index) =>
    credentials.map((credential, position) => ({
      credential,
      organisation: name,
      path: ['organisations', index, 'credentials', position],
    })),
  );

/** Reports credentials that are listed twice: the last organisation that lists one gets its requests. */
export const findRepeatedCredentials: ConfigurationRule = ({ next }) => {
  const owners = new Map<string, string>();
  return listCredentials(next)
    .filter(({ credential }) => credential !== '')
    .flatMap(({ credential, organisation, path }) => {
      const owner = owners.get(credential);
      owners.set(credential, organisation);
      if (owner === undefined) {
        return [];
      }
      return owner === organisation
        ? [
            findingsOf(Severity.Warning, RuleName.RepeatedCredential)(
              path,
              `organisation ${quote(owner)} lists the credential more than once`,
            ),
          ]
        : [
            findingsOf(Severity.Error, RuleName.RepeatedCredential)(
              path,
              `the credential is also that of organisation ${quote(owner)}; its requests count for ${quote(organisation)}`,
            ),
          ];
    });
};

/** Reports empty credentials, which identify nobody. */
export const findEmptyCredentials: ConfigurationRule = ({ next }) =>
  listCredentials(next)
    .filter(({ credential }) => credential === '')
    .map(({ path }) =>
      findingsOf(Severity.Error, RuleName.EmptyCredential)(
        path,
        'an empty credential identifies nobody',
      ),
    );

/** Reports that routes need a credential and no organisation has one. */
export const findNoCredentials: ConfigurationRule = ({ next }) => {
  const closedCount = next.routes.filter(({ isPublic }) => !isPublic).length;
  const hasCredential = listCredentials(next).some(({ credential }) => credential !== '');
  return next.needsCredentials && closedCount > 0 && !hasCredential
    ? [
        findingsOf(Severity.Warning, RuleName.NoCredentials)(
          ['organisations'],
          `no organisation has a credential; all requests to ${closedCount} routes get 401`,
        ),
      ]
    : [];
};
