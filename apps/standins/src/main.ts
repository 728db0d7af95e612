/** Runs one stand-in as a separate process. */
import * as commander from 'commander';
import * as testing from '@comfreydrum/testing';

const parseNumber = (text: string): number => {
  const value = Number(text);
  if (Number.isNaN(value)) throw new commander.InvalidArgumentError('expected a number');
  return value;
};

const print = (event: string, fields: object = {}) =>
  process.stdout.write(`${JSON.stringify({ event, ...fields })}\n`);

const crashExitCode = 70;

const crash = () => {
  print('crash');
  process.exit(crashExitCode);
};

interface DrainableStandin extends testing.Standin {
  readonly leave?: () => void;
  readonly isIdle?: () => Promise<boolean>;
}

interface DrainOptions {
  readonly leaveMs: number;
  readonly minLeaveMs: number;
}

const exitImmediately: DrainOptions = { leaveMs: 0, minLeaveMs: 0 };

/** Waits at least `minLeaveMs`, and then until all requests have ended or `leaveMs` have passed. */
const waitUntilDrained = async (
  standin: DrainableStandin,
  { leaveMs, minLeaveMs }: DrainOptions,
) => {
  const startMs = performance.now();
  const isDrained = async () => {
    const elapsedMs = performance.now() - startMs;
    if (elapsedMs < minLeaveMs) return false;
    if (elapsedMs >= leaveMs) return true;
    return standin.isIdle ? standin.isIdle() : standin.activeCount() === 0;
  };
  await testing.waitUntil(isDrained, Math.max(leaveMs, minLeaveMs) + 5_000, 'the last request', 20);
};

/** Starts a stand-in. On SIGTERM, waits for its requests to end before the process exits. */
const serve = async (standin: DrainableStandin, drainOptions: DrainOptions) => {
  const { url } = await standin.start();
  print('listening', { url });
  process.once('SIGTERM', () => {
    standin.leave?.();
    print('leaving', { atMs: Date.now(), activeCount: standin.activeCount() });
    void waitUntilDrained(standin, drainOptions).then(() => {
      print('left', { activeCount: standin.activeCount() });
      process.exit(0);
    });
  });
};

const program = new commander.Command('standins').description(
  'Stand-ins for the outside of comfreydrum.',
);

const leaveFlag = '--leave-ms <ms>';
const leaveHelp = 'time that requests get to end at SIGTERM';
const minLeaveFlag = '--min-leave-ms <ms>';
const minLeaveHelp = 'time that the process stays after SIGTERM, also without requests';
const defaultLeaveMs = 60_000;
const listenFlag = '--listen <address>';
const listenHelp = 'IP:port; port 0 picks a free one';

program
  .command('platform')
  .description('the object API, with versions, watches and faults')
  .option(listenFlag, listenHelp, '127.0.0.1:0')
  .option('--history-length <count>', 'changes kept for watches', parseNumber)
  .option('--reads-per-second <count>', 'rate of reads and watches', parseNumber)
  .option('--writes-per-second <count>', 'rate of writes', parseNumber)
  .option('--instance-lag-ms <ms>', 'lag of the instance list', parseNumber)
  .action((options: testing.PlatformStandinOptions) =>
    serve(testing.createPlatformStandin(options), exitImmediately),
  );

interface EngineCommandOptions extends testing.EngineOptions, DrainOptions {
  readonly printServed: boolean;
}

program
  .command('engine')
  .description('one instance of a model engine')
  .option(listenFlag, listenHelp, '127.0.0.1:0')
  .option('--instance-id <name>', 'name of the instance')
  .option('--token-ms <ms>', 'time of a step with one request', parseNumber)
  .option('--token-ms-per-running <ms>', 'time each further request adds to a step', parseNumber)
  .option('--prefill-ms-per-token <ms>', 'time of an uncached prompt token', parseNumber)
  .option('--max-running <count>', 'requests in the batch', parseNumber)
  .option('--load-ms <ms>', 'time to load a model', parseNumber)
  .option('--cache-tokens <count>', 'size of the prefix cache', parseNumber)
  .option('--load-lag-ms <ms>', 'lag of the load report', parseNumber)
  .option('--cache-event-delay-ms <ms>', 'lag of cache events', parseNumber)
  .option('--cache-event-loss-fraction <fraction>', 'cache events never published', parseNumber)
  .addOption(
    new commander.Option('--fencing <mode>', 'what old generations meet').choices([
      'checked',
      'ignored',
    ]),
  )
  .option('--crash-on <text>', 'text of a prompt that ends the process')
  .option('--print-served', 'print a line for each request that starts to run', false)
  .option('--preloaded-model <name>', 'model loaded without an order')
  .option('--local-address <ip>', 'source IP of calls to members')
  .option('--random-seed <seed>', 'seed of lost cache events', parseNumber)
  .option(leaveFlag, leaveHelp, parseNumber, defaultLeaveMs)
  .option(minLeaveFlag, minLeaveHelp, parseNumber, 0)
  .action((options: EngineCommandOptions) =>
    serve(
      testing.createEngineStandin({
        ...options,
        onCrash: crash,
        onServed: options.printServed ? (served) => print('served', served) : undefined,
      }),
      options,
    ),
  );

interface ServiceCommandOptions extends testing.ServiceStandinOptions, DrainOptions {}

program
  .command('service')
  .description('a plain service, some of whose calls may not be repeated')
  .option(listenFlag, listenHelp, '127.0.0.1:0')
  .option('--instance-id <name>', 'name of the instance')
  .option('--latency-ms <ms>', 'time before and after a run', parseNumber)
  .option('--crash-on <text>', 'text of a filing or a case that ends the process')
  .option('--honour-key', 'run a repeated Idempotency-Key once')
  .option('--record-file <file>', 'file of the runs, shared by instances of the service')
  .option(leaveFlag, leaveHelp, parseNumber, defaultLeaveMs)
  .option(minLeaveFlag, minLeaveHelp, parseNumber, 0)
  .action((options: ServiceCommandOptions) =>
    serve(testing.createServiceStandin({ ...options, onCrash: crash }), options),
  );

await program.parseAsync();
