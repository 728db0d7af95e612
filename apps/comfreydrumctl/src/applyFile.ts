import { readFile } from 'node:fs/promises';
import * as configuration from '@comfreydrum/configuration';
import * as errors from '@comfreydrum/errors';
import { CommandFailure } from './CommandFailure';
import { describeError, type AdminClient } from './createAdminClient';
import { describeDifference } from './describeDifference';
import { exitCodes } from './exitCodes';
import { waitUntilInForce } from './waitUntilInForce';

/** Options of the `apply` command. */
export interface ApplyOptions {
  /** The revision that must be in force; defaults to the one that the daemon reports. */
  readonly expect?: string | undefined;
  readonly dryRun: boolean;
  readonly wait: boolean;
  readonly print: (line: string) => void;
}

const step = 'apply';

const readDocument = async (file: string): Promise<configuration.Configuration> => {
  let document: unknown;
  try {
    document = JSON.parse(await readFile(file, 'utf8'));
  } catch (cause) {
    const message = `${file}: ${errors.describeCause(cause)}`;
    throw new CommandFailure(step, file, message, exitCodes.usage);
  }
  const checked = configuration.checkConfiguration(document, file);
  if (checked.ok) return checked.value;
  throw new CommandFailure(step, file, checked.error.message, exitCodes.usage);
};

interface CurrentConfiguration {
  readonly revision: string;
  readonly document: unknown;
}

const fetchCurrentConfiguration = async (
  client: AdminClient,
  team: string,
): Promise<CurrentConfiguration> => {
  const response = await client.call('GET', `/v1/configurations/${team}`);
  if (response.statusCode !== 200) return { revision: 'none', document: {} };
  const { revision, document } = response.body as { readonly revision: number; document: unknown };
  return { revision: String(revision), document };
};

const printDifference = (before: unknown, after: unknown, print: ApplyOptions['print']) => {
  const lines = describeDifference(before, after);
  lines.forEach(print);
  if (lines.length === 0) print('no difference');
};

/** Applies the configuration file of a team; in a dry run, only prints what it would change. */
export const applyFile = async (
  client: AdminClient,
  file: string,
  options: ApplyOptions,
): Promise<void> => {
  const document = await readDocument(file);
  const current = await fetchCurrentConfiguration(client, document.team);
  if (options.dryRun) printDifference(current.document, document, options.print);
  const response = await client.call(
    'PUT',
    `/v1/configurations/${document.team}?dryRun=${options.dryRun}`,
    { body: document, headers: { 'x-expected-revision': options.expect ?? current.revision } },
  );
  const result = response.body as configuration.ApplyResult;
  switch (result.kind) {
    case 'accepted':
      options.print(`${document.team}: accepted as revision ${result.revision}`);
      if (options.wait) {
        await waitUntilInForce(client, document.team, result.revision, options.print);
      }
      return;
    case 'checked':
      options.print(`${document.team}: would become revision ${result.revision}`);
      return;
    case 'conflict': {
      const message = `${document.team}: revision ${result.winnerRevision} is in force instead of ${options.expect ?? current.revision}`;
      throw new CommandFailure(step, client.url, message, exitCodes.conflict);
    }
    case 'unavailable': {
      const written = result.written === 'no' ? 'nothing was written' : 'it may still take effect';
      const message = `${result.message}; ${written}`;
      throw new CommandFailure(step, client.url, message, exitCodes.unavailable);
    }
    default:
      throw new CommandFailure(step, client.url, describeError(response), exitCodes.failure);
  }
};
