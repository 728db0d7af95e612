import * as testing from '@comfreydrum/testing';
import * as groups from '../missing-member/storedGroups';

const timeoutMs = 15_000;
const pollMs = 100;

/**
 * Waits until every engine has loaded its group, every group is serving according to the platform's
 * records, and every daemon serves. An engine is ready some time before its group is marked as
 * serving.
 */
export const waitUntilAllServing = async (fleet: testing.Fleet): Promise<void> => {
  const isReady = async () => {
    const states = await Promise.all(fleet.engines.map((engine) => engine.presence()));
    return states.every(({ phase }) => phase === 'ready');
  };
  await testing.waitUntil(isReady, timeoutMs, 'every engine to be ready', pollMs);
  const areGroupsServing = async () =>
    (await groups.readGroups(fleet)).every(({ phase }) => phase === 'serving');
  await testing.waitUntil(areGroupsServing, timeoutMs, 'every group to serve', pollMs);
  await fleet.waitUntilServing();
};
