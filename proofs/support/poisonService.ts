import type * as testing from '@comfreydrum/testing';
import { submitFiling } from './createFilings';
import { lookUp, createLookups } from './createLookups';
import { sleep } from './withFleet';

/** A request that crashes every instance of a service that runs it. */
export interface ServicePoison {
  readonly name: string;
  /** Sends the request once and returns the status and the reported outcome. */
  readonly send: (
    daemon: testing.FleetDaemon,
    turn: number,
  ) => Promise<{ readonly statusCode: number; readonly ran: string }>;
}

/** The result of sending a crashing request repeatedly. */
export interface PoisonResult {
  readonly victims: number;
  readonly lookups: number;
  readonly violations: readonly string[];
}

const resendCount = 8;
const maxCrashedInstances = 2;
const lookupCallerCount = 3;
const crashExitCode = 70;
const quarantinedStatus = 422;

/** Returns a non-idempotent and an idempotent request with the same crashing content. */
export const createServicePoisons = (content: string): readonly ServicePoison[] => [
  {
    name: 'filing',
    send: (daemon, turn) =>
      submitFiling({ daemon, key: `poison-${turn}`, body: JSON.stringify({ filing: content }) }),
  },
  { name: 'lookup', send: (daemon) => lookUp(daemon, content) },
];

const countCrashedInstances = async ({ services }: testing.Fleet): Promise<number> => {
  const ended = services.filter((service) => !service.process().isRunning());
  const exits = await Promise.all(ended.map((service) => service.process().exited));
  return exits.filter(({ code }) => code === crashExitCode).length;
};

const restartCrashed = ({ services }: testing.Fleet) =>
  Promise.all(
    services.filter((service) => !service.process().isRunning()).map((service) => service.start()),
  );

/**
 * Sends a crashing request through random daemons, concurrently with lookups, and restarts the
 * crashed instances.
 */
export const poisonService = async (
  fleet: testing.Fleet,
  random: testing.Random,
  { name, send }: ServicePoison,
): Promise<PoisonResult> => {
  const lookupLoad = createLookups({
    daemons: () => fleet.daemons,
    callerCount: lookupCallerCount,
    random,
  });
  const answers = [];
  for (let turn = 0; turn < resendCount; turn += 1) {
    answers.push(await send(random.pick(fleet.daemons), turn));
    await sleep(random.integer(0, 150));
  }
  const lookups = await lookupLoad.stop();
  const victims = await countCrashedInstances(fleet);
  await restartCrashed(fleet);
  const last = answers.at(-1)!;
  const isRefused = last.statusCode === quarantinedStatus && last.ran === 'not-run';
  const failedLookups = lookups.filter(
    ({ statusCode, caseId, answeredCaseId }) => statusCode !== 200 || caseId !== answeredCaseId,
  );
  return {
    victims,
    lookups: lookups.length,
    violations: [
      ...(victims > maxCrashedInstances
        ? [`a crashing ${name} took down ${victims} instances of a service`]
        : []),
      ...(victims === 0 ? [`a crashing ${name} took down no instance`] : []),
      ...(isRefused ? [] : [`a crashing ${name} was answered ${last.statusCode} ${last.ran}`]),
      ...failedLookups.map(
        (lookup) =>
          `a lookup failed or was mismatched during a crashing ${name}: ${JSON.stringify(lookup)}`,
      ),
    ],
  };
};
