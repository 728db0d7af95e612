import process from 'node:process';
import * as errors from '@comfreydrum/errors';
import * as lifecycle from '@comfreydrum/lifecycle';
import * as settings from '@comfreydrum/settings';
import * as telemetry from '@comfreydrum/telemetry';
import { createRelayContainer } from './createRelayContainer';
import { createTextListener } from './createTextListener';
import { relayTokens } from './relayTokens';

const okStatus = 200;
const unavailableStatus = 503;

/**
 * Reads the settings file again and applies the log level. Logs which settings differ from those at the
 * start; all except the log level take effect at the next start.
 */
const reload = async (file: string, log: telemetry.Log, current: settings.RelaySettings) => {
  const loaded = await settings.loadRelaySettings(file);
  if (!loaded.ok) {
    const { step, peer, message } = loaded.error;
    log.error({ step, peer }, `failed to reload settings, keeping the current ones: ${message}`);
    return;
  }
  const changed = Object.entries(loaded.value)
    .filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(Reflect.get(current, name)))
    .map(([name]) => name);
  telemetry.setLogLevel(log, loaded.value.log.level);
  log.info(
    { step: 'reload', changed },
    'settings reloaded; changes other than the log level take effect at the next start',
  );
};

/**
 * Runs a daemon that relays requests, with the platform adapter of `@comfreydrum/operators-platform`, until
 * SIGTERM or SIGINT.
 */
export const runRelayDaemon = async (
  daemonSettings: settings.RelaySettings,
  settingsFile: string,
): Promise<void> => {
  const { instanceId, log: logSettings } = daemonSettings;
  const buffered = telemetry.createBufferedLog({ level: logSettings.level, instanceId });
  const { log } = buffered;
  const container = await createRelayContainer(daemonSettings, log);
  const metrics = container.resolve(relayTokens.metrics);
  const relay = container.resolve(relayTokens.relay);
  const platform = container.resolve(relayTokens.platform);
  metrics.sampledCounter(
    'comfreydrum_log_drops_total',
    'Times that log lines were left out because nobody read them.',
    buffered.droppedCount,
  );

  const daemonLifecycle = lifecycle.createLifecycle((componentName, cause) =>
    log.error(
      { step: 'stop', part: componentName, cause: errors.describeCause(cause) },
      'failed to stop component',
    ),
  );
  const createReadinessResponse = () => {
    const { ready, reason } = relay.readiness();
    return { statusCode: ready ? okStatus : unavailableStatus, text: `${reason}\n` };
  };
  const createMetricsResponse = async () => ({
    statusCode: okStatus,
    text: await metrics.render(),
  });

  daemonLifecycle.register(
    createTextListener('readiness', daemonSettings.readiness.listen, createReadinessResponse),
  );
  daemonLifecycle.register(
    createTextListener('metrics', daemonSettings.metrics.listen, createMetricsResponse),
  );
  daemonLifecycle.register({ name: 'platform', stop: platform.close });
  daemonLifecycle.register(container.resolve(relayTokens.store).component);
  daemonLifecycle.register(container.resolve(relayTokens.calls).component);
  daemonLifecycle.register(container.resolve(relayTokens.plan).component);
  daemonLifecycle.register(container.resolve(relayTokens.targets).component);
  daemonLifecycle.register(container.resolve(relayTokens.evacuations).component);
  daemonLifecycle.register(relay.component);
  daemonLifecycle.register(container.resolve(relayTokens.formation).component);
  // Registered last and therefore stopped first, so that another daemon can take over the lease while this one
  // finishes its requests.
  daemonLifecycle.register(container.resolve(relayTokens.lease).component);

  let isStopping = false;
  const stop = async (signal: string) => {
    log.info({ step: 'stop', signal }, isStopping ? 'stopping already' : 'stopping');
    if (isStopping) return;
    isStopping = true;
    relay.drain();
    await daemonLifecycle.stop();
    log.info({ step: 'stop' }, 'stopped');
    buffered.flush();
    process.exit(0);
  };
  process.on('SIGTERM', () => {
    void stop('SIGTERM');
  });
  process.on('SIGINT', () => {
    void stop('SIGINT');
  });
  process.on('SIGHUP', () => {
    void reload(settingsFile, log, daemonSettings);
  });

  await daemonLifecycle.start();
  if (isStopping) return;
  log.info({ step: 'start', pid: process.pid, uptimeMs: Math.round(performance.now()) }, 'started');
};
