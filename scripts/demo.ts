/** Demonstrates a streamed draft, a filing sent twice and the failure of a group member, on stand-ins. */
import process from 'node:process';
import * as testing from '@comfreydrum/testing';
import * as undici from 'undici';

const { customer, model } = testing.testNames;
const token = testing.customerToken(customer);
const maxTokens = 60;
const tokensBeforeKill = 15;

const print = (text: string) => process.stdout.write(`${text}\n`);

const streamDraft = (
  daemon: testing.FleetDaemon,
  prompt: string,
  onToken: (index: number) => void,
) => testing.streamCompletion({ url: daemon.url, token, prompt, model, maxTokens, onToken });

const showDraft = async (daemon: testing.FleetDaemon) => {
  print('\n1. A draft streams through one daemon.');
  const outcome = await streamDraft(daemon, 'Draft a holiday rotation.', () =>
    process.stdout.write('.'),
  );
  print(
    `\n   ${outcome.end}: ${outcome.tokenCount} tokens, first after ${outcome.firstTokenMs} ms`,
  );
};

const sendFiling = async (daemon: testing.FleetDaemon) => {
  const { statusCode, headers, body } = await undici.request(`${daemon.url}/filings`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${token}`,
      'content-type': 'application/json',
      'idempotency-key': 'fee-waiver-1',
    },
    body: JSON.stringify({ waiver: 'court fee' }),
  });
  await body.dump();
  print(`   ${daemon.instanceId}: ${statusCode}, ran: ${String(headers['x-comfreydrum-ran'])}`);
};

const showFiling = async (fleet: testing.Fleet) => {
  print('\n2. A filing is sent twice, through two daemons.');
  for (const daemon of fleet.daemons.slice(0, 2)) await sendFiling(daemon);
  const runs = await fleet.services[0]!.runs();
  print(`   the service ran it ${runs.length} time(s)`);
};

const findServingEngine = async (fleet: testing.Fleet) => {
  for (const engine of fleet.engines) {
    const served = await engine.served();
    if (served.some(({ outcome }) => outcome === 'running')) return engine;
  }
  return undefined;
};

const showMemberFailure = async (fleet: testing.Fleet, daemon: testing.FleetDaemon) => {
  print('\n3. A member of the group that drafts is killed in the middle of the stream.');
  const prompt = 'Draft a custody schedule.';
  let killed: Promise<void> | undefined;
  const outcome = await streamDraft(daemon, prompt, (index) => {
    process.stdout.write('.');
    if (index !== tokensBeforeKill || killed !== undefined) return;
    killed = findServingEngine(fleet).then(async (engine) => {
      await engine?.process().kill();
      process.stdout.write(` ${engine?.instanceId ?? 'no engine'} killed `);
    });
  });
  await killed;
  const isWhole = outcome.text === testing.expectedText(prompt, maxTokens);
  print(
    `\n   ${outcome.end}: ${outcome.tokenCount} tokens, ${isWhole ? 'text as expected' : 'text NOT as expected'}`,
  );
  if (outcome.end !== 'complete' || !isWhole) process.exitCode = 1;
};

print('Starting a platform, four engines, a service and three daemons …');
const fleet = await testing.createFleet({
  seed: 1,
  daemonCount: 3,
  engines: { count: 4, options: { tokenMs: 25 } },
  services: { count: 1 },
  configuration: testing.createTestConfiguration({ groups: 2, instancesPerGroup: 2 }),
});
try {
  await fleet.waitUntilServing();
  const [daemon] = fleet.daemons;
  await showDraft(daemon!);
  await showFiling(fleet);
  await showMemberFailure(fleet, daemon!);
} finally {
  await fleet.stop();
}
print('\nDone.');
process.exit();
