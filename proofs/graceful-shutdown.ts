/**
 * A graceful shutdown breaks no request in progress. A daemon, an engine of a group and an instance
 * of a service are terminated under long streams and slow filings.
 */
import * as testing from '@comfreydrum/testing';
import { createBalancer } from './support/createBalancer';
import type { FilingResult } from './support/createFilings';
import { createFilings } from './support/createFilings';
import { checkText, countEnds, createLoad } from './support/createLoad';
import type { LoadResult } from './support/createLoad';
import { sleep, withFleet } from './support/withFleet';

const streamCallerCount = 10;
const filingCallerCount = 4;
// The platform keeps a leaving target running for some seconds.
const minLeaveMs = 4_000;
const exitTimeoutMs = 25_000;

const fleetOptions = (seed: number): testing.FleetOptions => ({
  seed,
  daemonCount: 3,
  engines: { count: 6, options: { tokenMs: 20, loadMs: 100, printServed: true, minLeaveMs } },
  services: { count: 3, latencyMs: 300, minLeaveMs },
  configuration: testing.createTestConfiguration({ groups: 3, instancesPerGroup: 2 }),
  daemonSettings: { shutdown: { noticeMs: 1_500, drainTimeoutMs: 20_000 } },
});

/** Terminates a process and returns a violation unless it exits with code 0 in time. */
const stopGracefully = async (
  owner: testing.FleetDaemon | testing.FleetTarget,
): Promise<readonly string[]> => {
  const running = owner.process();
  running.terminate();
  const timeout = sleep(exitTimeoutMs).then(() => undefined);
  const exit = await Promise.race([running.exited, timeout]);
  if (exit?.code === 0) return [];
  return [`${owner.instanceId} did not exit with code 0 in time: ${JSON.stringify(exit)}`];
};

const leave = async (fleet: testing.Fleet, target: testing.FleetTarget) => {
  await fleet.platform.setInstance(target.instanceId, { state: 'leaving' });
  return stopGracefully(target);
};

const checkStream = (result: LoadResult): readonly string[] => {
  const { end, ran, tokenCount, requestId, error } = result.outcome;
  const isAllowed = end === 'complete' || (end === 'refused' && ran === 'not-run');
  const fault = `stream ${requestId} of ${result.daemonId}: ${end} after ${tokenCount}: ${error}`;
  return [...(isAllowed ? [] : [fault]), ...checkText(result)];
};

const checkFiling = ({ statusCode, ran, key, daemonId, text }: FilingResult): readonly string[] =>
  (statusCode === 201 && ran === 'ran') || ran === 'not-run'
    ? []
    : [`filing ${key} of ${daemonId}: ${statusCode} ${ran}: ${text}`];

/** Checks that no stream or filing breaks when processes shut down gracefully. */
export const prove: testing.Proof = ({ seed, random, note }) =>
  withFleet(fleetOptions(seed), async (fleet) => {
    await fleet.waitUntilServing();
    note('serving');
    const balancer = createBalancer(fleet.daemons);
    const streams = createLoad({
      daemons: balancer.ready,
      callerCount: streamCallerCount,
      minTokens: 20,
      maxTokens: 250,
      random,
    });
    const filings = createFilings({
      daemons: balancer.ready,
      callerCount: filingCallerCount,
      random,
    });
    await testing.waitUntil(
      () => streams.results().length > 3 && filings.results().length > 3,
      15_000,
      'the first streams and filings to complete',
    );
    const daemon = random.pick(fleet.daemons);
    const engine = random.pick(fleet.engines);
    const service = random.pick(fleet.services);
    const stops = [
      () => stopGracefully(daemon),
      () => leave(fleet, engine),
      () => leave(fleet, service),
    ];
    const inProgressAtStop = streams.inProgress();
    note(`stopping ${daemon.instanceId}, ${engine.instanceId} and ${service.instanceId}`);
    const stopFaults = await Promise.all(
      stops.map(async (stop) => {
        await sleep(random.integer(0, 2_000));
        return stop();
      }),
    );
    note('stopped; ending the load');
    const [streamResults, filingResults] = await Promise.all([streams.stop(), filings.stop()]);
    balancer.stop();
    const ends = countEnds(streamResults);
    const served = fleet.engines.flatMap((target) => target.startedRequests());
    const resumed = served.filter(({ resumedFromToken }) => resumedFromToken > 0);
    return {
      violations: [
        ...stopFaults.flat(),
        ...streamResults.flatMap(checkStream),
        ...filingResults.flatMap(checkFiling),
      ],
      figures: {
        streams: streamResults.length,
        complete: ends.complete ?? 0,
        refused: ends.refused ?? 0,
        inProgressAtStop,
        resumes: resumed.length,
        filings: filingResults.length,
        filingsRefused: filingResults.filter(({ ran }) => ran === 'not-run').length,
      },
    };
  });
