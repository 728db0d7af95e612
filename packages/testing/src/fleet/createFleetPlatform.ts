import * as undici from 'undici';
import type * as objectStore from '@comfreydrum/object-store';
import type { PlatformCounts } from '../platform/createPlatformStandin';
import type { PlatformFaults } from '../platform/PlatformFaults';
import { startProcess } from '../process/startProcess';
import type { TestProcess } from '../process/startProcess';
import { ports } from './createIpAllocator';

/** The platform stand-in of a fleet, with its controls for tests. */
export interface FleetPlatform {
  readonly ip: string;
  /** URL without the proxy. */
  readonly url: string;
  readonly process: TestProcess;
  readonly setFaults: (faults: PlatformFaults) => Promise<void>;
  readonly counts: () => Promise<PlatformCounts>;
  readonly setInstance: (
    instanceId: string,
    entry: Partial<objectStore.ListedInstance>,
  ) => Promise<void>;
  readonly removeInstance: (instanceId: string) => Promise<void>;
  /** Returns the current objects of a kind. */
  readonly list: (kind: string) => Promise<readonly objectStore.StoredObject[]>;
}

const startTimeoutMs = 10_000;

/** Starts the platform stand-in as a process on the given IP. */
export const createFleetPlatform = async (ip: string): Promise<FleetPlatform> => {
  const listen = `${ip}:${ports.platform}`;
  const url = `http://${listen}`;
  const testProcess = startProcess({
    name: 'platform',
    command: ['apps/standins/dist/main.js', 'platform', '--listen', listen],
  });
  await testProcess.waitForLine(
    ({ fields }) => fields.event === 'listening',
    startTimeoutMs,
    'the address of the platform',
  );

  const control = async (method: 'POST' | 'PUT' | 'DELETE', path: string, body: object) => {
    const response = await undici.request(`${url}/control/${path}`, {
      method,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200)
      throw new Error(`platform stand-in: control/${path} failed: ${text}`);
  };
  const read = async (path: string): Promise<unknown> => {
    const { body } = await undici.request(`${url}/${path}`);
    return body.json();
  };

  return {
    ip,
    url,
    process: testProcess,
    setFaults: (faults) => control('POST', 'faults', faults),
    counts: async () => (await read('control/counts')) as PlatformCounts,
    setInstance: (instanceId, entry) => control('PUT', `instances/${instanceId}`, entry),
    removeInstance: (instanceId) => control('DELETE', `instances/${instanceId}`, {}),
    list: async (kind) =>
      ((await read(`objects/${kind}`)) as { objects: objectStore.StoredObject[] }).objects,
  };
};
