import * as testing from '@comfreydrum/testing';

/** Waits for a number of milliseconds. */
export { setTimeout as sleep } from 'node:timers/promises';

/** Starts a fleet, runs a proof against it, and always stops the fleet afterwards. */
export const withFleet = async (
  options: testing.FleetOptions,
  run: (fleet: testing.Fleet) => Promise<testing.ProofReport>,
): Promise<testing.ProofReport> => {
  const fleet = await testing.createFleet(options);
  try {
    return await run(fleet);
  } finally {
    await fleet.stop();
  }
};
