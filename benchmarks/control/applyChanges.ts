import { setTimeout as sleep } from 'node:timers/promises';
import type * as telemetry from '@comfreydrum/telemetry';
import * as testing from '@comfreydrum/testing';
import * as undici from 'undici';
import type { ControlFleet } from './startControlFleet';

const customerCount = 40;

/** Creates a configuration that differs for each version. */
export const createDocument = (version: number) =>
  testing.createTestConfiguration({
    customers: Array.from({ length: customerCount }, (_, index) => `customer-${index}`),
    version: `version-${version}`,
    groups: 0,
  });

/** Applies a revision through one daemon, expecting the previous revision in force. */
export const applyRevision = async (fleet: ControlFleet, revision: number): Promise<void> => {
  const document = createDocument(revision);
  const daemon = fleet.daemons[revision % fleet.daemons.length]!;
  const { statusCode, body } = await undici.request(
    `${daemon.adminUrl}/v1/configurations/${document.team}`,
    {
      method: 'PUT',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${testing.operatorToken}`,
        'x-expected-revision': revision === 1 ? 'none' : String(revision - 1),
      },
      body: JSON.stringify(document),
    },
  );
  const text = await body.text();
  if (statusCode !== 200) throw new Error(`revision ${revision} was not applied: ${text}`);
};

/** Applies the revisions `from` to `to`, one every `intervalMs`. */
export const applyChanges = async (
  fleet: ControlFleet,
  from: number,
  to: number,
  intervalMs: number,
): Promise<void> => {
  for (let revision = from; revision <= to; revision += 1) {
    const startMs = performance.now();
    await applyRevision(fleet, revision);
    await sleep(Math.max(0, intervalMs - (performance.now() - startMs)));
  }
};

/** Returns the sorted delays from the acceptance of each revision until it is in force at each daemon. */
export const readInForceDelaysMs = async (
  fleet: ControlFleet,
  from: number,
): Promise<readonly number[]> => {
  const timelines = await Promise.all(
    fleet.daemons.map(
      async (daemon) => (await daemon.call('admin.timeline')) as telemetry.TimelineEvent[],
    ),
  );
  const events = timelines.flat().filter(({ revision = 0 }) => revision >= from);
  const acceptedAtMs = new Map(
    events
      .filter(({ step }) => step === 'configuration accepted')
      .map(({ revision, time }) => [revision, time.wallMs]),
  );
  return events
    .filter(({ step }) => step === 'configuration in force')
    .map(({ revision, time }) => time.wallMs - acceptedAtMs.get(revision)!)
    .sort((left, right) => left - right);
};
