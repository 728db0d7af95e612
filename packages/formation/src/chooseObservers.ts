import { rankAddresses } from './rankAddresses';

/** These share the work of probing, and their addresses keep a check-in response small. */
const observerCount = 8;

/** Chooses the daemons that probe silent groups for all; none in a fleet so small that all of them would. */
export const chooseObservers = (addresses: readonly string[]): readonly string[] =>
  addresses.length > observerCount ? rankAddresses('', addresses).slice(0, observerCount) : [];
