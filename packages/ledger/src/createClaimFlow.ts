import * as errors from '@comfreydrum/errors';
import type { HolderClient } from './createHolderClient';
import { chooseHolderAction, type HolderStatus } from './chooseHolderAction';
import type { ClaimDecision, ClaimRequest } from './Ledger';
import type { ClaimOperation, LedgerOperation, OperationResult } from './LedgerOperation';
import type { LedgerSettings } from './ledgerSettings';

/**
 * The response of a route's target about a request whose outcome is unknown.
 *
 * - `ran`, `not-run`: a lookup on the target returned this.
 * - `key-honoured`: the target runs a repeated key only once by itself, so resending is safe.
 * - `unknown`: the target can't determine the outcome.
 */
export type TargetOutcome = 'ran' | 'not-run' | 'key-honoured' | 'unknown';

/** Queries the target of a request for the outcome of an earlier run with the same key. */
export type ResolveUnknown = (request: ClaimRequest) => Promise<TargetOutcome>;

/** The decision of a flow on a claim; the caller of the flow creates the grant. */
export type FlowDecision =
  Exclude<ClaimDecision, { readonly kind: 'granted' }> | { readonly kind: 'granted' };

/** Decides one claim without creating the grant. */
export type ClaimFlow = (request: ClaimRequest, operation: ClaimOperation) => Promise<FlowDecision>;

export interface ClaimFlowOptions {
  readonly holders: HolderClient;
  readonly settings: LedgerSettings;
  readonly submit: (operation: LedgerOperation) => Promise<OperationResult>;
  readonly resolveUnknown: ResolveUnknown;
}

type OpenResult = Extract<OperationResult, { readonly kind: 'claimed' | 'unknown' }>;
type Supersedes = NonNullable<ClaimOperation['supersedes']>;

/** The step that follows the check of an earlier claim: return a decision, or claim again. */
type NextStep =
  | { readonly kind: 'answer'; readonly decision: FlowDecision }
  | { readonly kind: 'retry'; readonly supersedes?: Supersedes };

const maxTries = 4;
const targetName = 'target';

/** Creates a flow that submits a claim and, if an earlier claim prevents the grant, checks that one. */
export const createClaimFlow = (options: ClaimFlowOptions): ClaimFlow => {
  const { holders, settings, submit, resolveUnknown } = options;

  const answer = (decision: FlowDecision): NextStep => ({ kind: 'answer', decision });

  const unknown = (settlesInMs = 0): NextStep =>
    answer({ kind: 'unknown', retryAfterMs: Math.max(settings.unknownRetryMs, settlesInMs) });

  const resolve = async (
    operation: ClaimOperation,
    claimId: string,
    outcome: 'ran' | 'not-run',
  ): Promise<NextStep> => {
    const { keyId } = operation;
    const result = await submit({ kind: 'resolve', keyId, claimId, outcome, who: targetName });
    if (result.kind === 'too-early') return unknown(result.retryAfterMs);
    if (result.kind === 'recorded' && outcome === 'ran') return answer({ kind: 'ran' });
    return result.kind === 'refused' ? unknown() : { kind: 'retry' };
  };

  const queryTarget = async (
    request: ClaimRequest,
    operation: ClaimOperation,
    open: OpenResult,
  ): Promise<NextStep> => {
    const outcome = await resolveUnknown(request);
    const { claimId } = open;
    if (outcome === 'ran' || outcome === 'not-run') return resolve(operation, claimId, outcome);
    if (outcome === 'unknown') return unknown(open.kind === 'unknown' ? open.settlesInMs : 0);
    return { kind: 'retry', supersedes: { claimId, because: 'key-honoured' } };
  };

  const suspect = async (operation: ClaimOperation, open: OpenResult): Promise<void> => {
    if (open.kind === 'unknown') return;
    const { claimId } = open;
    await submit({ kind: 'suspect', keyId: operation.keyId, claimId });
  };

  const queryHolder = (open: OpenResult): Promise<HolderStatus> =>
    open.kind === 'unknown' && open.source === 'holder'
      ? Promise.resolve({ kind: 'unknown' })
      : holders.queryStatus(open.holder, open.claimId);

  const checkEarlierClaim = async (
    request: ClaimRequest,
    operation: ClaimOperation,
    open: OpenResult,
  ): Promise<NextStep> => {
    const status = await queryHolder(open);
    const { claimId } = open;
    const action = chooseHolderAction(status);
    switch (action) {
      case 'running':
        return answer({ kind: 'running', retryAfterMs: settings.runningRetryMs });
      case 'ran':
        return answer({ kind: 'ran', answer: status.kind === 'ran' ? status.answer : undefined });
      case 'supersede':
        return { kind: 'retry', supersedes: { claimId, because: 'never-dispatched' } };
      case 'suspect':
        await suspect(operation, open);
        return queryTarget(request, operation, open);
      case 'unknown':
        return queryTarget(request, operation, open);
      default:
        return errors.unreachable(action);
    }
  };

  return async (request, operation) => {
    let next = operation;
    for (let tries = 0; tries < maxTries; tries += 1) {
      const result = await submit(next);
      switch (result.kind) {
        case 'granted':
        case 'key-reused':
          return { kind: result.kind };
        case 'ran':
          return { kind: 'ran', answer: result.answer };
        case 'refused':
          return { kind: 'refused', reason: result.reason, retryAfterMs: result.retryAfterMs };
        case 'claimed':
        case 'unknown': {
          const nextStep = await checkEarlierClaim(request, operation, result);
          if (nextStep.kind === 'answer') return nextStep.decision;
          next = { ...operation, supersedes: nextStep.supersedes };
          break;
        }
        default:
          throw new Error(`submit claim: unexpected result "${result.kind}"`);
      }
    }
    return { kind: 'running', retryAfterMs: settings.runningRetryMs };
  };
};
