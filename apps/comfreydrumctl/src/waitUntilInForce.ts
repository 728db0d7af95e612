import { setTimeout as delay } from 'node:timers/promises';
import type * as admin from '@comfreydrum/admin';
import { CommandFailure } from './CommandFailure';
import type { AdminClient } from './createAdminClient';
import { exitCodes } from './exitCodes';

const pollMs = 250;
const waitTimeoutMs = 60_000;

/** Waits until a revision is in force on every reachable daemon. Prints each daemon on which it takes effect. */
export const waitUntilInForce = async (
  client: AdminClient,
  team: string,
  revision: number,
  print: (line: string) => void,
): Promise<void> => {
  const updatedIds = new Set<string>();
  const deadlineMs = performance.now() + waitTimeoutMs;
  while (performance.now() < deadlineMs) {
    const response = await client.call('GET', '/v1/fleet');
    const { daemons, unreachable } = response.body as admin.FleetStatus;
    daemons
      .filter(({ instanceId }) => !updatedIds.has(instanceId))
      .filter(({ revisions }) => (revisions[team] ?? 0) >= revision)
      .forEach(({ instanceId }) => {
        updatedIds.add(instanceId);
        print(
          `${instanceId}: revision ${revision} in force (${updatedIds.size}/${daemons.length})`,
        );
      });
    if (updatedIds.size >= daemons.length) {
      unreachable.forEach(({ instanceId, message }) => print(`${instanceId}: ${message}`));
      return;
    }
    await delay(pollMs);
  }
  const message = `revision ${revision} of ${team} was not in force everywhere within ${waitTimeoutMs} ms`;
  throw new CommandFailure('wait', client.url, message, exitCodes.failure);
};
