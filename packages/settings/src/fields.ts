/** @module Schemas of fields that occur in several kinds of files. */
import * as z from 'zod';

const MAX_PORT = 65_535;

/** Name of a process, target, service, zone, organisation, group or rank. */
export const nameField = z
  .string()
  .regex(/^[\w-]{1,64}$/, 'expected 1 to 64 letters, digits, "-" or "_"');

/** IP address, version 4 or 6; host names are refused. */
export const ipField = z.union([z.ipv4(), z.ipv6()], 'expected an IP number');

/** Port; 0 lets the operating system choose. */
export const portField = z.int().min(0).max(MAX_PORT);

/** URL with the scheme http. */
export const urlField = z.url({ protocol: /^http$/, error: 'expected an http address' });
