import * as objectStore from '@comfreydrum/object-store';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as peers from './index';

interface Context {
  standin: testing.PlatformStandin;
  seeds: peers.PlatformSeeds;
}

const test = uvu.suite<Context>('platform seeds');

test.before.each(async (context) => {
  context.standin = testing.createPlatformStandin();
  const { url } = await context.standin.start();
  const client = objectStore.createHttpPlatformClient({ url, callTimeoutMs: 2_000 });
  context.seeds = peers.createPlatformSeeds(client);
});
test.after.each(({ standin }) => standin.stop());

test('keeps the address of the latest incarnation when an earlier one withdraws', async ({
  seeds,
}) => {
  assert.is(await seeds.announce('entry-1', '127.0.0.1:1', 'first'), 'announced');
  assert.is(await seeds.announce('entry-1', '127.0.0.1:2', 'second'), 'announced');
  await seeds.withdraw('entry-1', 'first');
  assert.equal(await seeds.addresses(), ['127.0.0.1:2']);
  await seeds.withdraw('entry-1', 'second');
  assert.equal(await seeds.addresses(), []);
});

test('announces with one read and one write', async ({ seeds, standin }) => {
  await seeds.announce('entry-1', '127.0.0.1:1', 'first');
  const { reads, writes } = standin.counts();
  assert.equal([reads, writes], [1, 1]);
});

test('reports a failure instead of throwing while the platform is down', async ({
  seeds,
  standin,
}) => {
  standin.setFaults({ outage: 'refuse' });
  assert.is(await seeds.announce('entry-1', '127.0.0.1:1', 'first'), 'failed');
  assert.equal(await seeds.addresses(), []);
  await seeds.withdraw('entry-1', 'first');
});

test.run();
