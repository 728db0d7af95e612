import * as undici from 'undici';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as testing from '../index';

const test = uvu.suite('fleet');

test('registers targets at proxied addresses and restarts a killed target', async () => {
  const fleet = await testing.createFleet({
    seed: 1,
    daemonCount: 0,
    engines: { count: 2, options: { fencing: 'checked' } },
    services: { count: 1 },
    configuration: 'none',
  });
  const { body } = await undici.request(`${fleet.platform.url}/instances`);
  const { instances } = (await body.json()) as { instances: { instanceId: string; url: string }[] };
  assert.equal(
    instances.map(({ instanceId }) => instanceId),
    ['engine-0', 'engine-1', 'service-0'],
  );
  const [engine] = fleet.engines;
  const fetchPresence = () =>
    undici.request(`${instances[0]!.url}/presence`, { headersTimeout: 200 }).then(
      () => 'present',
      () => 'absent',
    );
  assert.is(await fetchPresence(), 'present');
  fleet.proxy.updateLinkFault('*', engine!.ip, { isCut: true });
  assert.is(await fetchPresence(), 'absent');
  fleet.proxy.heal();
  await engine!.process().kill();
  await engine!.start();
  assert.is((await engine!.presence()).phase, 'empty');
  await fleet.stop();
  assert.not.ok(fleet.platform.process.isRunning());
});

test.run();
