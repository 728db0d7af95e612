import * as undici from 'undici';
import type { EventFaultCounts } from '../engine/EventFaults';
import type { ServedRequest } from '../engine/ServedRequest';
import type { Presence } from '../engine/OrderMessage';
import { startProcess } from '../process/startProcess';
import type { TestProcess } from '../process/startProcess';
import type { FilingRun } from '../service/createRunLog';
import type { CaseLookup, ServiceFaults } from '../service/createServiceStandin';
import { ports } from './createIpAllocator';

/** An engine or a service instance of a fleet. */
export interface FleetTarget {
  readonly instanceId: string;
  readonly ip: string;
  /** URL without the proxy. */
  readonly url: string;
  /** Returns the process that runs now, or ran last. */
  readonly process: () => TestProcess;
  /** Starts the target, or restarts it after it has exited. */
  readonly start: () => Promise<void>;
  readonly presence: () => Promise<Presence>;
  /** Returns the requests that an engine ran since its last start. */
  readonly served: () => Promise<readonly ServedRequest[]>;
  /** Returns the requests that all processes of an engine started, including killed processes. */
  readonly startedRequests: () => readonly ServedRequest[];
  /** Returns the lookups that a service instance answered since its last start. */
  readonly lookups: () => Promise<readonly CaseLookup[]>;
  /** Returns the filings that all instances of the service ran. */
  readonly runs: () => Promise<readonly FilingRun[]>;
  readonly setFaults: (faults: Partial<ServiceFaults> | EventFaultCounts) => Promise<void>;
}

const startTimeoutMs = 10_000;

/** Creates a target without starting it; `command` is the stand-in's subcommand and flags. */
export const createFleetTarget = (
  instanceId: string,
  ip: string,
  command: readonly string[],
): FleetTarget => {
  const listen = `${ip}:${ports.target}`;
  const url = `http://${listen}`;
  const processes: TestProcess[] = [];

  const read = async (path: string): Promise<unknown> => {
    const { body } = await undici.request(`${url}/${path}`);
    return body.json();
  };

  return {
    instanceId,
    ip,
    url,
    process: () => {
      const current = processes.at(-1);
      if (!current) throw new Error(`target ${instanceId} was not started`);
      return current;
    },
    start: async () => {
      const addressFlags = ['--listen', listen, '--instance-id', instanceId];
      const current = startProcess({
        name: instanceId,
        command: ['apps/standins/dist/main.js', ...command, ...addressFlags],
      });
      processes.push(current);
      await current.waitForLine(
        ({ fields }) => fields.event === 'listening',
        startTimeoutMs,
        'its address',
      );
    },
    presence: async () => (await read('presence')) as Presence,
    served: async () => ((await read('control/served')) as { served: ServedRequest[] }).served,
    startedRequests: () =>
      processes
        .flatMap((testProcess) => testProcess.lines())
        .filter(({ fields }) => fields.event === 'served')
        .map(({ fields }) => fields as unknown as ServedRequest),
    lookups: async () => ((await read('control/runs')) as { lookups: CaseLookup[] }).lookups,
    runs: async () => ((await read('control/runs')) as { runs: FilingRun[] }).runs,
    setFaults: async (faults) => {
      const { body } = await undici.request(`${url}/control/faults`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(faults),
      });
      await body.dump();
    },
  };
};

/** Converts options to command-line flags: `tokenMs: 5` becomes `--token-ms 5`. */
export const toFlags = (options: object): readonly string[] =>
  Object.entries(options)
    .filter(([, value]) => value !== undefined && value !== false)
    .flatMap(([name, value]) => {
      const flag = `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
      return value === true ? [flag] : [flag, String(value)];
    });
