import './ignoreHangup';
import process from 'node:process';
import * as errors from '@comfreydrum/errors';
import * as operatorsPlatform from '@comfreydrum/operators-platform/settingsFileVariable';
import * as settings from '@comfreydrum/settings';
import * as commander from 'commander';

interface Options {
  readonly settings: string;
  readonly check: boolean;
}

const program = new commander.Command('comfreydrumd')
  .description('The comfreydrum daemon of an entry instance.')
  .version('0.1.0');

const settingsOption = () =>
  new commander.Option('--settings <file>', 'JSON file with the settings of this instance')
    .env(operatorsPlatform.settingsFileVariable)
    .makeOptionMandatory();

const checkOption = () =>
  new commander.Option('--check', 'check the settings and exit').default(false);

const loadServeSettings = (file: string) =>
  settings.loadSettings(file, process.env, operatorsPlatform.settingsFileVariable);

/** Loads the settings and runs the daemon; with `--check`, only validates the settings. */
const start = async <Loaded>(
  { settings: file, check }: Options,
  load: (file: string) => Promise<errors.Result<Loaded>>,
  run: (loaded: Loaded) => Promise<void>,
) => {
  const loaded = await load(file);
  if (!loaded.ok) {
    process.stderr.write(`${loaded.error.message}\n`);
    process.exitCode = 2;
    return;
  }
  if (check) {
    process.stdout.write(`${file}: valid\n`);
    return;
  }
  try {
    await run(loaded.value);
  } catch (cause) {
    const detail = cause instanceof Error && cause.cause ? errors.describeCause(cause.cause) : '';
    process.stderr.write(`${errors.describeCause(cause)}: ${detail}\n`);
    process.exit(1);
  }
};

program
  .command('serve', { isDefault: true })
  .description('Serve through the interface of comfreydrum.')
  .addOption(settingsOption())
  .addOption(checkOption())
  .action((options: Options) =>
    start(options, loadServeSettings, async (loaded) => {
      const { runDaemon } = await import('./runDaemon');
      await runDaemon(loaded);
    }),
  );

program
  .command('relay')
  .description("Serve on the operators' platform.")
  .addOption(settingsOption())
  .addOption(checkOption())
  .action((options: Options) =>
    start(options, settings.loadRelaySettings, async (loaded) => {
      const { runRelayDaemon } = await import('./relay/runRelayDaemon');
      await runRelayDaemon(loaded, options.settings);
    }),
  );

await program.parseAsync();
