import { readFile, writeFile } from 'node:fs/promises';
import process from 'node:process';
import type * as admin from '@comfreydrum/admin';
import * as telemetry from '@comfreydrum/telemetry';
import * as commander from 'commander';
import { addCompletion } from './addCompletion';
import { applyFile } from './applyFile';
import { CommandFailure } from './CommandFailure';
import { createAdminClient, describeError, type AdminClient } from './createAdminClient';
import { exitCodes } from './exitCodes';
import { explainFromLogs, readLogLines } from './explainFromLogs';
import { formatStatus } from './formatStatus';
import { formatTimeline } from './formatTimeline';

interface GlobalOptions {
  readonly url: string;
  readonly token: string;
  readonly json: boolean;
}

const program = new commander.Command('comfreydrumctl')
  .description('Operates a fleet of comfreydrum daemons.')
  .version('0.1.0')
  .addOption(
    new commander.Option('--url <url>', 'administration interface of any daemon')
      .env('COMFREYDRUM_URL')
      .default('http://127.0.0.1:8081'),
  )
  .addOption(
    new commander.Option('--token <token>', 'operator token').env('COMFREYDRUM_TOKEN').default(''),
  )
  .option('--json', 'print JSON', false)
  .exitOverride();

const print = (text: string) => {
  process.stdout.write(`${text}\n`);
};

const getClient = (): { readonly client: AdminClient; readonly json: boolean } => {
  const options = program.opts<GlobalOptions>();
  return { client: createAdminClient(options.url, options.token), json: options.json };
};

const fetchBody = async (path: string): Promise<unknown> => {
  const { client } = getClient();
  const response = await client.call('GET', path);
  if (response.statusCode === 200) return response.body;
  throw new CommandFailure('get', client.url, describeError(response), exitCodes.failure);
};

program
  .command('apply <file>')
  .description('apply the whole configuration of a team')
  .option('--expect <revision>', 'revision that must be in force, or "none"')
  .option('--dry-run', 'print the difference and change nothing', false)
  .option('--wait', 'wait until every daemon has it in force', false)
  .action(async (file: string, options: { expect?: string; dryRun: boolean; wait: boolean }) => {
    await applyFile(getClient().client, file, { ...options, print });
  });

program
  .command('get [team]')
  .description('print the configuration of a team, or the revisions of all')
  .action(async (team?: string) => {
    const path = team === undefined ? '/v1/configurations' : `/v1/configurations/${team}`;
    print(JSON.stringify(await fetchBody(path), null, 2));
  });

program
  .command('status')
  .description('print daemons, groups and what the platform is asked for')
  .action(async () => {
    const fleet = (await fetchBody('/v1/fleet')) as admin.FleetStatus;
    print(getClient().json ? JSON.stringify(fleet, null, 2) : formatStatus(fleet));
  });

program
  .command('drain')
  .description('make the daemon at --url unready and let its requests end')
  .action(async () => {
    const { client } = getClient();
    await client.call('POST', '/v1/drain');
    print(`${client.url}: draining`);
  });

program
  .command('timeline')
  .description('print the events of all daemons in causal order')
  .addOption(
    new commander.Option('--format <format>', 'how to print')
      .choices(['table', 'lines', 'trace'])
      .default('table'),
  )
  .option('--output <file>', 'write to a file')
  .action(async (options: { format: 'table' | 'lines' | 'trace'; output?: string }) => {
    const events = (await fetchBody('/v1/timeline')) as readonly telemetry.TimelineEvent[];
    const formats = {
      table: () => formatTimeline(events),
      lines: () => events.map((event) => JSON.stringify(event)).join('\n'),
      trace: () => telemetry.toTraceEvents(events),
    } as const;
    const text = formats[options.format]();
    if (options.output === undefined) print(text);
    else await writeFile(options.output, text);
  });

program
  .command('explain <requestId>')
  .description('print why a request went where it went')
  .action(async (requestId: string) => {
    const path = `/v1/timeline?requestId=${encodeURIComponent(requestId)}`;
    const events = (await fetchBody(path)) as readonly telemetry.TimelineEvent[];
    if (events.length === 0) {
      const message = `no daemon keeps an event of request ${requestId}`;
      throw new CommandFailure('explain', getClient().client.url, message, exitCodes.failure);
    }
    print(getClient().json ? JSON.stringify(events, null, 2) : formatTimeline(events));
  });

const ledger = program.command('ledger').description('claims of non-idempotent requests');

ledger
  .command('unknown')
  .description('list the claims whose outcome is unknown')
  .action(async () => print(JSON.stringify(await fetchBody('/v1/ledger/unknown'), null, 2)));

ledger
  .command('resolve <claimId>')
  .description('end an unknown claim')
  .addOption(
    new commander.Option('--outcome <outcome>', 'what happened')
      .choices(['ran', 'not-run'])
      .makeOptionMandatory(),
  )
  .requiredOption('--who <name>', 'who says so')
  .action(async (claimId: string, options: { outcome: string; who: string }) => {
    const { client } = getClient();
    const response = await client.call('POST', '/v1/ledger/resolve', {
      body: { claimId, ...options },
    });
    if (response.statusCode !== 200) {
      throw new CommandFailure('resolve', client.url, describeError(response), exitCodes.failure);
    }
    print(`${claimId}: ${options.outcome}`);
  });

program
  .command('explain-logs <id> <files...>')
  .description('tell the story of a request, group or target from the logs of daemons')
  .action(async (id: string, files: readonly string[]) => {
    const texts = await Promise.all(files.map((file) => readFile(file, 'utf8')));
    const lines = explainFromLogs(id, texts.flatMap(readLogLines));
    if (lines.length === 0) {
      const message = `no line of ${files.join(', ')} names "${id}"`;
      throw new CommandFailure('explain-logs', files.join(', '), message, exitCodes.failure);
    }
    lines.forEach(print);
  });

addCompletion(program);

try {
  await program.parseAsync();
} catch (cause) {
  if (cause instanceof CommandFailure) {
    process.stderr.write(`${cause.step}: ${cause.message}\n`);
    process.exitCode = cause.exitCode;
  } else if (cause instanceof commander.CommanderError) {
    process.exitCode = cause.exitCode === 0 ? exitCodes.success : exitCodes.usage;
  } else {
    throw cause;
  }
}
