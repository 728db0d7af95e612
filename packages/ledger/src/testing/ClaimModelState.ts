import type { GrantState } from '../GrantState';
import type { HolderStatus } from '../chooseHolderAction';
import type { LedgerEntry } from '../LedgerEntry';
import type { LedgerOperation, OperationResult } from '../LedgerOperation';

/** A write in flight; it may take effect late, or its response may be lost. */
export interface PendingWrite {
  /** The index of the owner that waits for the response, or undefined if no owner does any more. */
  readonly awaitedBy: number | undefined;
  readonly entry: LedgerEntry;
  readonly result: OperationResult;
}

/**
 * The daemon that writes the partition. The model leaves out its cached head: applying operations to an outdated head
 * ends in a conflict, after which the writer reads the head again.
 */
export interface Owner {
  readonly operation?: LedgerOperation | undefined;
  readonly isWriting: boolean;
}

type Phase = 'idle' | 'waiting' | 'asking' | 'granted' | 'dispatched' | 'finishing' | 'done';

export interface Gateway {
  readonly incarnation: number;
  readonly phase: Phase;
  readonly grant?: GrantState | undefined;
  readonly operation?: LedgerOperation | undefined;
  readonly holderClaimId?: string | undefined;
  readonly holderStatus?: HolderStatus['kind'] | undefined;
  /** Whether the caller was told that the request did not run. Reset when the gateway is done with its claim. */
  readonly reportedNotRun: boolean;
  /** The description of all fields above, cached. */
  readonly description: string;
}

/** A state of the model, which has two gateways, two owners and one key. */
export interface ModelState {
  readonly entry?: LedgerEntry | undefined;
  readonly pendingWrites: readonly PendingWrite[];
  readonly owners: readonly Owner[];
  readonly gateways: readonly Gateway[];
  /** The ids of the claims whose request reached the target. */
  readonly runs: readonly string[];
  /** Whether a caller was told that the request ran although it had not reached the target by then. */
  readonly reportedRanEarly: boolean;
}

/** Returns the id of the claim that one incarnation of a gateway makes. */
export const claimIdOf = (gateway: number, incarnation: number): string =>
  `${gateway}.${incarnation}`;

const describeIfAny = <Item extends object>(
  item: Item | undefined,
  describe: (item: Item) => string,
): string => (item ? describe(item) : '');

const describeEntry = (entry: LedgerEntry): string =>
  `${entry.state} ${entry.claimId} ${entry.state === 'unknown' ? entry.source : ''}`;

/** Returns a description of an update in flight, equal for equivalent updates. */
export const describePendingWrite = ({ awaitedBy, entry }: PendingWrite): string =>
  `${awaitedBy} ${describeEntry(entry)}`;

/** Returns a description of an operation, equal for equivalent operations. */
export const describeOperation = (operation: LedgerOperation): string => {
  const { kind, claimId } = operation;
  const outcome = kind === 'finish' ? operation.outcome : '';
  const superseded = kind === 'claim' ? (operation.supersedes?.claimId ?? '') : '';
  return [kind, claimId, outcome, superseded].join(' ');
};

const describeOwner = ({ operation, isWriting }: Owner): string =>
  `${describeIfAny(operation, describeOperation)} ${isWriting}`;

/** Returns a description of a gateway, equal for equivalent gateways. */
export const describeGateway = (gateway: Omit<Gateway, 'description'>): string => {
  const { incarnation, phase, grant, operation, holderClaimId, holderStatus, reportedNotRun } =
    gateway;
  const end = grant?.kind === 'ended' ? grant.outcome.kind : '';
  const sent = describeIfAny(operation, describeOperation);
  return `${incarnation} ${phase} ${grant?.kind} ${end} ${sent} ${holderClaimId} ${holderStatus} ${reportedNotRun}`;
};

const describeOwnerIn = (state: ModelState, index: number): string => {
  const awaited = state.pendingWrites.find(({ awaitedBy }) => awaitedBy === index)?.entry;
  const owner = describeOwner(state.owners[index]!);
  return `${owner} ${describeIfAny(awaited, describeEntry)}`;
};

/** Returns a description that is equal for states that differ only in the order of the owners. */
export const describeState = (state: ModelState): string => {
  const late = state.pendingWrites
    .filter(({ awaitedBy }) => awaitedBy === undefined)
    .map(describePendingWrite);
  return [
    describeIfAny(state.entry, describeEntry),
    late.length > 1 ? late.sort().join() : late[0],
    ...state.owners.map((_, index) => describeOwnerIn(state, index)).sort(),
    ...state.gateways.map(({ description }) => description),
    state.runs.join(),
    state.reportedRanEarly,
  ].join('|');
};

/** Returns the invariant violation of a state, or undefined if there is none. */
export const findViolation = (state: ModelState): string | undefined => {
  if (state.runs.length > 1) return 'the request ran twice';
  const isBroken = state.gateways.some(
    ({ incarnation, reportedNotRun }, index) =>
      reportedNotRun && state.runs.includes(claimIdOf(index, incarnation)),
  );
  if (isBroken) return 'a request reported as not run has run';
  if (state.reportedRanEarly) return 'a request reported as run has not run';
  return undefined;
};
