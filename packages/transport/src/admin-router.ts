/** @module Typed tRPC router of the calls for operators. */
import type { LoadReport, Peer, ProcessRole } from '@ebonysill/core';
import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import type { ServiceBurn } from './burn-meter.js';
import type { LoggedDecision } from './decision-log.js';
import type { DropCount } from './DropCounters.js';

/** Answer to `status`. */
export interface ProcessStatus {
  readonly processId: string;
  readonly role: ProcessRole;
  readonly availabilityZone: string;
  readonly revision: number;
  readonly load: LoadReport | undefined;
  readonly peers: readonly Peer[];
  /** Resident set size of the process. */
  readonly residentBytes: number;
  readonly uptimeMs: number;
}

/** Functions that answer the calls. */
export interface AdminFunctions {
  readonly readStatus: () => ProcessStatus;
  readonly explain: (requestId: string) => readonly LoggedDecision[];
  readonly readBurn: () => readonly ServiceBurn[];
  readonly readDrops: () => readonly DropCount[];
}

const trpc = initTRPC.create();

const MAX_REQUEST_ID_CHARS = 64;

/**
 * Builds the router of one process.
 *
 * @example
 * const router = adminRouter({ readStatus, explain, readBurn });
 */
export const adminRouter = ({ readStatus, explain, readBurn }: Omit<AdminFunctions, 'readDrops'>) =>
  trpc.router({
    status: trpc.procedure.query(() => readStatus()),
    burn: trpc.procedure.query(() => readBurn()),
    explain: trpc.procedure
      .input(z.object({ requestId: z.string().max(MAX_REQUEST_ID_CHARS) }))
      .query(({ input }) => explain(input.requestId)),
  });

/** Type of the router, for clients. */
export type AdminRouter = ReturnType<typeof adminRouter>;
