/** @module Client for the admin server of a process. */
import { createTRPCClient, httpBatchLink } from '@trpc/client';
import type { AdminRouter, LoggedDecision, ProcessStatus, ServiceBurn } from '@ebonysill/transport';

/** Calls to one process; they reject if it does not answer. */
export interface AdminClient {
  readonly url: string;
  readonly readStatus: () => Promise<ProcessStatus>;
  readonly explain: (requestId: string) => Promise<readonly LoggedDecision[]>;
  readonly readBurn: () => Promise<readonly ServiceBurn[]>;
}

/**
 * Creates a client for the admin address of one process.
 *
 * @example
 * const status = await createAdminClient('http://127.0.0.1:9090').readStatus();
 */
export const createAdminClient = (url: string): AdminClient => {
  const client = createTRPCClient<AdminRouter>({ links: [httpBatchLink({ url })] });
  return {
    url,
    readStatus: async () => (await client.status.query()) as ProcessStatus,
    readBurn: () => client.burn.query(),
    explain: (requestId) => client.explain.query({ requestId }),
  };
};
