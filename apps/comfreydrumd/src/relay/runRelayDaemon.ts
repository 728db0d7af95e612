import process from 'node:process';
import * as errors from '@comfreydrum/errors';
import * as lifecycle from '@comfreydrum/lifecycle';
import * as settings from '@comfreydrum/settings';
import * as telemetry from '@comfreydrum/telemetry';
import { createRelayContainer } from './createRelayContainer';
import { createTextListener } from './createTextListener';
import { relayTokens } from './relayTokens';

const readyStatus = 200;
const unreadyStatus = 503;

/** Says what of a changed settings file is not taken before the next start. */
const reload = async (file: string, log: telemetry.Log, inForce: settings.RelaySettings) => {
  const loaded = await settings.loadRelaySettings(file);
  if (!loaded.ok) {
    const { step, peer, message } = loaded.error;
    log.error({ step, peer }, `settings kept: ${message}`);
    return;
  }
  const changed = Object.entries(loaded.value)
    .filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(Reflect.get(inForce, name)))
    .map(([name]) => name);
  telemetry.setLogLevel(log, loaded.value.log.level);
  log.info(
    { step: 'reload', changed },
    'settings read again; all but the log level wait for a start',
  );
};

/** Runs a daemon that relays requests on the operators' platform, until SIGTERM or SIGINT. */
export const runRelayDaemon = async (
  daemonSettings: settings.RelaySettings,
  settingsFile: string,
): Promise<void> => {
  const { instanceId, log: logSettings } = daemonSettings;
  const buffered = telemetry.createBufferedLog({ level: logSettings.level, instanceId });
  const { log } = buffered;
  const container = createRelayContainer(daemonSettings, log);
  const metrics = container.resolve(relayTokens.metrics);
  const relay = container.resolve(relayTokens.relay);
  const platform = container.resolve(relayTokens.platform);
  metrics.sampledCounter(
    'comfreydrum_log_drops_total',
    'Times that log lines were left out because nobody read them.',
    buffered.droppedCount,
  );

  const owner = lifecycle.createLifecycle((part, cause) =>
    log.error({ step: 'stop', part, cause: errors.describeCause(cause) }, 'stop failed'),
  );
  const answerReadiness = () => {
    const { ready, reason } = relay.readiness();
    return { statusCode: ready ? readyStatus : unreadyStatus, text: `${reason}\n` };
  };
  const answerMetrics = async () => ({ statusCode: readyStatus, text: await metrics.render() });

  owner.own(createTextListener('readiness', daemonSettings.readiness.listen, answerReadiness));
  owner.own(createTextListener('metrics', daemonSettings.metrics.listen, answerMetrics));
  owner.own({ name: 'platform', stop: platform.close });
  owner.own(container.resolve(relayTokens.store).part);
  owner.own(container.resolve(relayTokens.calls).part);
  owner.own(container.resolve(relayTokens.plan).part);
  owner.own(container.resolve(relayTokens.targets).part);
  owner.own(relay.part);
  owner.own(container.resolve(relayTokens.formation).part);
  // Stops first, so that another daemon takes control while this one serves to the end.
  owner.own(container.resolve(relayTokens.lease).part);

  const stop = async (signal: string) => {
    log.info({ step: 'stop', signal }, 'stopping');
    relay.drain();
    await owner.stop();
    log.info({ step: 'stop' }, 'stopped');
    buffered.flush();
    process.exit(0);
  };
  process.once('SIGTERM', () => {
    void stop('SIGTERM');
  });
  process.once('SIGINT', () => {
    void stop('SIGINT');
  });
  process.on('SIGHUP', () => {
    void reload(settingsFile, log, daemonSettings);
  });

  await owner.start();
  log.info({ step: 'start', pid: process.pid, uptimeMs: Math.round(performance.now()) }, 'started');
};
