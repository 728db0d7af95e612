import process from 'node:process';
import * as errors from '@comfreydrum/errors';
import * as lifecycle from '@comfreydrum/lifecycle';
import type * as settings from '@comfreydrum/settings';
import { createContainer } from './createContainer';
import { tokens } from './tokens';

/** Starts a daemon. On SIGTERM or SIGINT, stops its components in reverse order and exits. */
export const runDaemon = async (daemonSettings: settings.Settings): Promise<void> => {
  const container = await createContainer(daemonSettings);
  const log = container.resolve(tokens.log);
  const timeline = container.resolve(tokens.timeline);
  const daemonLifecycle = lifecycle.createLifecycle((componentName, cause) =>
    log.error(
      { step: 'stop', part: componentName, cause: errors.describeCause(cause) },
      'failed to stop component',
    ),
  );
  daemonLifecycle.register(container.resolve(tokens.platform).component);
  daemonLifecycle.register(container.resolve(tokens.peers).component);
  daemonLifecycle.register(container.resolve(tokens.configuration).component);
  daemonLifecycle.register(container.resolve(tokens.groups).component);
  daemonLifecycle.register(container.resolve(tokens.ledger));
  daemonLifecycle.register(container.resolve(tokens.admin));
  daemonLifecycle.register(container.resolve(tokens.gateway).component);

  let isStopping = false;
  const stop = async (signal: string) => {
    log.info({ step: 'stop', signal }, isStopping ? 'stopping already' : 'stopping');
    if (isStopping) return;
    isStopping = true;
    await daemonLifecycle.stop();
    log.info({ step: 'stop' }, 'stopped');
    process.exit(0);
  };
  const onSignal = (signal: string) => {
    void stop(signal);
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);

  await daemonLifecycle.start();
  if (isStopping) return;
  timeline.record('daemon started');
  log.info({ step: 'start', gateway: daemonSettings.gateway.listen }, 'started');
};
