import { applyOperations } from '../applyOperations';
import { toHolderResponse, dispatchGrant, type abandonGrant } from '../GrantState';
import type { HolderAction, HolderStatus } from '../chooseHolderAction';
import type {
  ClaimOperation,
  FinishOperation,
  LedgerOperation,
  OperationResult,
} from '../LedgerOperation';

import {
  claimIdOf,
  describeGateway,
  describeOperation,
  describePendingWrite,
  type Gateway,
  type ModelState,
  type Owner,
  type PendingWrite,
} from './ClaimModelState';

/** The rules of the protocol that a test can replace by faulty ones. */
export interface ModelRules {
  readonly chooseHolderAction: (status: HolderStatus) => HolderAction;
  readonly abandonGrant: typeof abandonGrant;
  /** Whether an owner's write is conditional on the version that it read. */
  readonly isConditional: boolean;
}

const maxRestarts = 1;
const context = { clockMs: 0, settleMs: 1, minWindowMs: 1, sealed: new Map() };

const idleOwner: Owner = { isWriting: false, operation: undefined };
const freshGateway: Gateway = {
  incarnation: 1,
  phase: 'idle',
  reportedNotRun: false,
  description: '',
};

/** The state in which both gateways have the caller's request and nothing is written yet. */
export const initialState: ModelState = {
  pendingWrites: [],
  owners: [idleOwner, idleOwner],
  gateways: [freshGateway, freshGateway],
  runs: [],
  reportedRanEarly: false,
};

const createClaim = (gateway: number, incarnation: number): ClaimOperation => ({
  kind: 'claim',
  keyId: 'key',
  requestDigest: 'digest',
  claimId: claimIdOf(gateway, incarnation),
  windowMs: 1,
  runLimitMs: 1,
  holder: { instanceId: String(gateway), incarnation: String(incarnation) },
  subject: { team: '', customer: '', caller: '', routeName: '', key: '' },
});

const createFinish = (
  gateway: number,
  incarnation: number,
  outcome: FinishOperation['outcome'],
): FinishOperation => ({ ...createClaim(gateway, incarnation), kind: 'finish', outcome });

const withOwner = (state: ModelState, index: number, changes: Partial<Owner>): ModelState => ({
  ...state,
  owners: state.owners.map((owner, position) =>
    position === index ? { ...owner, ...changes } : owner,
  ),
});

const withGateway = (state: ModelState, index: number, changes: Partial<Gateway>): ModelState => {
  const changed = { ...state.gateways[index]!, ...changes };
  const gateway = { ...changed, description: describeGateway(changed) };
  const gateways = state.gateways.map((other, position) => (position === index ? gateway : other));
  return { ...state, gateways };
};

const reportRan = (state: ModelState): ModelState => ({
  ...state,
  reportedRanEarly: state.reportedRanEarly || state.runs.length === 0,
});

const doneGateway: Partial<Gateway> = {
  phase: 'done',
  grant: undefined,
  operation: undefined,
  holderClaimId: undefined,
  holderStatus: undefined,
  reportedNotRun: false,
};

const receiveResult = (state: ModelState, index: number, result: OperationResult): ModelState => {
  const gateway = state.gateways[index]!;
  const idle = { operation: undefined };
  if (gateway.phase === 'finishing') {
    return withGateway(state, index, doneGateway);
  }
  switch (result.kind) {
    case 'granted':
      return withGateway(state, index, { ...idle, phase: 'granted' });
    case 'claimed':
    case 'unknown':
      if (result.kind === 'unknown' && result.source === 'holder') {
        return withGateway(state, index, doneGateway);
      }
      return withGateway(state, index, {
        ...idle,
        phase: 'asking',
        holderClaimId: result.claimId,
        holderStatus: undefined,
      });
    default: {
      const reported = result.kind === 'ran' ? reportRan(state) : state;
      return withGateway(reported, index, doneGateway);
    }
  }
};

const isSame = (left: LedgerOperation | undefined, right: LedgerOperation | undefined): boolean =>
  left !== undefined && right !== undefined && describeOperation(left) === describeOperation(right);

/** Returns the states after the result reaches the gateway of the operation, or is lost. */
const reply = (
  state: ModelState,
  index: number,
  result: OperationResult,
): readonly ModelState[] => {
  const { operation } = state.owners[index]!;
  const freed = withOwner(state, index, idleOwner);
  const delivered = state.gateways.flatMap((gateway, position) =>
    isSame(gateway.operation, operation) ? [receiveResult(freed, position, result)] : [],
  );
  return [freed, ...delivered];
};

const applyAtOwner = (state: ModelState, index: number): readonly ModelState[] => {
  const { operation } = state.owners[index]!;
  const entries = new Map(state.entry ? [['key', state.entry]] : []);
  const applied = applyOperations(entries, [operation!], context);
  const result = applied.results[0]!;
  if (!applied.changed) return reply(state, index, result);
  const pendingWrite: PendingWrite = {
    awaitedBy: index,
    entry: applied.entries.get('key')!,
    result,
  };
  const writing = withOwner(state, index, { isWriting: true });
  return [{ ...writing, pendingWrites: [...state.pendingWrites, pendingWrite] }];
};

/** Leaves an owner's update in flight without an owner that waits for its response. */
const loseAnswer = (state: ModelState, index: number): ModelState => {
  const pendingWrites = state.pendingWrites.map((pendingWrite) =>
    pendingWrite.awaitedBy === index ? { ...pendingWrite, awaitedBy: undefined } : pendingWrite,
  );
  return {
    ...state,
    pendingWrites: [
      ...new Map(
        pendingWrites.map((pendingWrite) => [describePendingWrite(pendingWrite), pendingWrite]),
      ).values(),
    ],
  };
};

/**
 * Returns the states after the next step of an owner: it applies its operation or, while it writes, loses
 * the answer by a restart or a timeout. A restart before the write needs no step, because it equals an
 * operation that never arrived.
 */
const ownerSteps = (state: ModelState, index: number): readonly ModelState[] => {
  const { operation, isWriting } = state.owners[index]!;
  if (!operation) return [];
  if (!isWriting) return applyAtOwner(state, index);
  const orphaned = loseAnswer(state, index);
  const restarted = withOwner(orphaned, index, idleOwner);
  // In the second state, the owner stops waiting and applies the operation again.
  return [restarted, withOwner(orphaned, index, { isWriting: false })];
};

const completeWrite = (
  state: ModelState,
  position: number,
  rules: ModelRules,
): readonly ModelState[] => {
  const { awaitedBy, entry, result } = state.pendingWrites[position]!;
  const others = state.pendingWrites.filter((_, other) => other !== position);
  const owners = state.owners.map((owner, index) =>
    rules.isConditional && index !== awaitedBy ? { ...owner, isWriting: false } : owner,
  );
  const completed = { ...state, entry, owners, pendingWrites: rules.isConditional ? [] : others };
  return awaitedBy === undefined ? [completed] : reply(completed, awaitedBy, result);
};

const sendSteps = (state: ModelState, index: number): readonly ModelState[] => {
  const { operation } = state.gateways[index]!;
  if (!operation) return [];
  return state.owners.flatMap((owner, position) =>
    owner.operation ? [] : [withOwner(state, position, { operation })],
  );
};

const queryHolder = (state: ModelState, claimId: string): HolderStatus['kind'] => {
  const [holder, incarnation] = claimId.split('.').map(Number);
  const gateway = state.gateways[holder!]!;
  return gateway.incarnation === incarnation ? toHolderResponse(gateway.grant).kind : 'gone';
};

const applyHolderStatus = (state: ModelState, index: number, rules: ModelRules): ModelState => {
  const gateway = state.gateways[index]!;
  const action = rules.chooseHolderAction({ kind: gateway.holderStatus! });
  const claimId = gateway.holderClaimId!;
  if (action === 'supersede') {
    const supersedes = { claimId, because: 'never-dispatched' } as const;
    const operation = { ...createClaim(index, gateway.incarnation), supersedes };
    return withGateway(state, index, {
      phase: 'waiting',
      operation,
      holderClaimId: undefined,
      holderStatus: undefined,
    });
  }
  if (action === 'suspect') {
    const operation = { kind: 'suspect', keyId: 'key', claimId } as const;
    return withGateway(state, index, { ...doneGateway, phase: 'finishing', operation });
  }
  const reported = action === 'ran' ? reportRan(state) : state;
  return withGateway(reported, index, doneGateway);
};

const startFinish = (
  state: ModelState,
  index: number,
  outcome: FinishOperation['outcome'],
): ModelState => {
  const { incarnation } = state.gateways[index]!;
  const outcomeKind = outcome === 'not-run' ? 'never' : outcome;
  return withGateway(state, index, {
    phase: 'finishing',
    grant: { kind: 'ended', outcome: { kind: outcomeKind } },
    operation: createFinish(index, incarnation, outcome),
  });
};

/** Reports whether a gateway may start; as gateways are symmetric, the first one always starts first. */
const mayStart = (state: ModelState, index: number): boolean => {
  const first = state.gateways[0]!;
  return index === 0 || first.incarnation > 1 || first.phase !== 'idle';
};

const gatewaySteps = (
  state: ModelState,
  index: number,
  rules: ModelRules,
): readonly ModelState[] => {
  const gateway = state.gateways[index]!;
  const { incarnation, phase, grant } = gateway;
  const steps: ModelState[] = [...sendSteps(state, index)];
  const abandon = () =>
    withGateway(state, index, { grant: rules.abandonGrant(grant), reportedNotRun: true });
  if (phase === 'idle' && mayStart(state, index)) {
    const operation = createClaim(index, incarnation);
    steps.push(withGateway(state, index, { phase: 'waiting', grant: { kind: 'open' }, operation }));
  }
  if (grant?.kind === 'open' && phase !== 'granted') steps.push(abandon());
  if (phase === 'asking' && !gateway.holderStatus) {
    const holderStatus = queryHolder(state, gateway.holderClaimId!);
    steps.push(
      withGateway(state, index, { holderStatus }),
      withGateway(state, index, { holderStatus: 'silent' }),
    );
  }
  if (phase === 'asking' && gateway.holderStatus)
    steps.push(applyHolderStatus(state, index, rules));
  if (phase === 'granted') {
    const taken = dispatchGrant(grant);
    const claimId = claimIdOf(index, incarnation);
    const ran = { ...state, runs: [...state.runs, claimId] };
    if (taken) steps.push(withGateway(ran, index, { phase: 'dispatched', grant: taken }));
    steps.push(withGateway(startFinish(state, index, 'not-run'), index, { reportedNotRun: true }));
  }
  if (phase === 'dispatched') {
    steps.push(startFinish(state, index, 'ran'), startFinish(state, index, 'unknown'));
  }
  const restarts = state.gateways.reduce((sum, other) => sum + other.incarnation - 1, 0);
  if (restarts < maxRestarts && phase !== 'idle') {
    steps.push(
      withGateway(state, index, {
        ...freshGateway,
        incarnation: incarnation + 1,
        grant: undefined,
      }),
    );
  }
  return steps;
};

/** Returns the states reachable in one step, which includes lost answers, owner restarts and gateway restarts. */
export const nextStates = (state: ModelState, rules: ModelRules): readonly ModelState[] => [
  ...state.owners.flatMap((_, index) => ownerSteps(state, index)),
  ...state.gateways.flatMap((_, index) => gatewaySteps(state, index, rules)),
  ...state.pendingWrites.flatMap((_, position) => completeWrite(state, position, rules)),
];
