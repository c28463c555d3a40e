/** @module The commands of the operators' command line. */
import { parseConfiguration, SettingsVerdict, describeProblem } from '@ebonysill/settings';
import {
  array,
  command,
  flag,
  multioption,
  number,
  option,
  optional,
  positional,
  string,
} from 'cmd-ts';
import { createAdminClient, type AdminClient } from './admin-client.js';
import { describeChanges, isAcceptable } from './describe-changes.js';
import { formatExplanation, type ProcessExplanation } from './format-explanation.js';
import formatStatus from './formatStatus.js';
import { formatBurnPage, formatBurnTable } from './format-burn.js';
import { generateConfiguration } from './generate-configuration.js';
import { mergeBurn } from './merge-burn.js';
import { ExitCode, print, reportFailure } from './output.js';
import { readAnswers, readConfiguration } from './read-file.js';

const adminOption = multioption({
  type: array(string),
  long: 'admin',
  description: 'Admin address of a process, such as http://127.0.0.1:9090; may be repeated',
});

const jsonFlag = flag({ long: 'json', description: 'Print JSON instead of a table' });

const printJson = (value: object): void => print(`${JSON.stringify(value, undefined, 2)}\n`);

/** Queries every process; those that do not answer are reported as a failure and left out. */
const queryAll = async <TResult>(
  urls: readonly string[],
  query: (client: AdminClient) => Promise<TResult>,
): Promise<readonly TResult[]> => {
  const results = await Promise.allSettled(urls.map((url) => query(createAdminClient(url))));
  const unansweredUrls = urls.filter((_, index) => results[index]?.status === 'rejected');
  if (unansweredUrls.length > 0) {
    reportFailure(
      ExitCode.Unavailable,
      unansweredUrls.map((url) => `${url}: no answer`),
    );
  }
  return results.flatMap((result) => (result.status === 'fulfilled' ? [result.value] : []));
};

/** `ebonysill status`. */
export const statusCommand = command({
  name: 'status',
  description: 'Shows the state of processes',
  args: { admin: adminOption, json: jsonFlag },
  handler: async ({ admin, json }) => {
    const statuses = await queryAll(admin, (client) => client.readStatus());
    if (json) {
      printJson(statuses);
    } else {
      print(formatStatus(statuses));
    }
  },
});

const explainAtProcess = async (
  client: AdminClient,
  requestId: string,
): Promise<ProcessExplanation> => {
  const [status, lines] = await Promise.all([client.readStatus(), client.explain(requestId)]);
  return { processId: status.processId, lines };
};

/** `ebonysill explain`. */
export const explainCommand = command({
  name: 'explain',
  description: 'Shows what became of a request, and why',
  args: {
    requestId: positional({ type: string, displayName: 'request-id' }),
    admin: adminOption,
    json: jsonFlag,
  },
  handler: async ({ requestId, admin, json }) => {
    const explanations = await queryAll(admin, (client) => explainAtProcess(client, requestId));
    if (json) {
      printJson(explanations);
    } else {
      print(formatExplanation(requestId, explanations));
    }
  },
});

const DEFAULT_OBJECTIVE = 0.999;

/** `ebonysill burn`. */
export const burnCommand = command({
  name: 'burn',
  description: 'Reports how fast services spend their error budgets, and on what',
  args: {
    admin: adminOption,
    objective: option({
      type: number,
      long: 'objective',
      description: 'Share of requests to be served, such as 0.999',
      defaultValue: () => DEFAULT_OBJECTIVE,
    }),
    html: flag({ long: 'html', description: 'Print one HTML page with a plot' }),
    json: jsonFlag,
  },
  handler: async ({ admin, objective, html, json }) => {
    if (objective <= 0 || objective >= 1) {
      reportFailure(ExitCode.Usage, ['--objective: expected a share between 0 and 1']);
      return;
    }
    const reports = await queryAll(admin, (client) => client.readBurn());
    const lines = mergeBurn(reports, objective);
    if (json) {
      printJson(lines);
    } else {
      print(html ? formatBurnPage(lines, objective) : formatBurnTable(lines));
    }
  },
});

/** `ebonysill check`. */
export const checkCommand = command({
  name: 'check',
  description: 'Checks a configuration and says what it would change',
  args: {
    file: positional({ type: string, displayName: 'configuration' }),
    against: option({
      type: optional(string),
      long: 'against',
      description: 'The configuration that is in force',
    }),
  },
  handler: async ({ file, against }) => {
    const next = await readConfiguration(file);
    const base = against === undefined ? undefined : await readConfiguration(against);
    if (next === undefined || (against !== undefined && base === undefined)) {
      return;
    }
    if (base === undefined) {
      print(`${file}: revision ${next.revision} is well formed\n`);
      return;
    }
    print(`${describeChanges(base, next).join('\n')}\n`);
    process.exitCode = isAcceptable(base, next) ? ExitCode.Ok : ExitCode.Configuration;
  },
});

/** `ebonysill init`. */
export const initCommand = command({
  name: 'init',
  description: 'Generates a configuration from the answers to the questionnaire',
  args: {
    answers: option({ type: string, long: 'answers', description: 'File with the answers' }),
    revision: option({ type: number, long: 'revision', defaultValue: () => 1 }),
  },
  handler: async ({ answers: file, revision }) => {
    const answers = await readAnswers(file);
    if (answers === undefined) {
      return;
    }
    const { text } = generateConfiguration(answers, revision);
    const checked = parseConfiguration(text, file);
    if (checked.kind === SettingsVerdict.Refused) {
      reportFailure(ExitCode.Configuration, checked.problems.map(describeProblem));
      return;
    }
    print(text);
  },
});
