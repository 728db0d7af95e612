import { performance } from 'node:perf_hooks';
import * as telemetry from '@comfreydrum/telemetry';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { addLedgerMetrics } from './index';
import { createMemoryFleet } from './testing/createMemoryFleet';
import { createMemoryPlatform } from './testing/createMemoryPlatform';
import { testRequest as request } from './testing/testRequest';

const test = uvu.suite('addLedgerMetrics');

test('reads the current statistics of the ledger at each collection', async () => {
  const { ledger } = await createMemoryFleet(createMemoryPlatform()).start('a');
  const metrics = telemetry.createMetrics();
  addLedgerMetrics(metrics, ledger.statistics);
  assert.match(await metrics.render(), '\ncomfreydrum_ledger_claims_total{decision="granted"} 0\n');
  await ledger.claim(request, performance.now() + 2_000);
  await ledger.claim(request, performance.now() + 2_000);

  const { batches, indexBytes, platformWrites } = ledger.statistics();
  const lines = (await metrics.render()).split('\n');
  [
    '# TYPE comfreydrum_ledger_claims_total counter',
    'comfreydrum_ledger_claims_total{decision="granted"} 1',
    'comfreydrum_ledger_claims_total{decision="running"} 1',
    'comfreydrum_ledger_claims_total{decision="key-reused"} 0',
    'comfreydrum_ledger_forwards_total{outcome="failed"} 0',
    '# TYPE comfreydrum_ledger_batches_total counter',
    `comfreydrum_ledger_batches_total ${batches}`,
    `comfreydrum_ledger_platform_writes_total ${platformWrites}`,
    '# TYPE comfreydrum_ledger_tracked_claims gauge',
    'comfreydrum_ledger_tracked_claims 1',
    'comfreydrum_ledger_pending_outcomes 0',
    `comfreydrum_ledger_index_bytes ${indexBytes}`,
  ].forEach((line) => assert.ok(lines.includes(line), `no line "${line}" in\n${lines.join('\n')}`));
});

test.run();
