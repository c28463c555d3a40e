/** @module Schemas of fields that several files share. */
import * as z from 'zod';

const MAX_PORT = 65_535;

/** Name of a process, target, service, zone or organisation. */
export const nameField = z
  .string()
  .regex(/^[\w-]{1,64}$/, 'expected 1 to 64 letters, digits, "-" or "_"');

/** IP number. */
export const ipField = z.union([z.ipv4(), z.ipv6()], 'expected an IP number');

/** TCP port; 0 lets the system choose. */
export const portField = z.int().min(0).max(MAX_PORT);

/** HTTP address by IP number. */
export const urlField = z.url({ protocol: /^http$/, error: 'expected an http address' });
